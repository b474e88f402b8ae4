package router

import (
	"net/netip"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// endpoint is a minion as the VM list names it.
type endpoint struct {
	service identifier.Service
	region  identifier.Region
	address netip.AddrPort
	leaving bool
}

// listVMs takes the VM list. An empty list comes from a fault of the platform
// rather than from the loss of every VM at once, and is ignored.
func (router *Router) listVMs(now time.Time, vms []messenger.VM) {
	if len(vms) == 0 {
		return
	}
	router.endpoints = make(map[identifier.Minion]endpoint, len(vms))
	for _, vm := range vms {
		if vm.Role == messenger.MinionVM {
			router.endpoints[identifier.Minion(vm.Name)] = endpoint{vm.Service, vm.Region, vm.Address, vm.Leaving}
		}
	}
	router.assign(now)
}

// changeMembers takes the members. Attempts at an owner that is gone may have
// run; requests of an entry that is gone have nobody to answer.
func (router *Router) changeMembers(now time.Time, members []messenger.Member) {
	router.places.update(members)
	router.assign(now)
	router.failLostOwners(now)
	router.rejectLostEntries(now)
}

// assign takes over minions and gives up those that others own now.
func (router *Router) assign(now time.Time) {
	router.places.assign(router.endpoints)
	for name, owner := range router.places.owners {
		if owner == router.identity.Node && router.owned[name] == nil {
			router.owned[name] = &minion{name: name, state: released}
		}
	}
	for _, taken := range router.sortedMinions() {
		listed, ok := router.endpoints[taken.name]
		own := ok && router.places.owners[taken.name] == router.identity.Node
		router.reassign(now, taken, listed, own)
	}
	router.regroup(now)
}
