package router

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"corianderroad/hasher"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// distance is how far an owner is from this node.
type distance uint8

const (
	sameDomain distance = iota
	sameRegion
	otherRegion
	distanceCount
)

// ownerLoad is the last reported load of an owner and the number of this node's open
// attempts at it.
type ownerLoad struct {
	queued, free int
	// open is the number of attempts of this node at the owner.
	open int
}

// topology holds the members, the owner of each minion and the load of the owners.
type topology struct {
	identity messenger.Identity
	members  map[identifier.Node]messenger.Member
	// candidatesByRegion holds the possible owners by region, candidates all of them.
	candidatesByRegion map[identifier.Region][]identifier.Node
	candidates         []identifier.Node
	owners             map[identifier.Minion]identifier.Node
	// byService holds the owners of a service's minions by distance. Those in
	// the same failure domain are in the same region too.
	byService map[identifier.Service]*[distanceCount][]identifier.Node
	loads     map[identifier.Node]*ownerLoad
	// randomOwner chooses one random owner instead of the less loaded of two.
	randomOwner bool
}

func newTopology(identity messenger.Identity) topology {
	return topology{
		identity: identity, members: map[identifier.Node]messenger.Member{},
		candidatesByRegion: map[identifier.Region][]identifier.Node{}, owners: map[identifier.Minion]identifier.Node{},
		byService: map[identifier.Service]*[distanceCount][]identifier.Node{}, loads: map[identifier.Node]*ownerLoad{},
	}
}

// update replaces the members. Alive members are candidates for ownership or, if
// there are none, the departing ones, so that the last nodes can finish their work.
func (topology *topology) update(members []messenger.Member) {
	topology.members = make(map[identifier.Node]messenger.Member, len(members))
	for _, member := range members {
		if member.State != messenger.Dead {
			topology.members[member.Node] = member
		}
	}
	topology.candidatesByRegion, topology.candidates = map[identifier.Region][]identifier.Node{}, nil
	for _, state := range []messenger.MemberState{messenger.Alive, messenger.Departing} {
		for _, member := range members {
			if member.State == state {
				topology.candidatesByRegion[member.Region] = append(topology.candidatesByRegion[member.Region], member.Node)
				topology.candidates = append(topology.candidates, member.Node)
			}
		}
		if len(topology.candidates) > 0 {
			break
		}
	}
	for node := range topology.loads {
		if _, ok := topology.members[node]; !ok {
			delete(topology.loads, node)
		}
	}
}

// assignOwners computes the owner of each minion.
func (topology *topology) assignOwners(endpoints map[identifier.Minion]endpoint) {
	topology.owners = make(map[identifier.Minion]identifier.Node, len(endpoints))
	topology.byService = map[identifier.Service]*[distanceCount][]identifier.Node{}
	listed := map[identifier.Service]map[identifier.Node]bool{}
	for name, endpoint := range endpoints {
		candidates := topology.candidatesByRegion[endpoint.region]
		if len(candidates) == 0 {
			candidates = topology.candidates
		}
		owner := hasher.Owner(string(name), candidates)
		if owner == "" {
			continue
		}
		topology.owners[name] = owner
		if endpoint.leaving || listed[endpoint.service][owner] {
			continue
		}
		if listed[endpoint.service] == nil {
			listed[endpoint.service] = map[identifier.Node]bool{}
			topology.byService[endpoint.service] = &[distanceCount][]identifier.Node{}
		}
		listed[endpoint.service][owner] = true
		groups := topology.byService[endpoint.service]
		distance := topology.distance(owner)
		groups[distance] = append(groups[distance], owner)
		if distance == sameDomain {
			groups[sameRegion] = append(groups[sameRegion], owner)
		}
	}
	for _, groups := range topology.byService {
		for _, group := range groups {
			// Decisions must not depend on the iteration order of a map.
			slices.Sort(group)
		}
	}
}

func (topology *topology) distance(node identifier.Node) distance {
	member := topology.members[node]
	switch {
	case member.Region != topology.identity.Region:
		return otherRegion
	case member.FailureDomain != topology.identity.FailureDomain:
		return sameRegion
	default:
		return sameDomain
	}
}

func (topology *topology) address(node identifier.Node) netip.AddrPort {
	return topology.members[node].Address
}

func (topology *topology) load(node identifier.Node) *ownerLoad {
	load := topology.loads[node]
	if load == nil {
		load = &ownerLoad{}
		topology.loads[node] = load
	}
	return load
}

func (topology *topology) updateLoad(node identifier.Node, queued, free int) {
	if _, ok := topology.members[node]; !ok {
		return
	}
	load := topology.load(node)
	load.queued, load.free = queued, free
}

// pressure returns the load of an owner as its waiting requests and open attempts
// less its free slots. A negative value means that free slots remain.
func (topology *topology) pressure(node identifier.Node) int {
	load := topology.loads[node]
	if load == nil {
		return 0
	}
	return load.queued + load.open - load.free
}

// chooseOwner returns the less loaded of two random owners that are not avoided.
func (topology *topology) chooseOwner(random *rand.Rand, group, avoided []identifier.Node) identifier.Node {
	candidates := group
	if len(avoided) > 0 {
		candidates = nil
		for _, node := range group {
			if !slices.Contains(avoided, node) {
				candidates = append(candidates, node)
			}
		}
	}
	switch len(candidates) {
	case 0:
		return ""
	case 1:
		return candidates[0]
	}
	first := random.IntN(len(candidates))
	if topology.randomOwner {
		return candidates[first]
	}
	second := random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	if topology.pressure(candidates[second]) < topology.pressure(candidates[first]) {
		return candidates[second]
	}
	return candidates[first]
}
