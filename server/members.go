package server

import (
	"net/netip"
	"sync/atomic"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// members holds the newest list of members for queries. The detection duty writes
// it, and HTTP handlers read it.
type members struct {
	node   identifier.Node
	newest atomic.Pointer[[]messenger.Member]
}

func (members *members) update(changed []messenger.Member) { members.newest.Store(&changed) }

// OtherMembers implements gatherer.Members.
func (members *members) OtherMembers() map[identifier.Node]netip.AddrPort {
	others := make(map[identifier.Node]netip.AddrPort)
	newest := members.newest.Load()
	if newest == nil {
		return others
	}
	for _, member := range *newest {
		if member.Node != members.node {
			others[member.Node] = member.Address
		}
	}
	return others
}
