package router

import (
	"net/netip"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// endpoint is a minion as described by the VM list.
type endpoint struct {
	service identifier.Service
	region  identifier.Region
	address netip.AddrPort
	leaving bool
}

// handleVMsListed replaces the endpoints by those of the VM list. An empty list is
// ignored, because a fault of the platform is more likely than the loss of every VM
// at once.
func (router *Router) handleVMsListed(now time.Time, vms []messenger.VM) {
	if len(vms) == 0 {
		return
	}
	router.endpoints = make(map[identifier.Minion]endpoint, len(vms))
	for _, vm := range vms {
		if vm.Role == messenger.MinionVM {
			router.endpoints[identifier.Minion(vm.Name)] = endpoint{vm.Service, vm.Region, vm.Address, vm.Leaving}
		}
	}
	router.assignMinions(now)
}

// handleMembersChanged applies the new members. It ends the attempts at owners that
// are no longer members, which may have run, and rejects the waiting attempts of
// entries that are no longer members.
func (router *Router) handleMembersChanged(now time.Time, members []messenger.Member) {
	router.topology.update(members)
	router.assignMinions(now)
	router.failAttemptsAtLostOwners(now)
	router.rejectAttemptsOfLostEntries(now)
}

// assignMinions takes over minions that this node owns now and releases those that
// other nodes own.
func (router *Router) assignMinions(now time.Time) {
	router.topology.assignOwners(router.endpoints)
	for name, owner := range router.topology.owners {
		if owner == router.identity.Node && router.owned[name] == nil {
			router.owned[name] = &minion{name: name, state: released}
		}
	}
	for _, minion := range router.sortedMinions() {
		listed, ok := router.endpoints[minion.name]
		isOwner := ok && router.topology.owners[minion.name] == router.identity.Node
		router.updateMinionOwnership(now, minion, listed, isOwner)
	}
	router.groupMinionsByService(now)
}
