package detector

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// candidate is the state of a node that the seeds or the VM list name and that
// has not been heard yet.
const candidate messenger.MemberState = 0

// member is another node as this node sees it.
type member struct {
	messenger.Member
	seed bool
	// configured and listed are the addresses in the settings and the VM list.
	configured netip.AddrPort
	listed     netip.AddrPort
	// unlisted says that the VM list does not show the node as live.
	unlisted bool
	// visited is when the member was last probed or heard directly.
	visited time.Time
	// joined is when this incarnation was learned.
	joined time.Time
	// since is when the member took its state.
	since time.Time
	// deadline is when a suspect is declared dead.
	deadline time.Time
	// tried and tries are the last rediscovery probe and their number.
	tried time.Time
	tries int
}

// active says that the member is neither dead nor a candidate.
func (member *member) active() bool {
	return member.State != candidate && member.State != messenger.Dead
}

// target returns where the next rediscovery probe goes. A node that came back
// may listen at any of the known addresses.
func (member *member) target() netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, 3)
	for _, address := range []netip.AddrPort{member.Address, member.listed, member.configured} {
		if address.IsValid() && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		return netip.AddrPort{}
	}
	return addresses[member.tries%len(addresses)]
}

// table holds the other nodes in the order of their names, so that the same
// events always give the same actions.
type table struct {
	members []*member
	refused int
}

func (table *table) position(node identifier.Node) (int, bool) {
	return slices.BinarySearchFunc(table.members, node, func(member *member, node identifier.Node) int {
		return strings.Compare(string(member.Node), string(node))
	})
}

// find returns the member of that name or nil.
func (table *table) find(node identifier.Node) *member {
	if position, found := table.position(node); found {
		return table.members[position]
	}
	return nil
}

// add adds a candidate. It returns nil if the table is full of members that
// may be alive.
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

// evict removes the member that has been dead for longest, or a candidate.
func (table *table) evict() bool {
	var oldest *member
	for _, member := range table.members {
		if member.active() || member.seed {
			continue
		}
		if oldest == nil || member.since.Before(oldest.since) {
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

// count returns the number of active members.
func (table *table) count() int {
	count := 0
	for _, member := range table.members {
		if member.active() {
			count++
		}
	}
	return count
}
