package detector

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// candidate is the state of a node that is in the seeds or the VM list and from
// which no message was received yet.
const candidate messenger.MemberState = 0

// member is this node's record of another node.
type member struct {
	messenger.Member
	isSeed bool
	// configuredAddress and listedAddress come from the settings and the VM list.
	configuredAddress netip.AddrPort
	listedAddress     netip.AddrPort
	// unlisted is true if the VM list does not show the node as live.
	unlisted bool
	// lastContact is when this node last probed the member or received a message
	// from it that was not a push.
	lastContact time.Time
	// learnedAt is when this node learned of the incarnation.
	learnedAt time.Time
	// stateChangedAt is when the state last changed.
	stateChangedAt time.Time
	// suspicionDeadline is when a suspect is declared dead, zero for other states.
	suspicionDeadline time.Time
	// lastRediscovery and rediscoveries are the time of the last rediscovery probe
	// and the number of such probes.
	lastRediscovery time.Time
	rediscoveries   int
}

// isActive reports whether the member is neither dead nor a candidate.
func (member *member) isActive() bool {
	return member.State != candidate && member.State != messenger.Dead
}

// rediscoveryAddress returns the address for the next rediscovery probe. It
// alternates between the known addresses, since a node that returns may listen at
// any of them.
func (member *member) rediscoveryAddress() netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, 3)
	for _, address := range []netip.AddrPort{member.Address, member.listedAddress, member.configuredAddress} {
		if address.IsValid() && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		return netip.AddrPort{}
	}
	return addresses[member.rediscoveries%len(addresses)]
}

// table holds the other nodes sorted by name, so that the same events always give
// the same actions.
type table struct {
	members []*member
	refused int
}

func (table *table) position(node identifier.Node) (int, bool) {
	return slices.BinarySearchFunc(table.members, node, func(member *member, node identifier.Node) int {
		return strings.Compare(string(member.Node), string(node))
	})
}

// find returns the member with that name, or nil.
func (table *table) find(node identifier.Node) *member {
	if position, found := table.position(node); found {
		return table.members[position]
	}
	return nil
}

// add adds a candidate. It returns nil if the table is full of active members and
// seeds.
func (table *table) add(node identifier.Node) *member {
	if len(table.members) >= maxMembers-1 && !table.evict() {
		table.refused++
		return nil
	}
	added := &member{Member: messenger.Member{Identity: messenger.Identity{Node: node}}}
	position, _ := table.position(node)
	table.members = slices.Insert(table.members, position, added)
	return added
}

// evict removes the dead member or candidate whose state last changed the longest
// time ago, except seeds. It reports whether it removed one.
func (table *table) evict() bool {
	var oldest *member
	for _, member := range table.members {
		if member.isActive() || member.isSeed {
			continue
		}
		if oldest == nil || member.stateChangedAt.Before(oldest.stateChangedAt) {
			oldest = member
		}
	}
	if oldest != nil {
		table.remove(oldest.Node)
	}
	return oldest != nil
}

func (table *table) remove(node identifier.Node) {
	if position, found := table.position(node); found {
		table.members = slices.Delete(table.members, position, position+1)
	}
}

// activeCount returns the number of active members.
func (table *table) activeCount() int {
	count := 0
	for _, member := range table.members {
		if member.isActive() {
			count++
		}
	}
	return count
}
