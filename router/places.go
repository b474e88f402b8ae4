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
	distances
)

// load is the last reported load of an owner and the attempts sent to it since.
type load struct {
	queued, free int
	// open is the number of attempts of this node at the owner.
	open int
}

// places holds the members, the owner of each minion and the load of the owners.
type places struct {
	identity messenger.Identity
	members  map[identifier.Node]messenger.Member
	// regions holds the possible owners by region, all holds every one.
	regions map[identifier.Region][]identifier.Node
	all     []identifier.Node
	owners  map[identifier.Minion]identifier.Node
	// byService holds the owners of a service's minions by distance. Those in
	// the same failure domain are in the same region too.
	byService map[identifier.Service]*[distances][]identifier.Node
	loads     map[identifier.Node]*load
	oneChoice bool
}

func newPlaces(identity messenger.Identity) places {
	return places{
		identity: identity, members: map[identifier.Node]messenger.Member{},
		regions: map[identifier.Region][]identifier.Node{}, owners: map[identifier.Minion]identifier.Node{},
		byService: map[identifier.Service]*[distances][]identifier.Node{}, loads: map[identifier.Node]*load{},
	}
}

// update takes the members. Possible owners are the alive ones or, if there
// are none, the leaving ones, so that the last nodes can finish their work.
func (places *places) update(members []messenger.Member) {
	places.members = make(map[identifier.Node]messenger.Member, len(members))
	for _, member := range members {
		if member.State != messenger.Dead {
			places.members[member.Node] = member
		}
	}
	places.regions, places.all = map[identifier.Region][]identifier.Node{}, nil
	for _, state := range []messenger.MemberState{messenger.Alive, messenger.Departing} {
		for _, member := range members {
			if member.State == state {
				places.regions[member.Region] = append(places.regions[member.Region], member.Node)
				places.all = append(places.all, member.Node)
			}
		}
		if len(places.all) > 0 {
			break
		}
	}
	for node := range places.loads {
		if _, ok := places.members[node]; !ok {
			delete(places.loads, node)
		}
	}
}

// assign names the owner of each minion.
func (places *places) assign(endpoints map[identifier.Minion]endpoint) {
	places.owners = make(map[identifier.Minion]identifier.Node, len(endpoints))
	places.byService = map[identifier.Service]*[distances][]identifier.Node{}
	seen := map[identifier.Service]map[identifier.Node]bool{}
	for name, endpoint := range endpoints {
		candidates := places.regions[endpoint.region]
		if len(candidates) == 0 {
			candidates = places.all
		}
		owner := hasher.Owner(string(name), candidates)
		if owner == "" {
			continue
		}
		places.owners[name] = owner
		if endpoint.leaving || seen[endpoint.service][owner] {
			continue
		}
		if seen[endpoint.service] == nil {
			seen[endpoint.service] = map[identifier.Node]bool{}
			places.byService[endpoint.service] = &[distances][]identifier.Node{}
		}
		seen[endpoint.service][owner] = true
		groups := places.byService[endpoint.service]
		distance := places.distance(owner)
		groups[distance] = append(groups[distance], owner)
		if distance == sameDomain {
			groups[sameRegion] = append(groups[sameRegion], owner)
		}
	}
	for _, groups := range places.byService {
		for _, group := range groups {
			// The order of a map must not enter a decision.
			slices.Sort(group)
		}
	}
}

func (places *places) distance(node identifier.Node) distance {
	member := places.members[node]
	switch {
	case member.Region != places.identity.Region:
		return otherRegion
	case member.FailureDomain != places.identity.FailureDomain:
		return sameRegion
	default:
		return sameDomain
	}
}

func (places *places) address(node identifier.Node) netip.AddrPort {
	return places.members[node].Address
}

func (places *places) load(node identifier.Node) *load {
	known := places.loads[node]
	if known == nil {
		known = &load{}
		places.loads[node] = known
	}
	return known
}

func (places *places) updateLoad(node identifier.Node, queued, free int) {
	if _, ok := places.members[node]; !ok {
		return
	}
	known := places.load(node)
	known.queued, known.free = queued, free
}

// pressure orders owners by load: the higher, the longer a request waits.
func (places *places) pressure(node identifier.Node) int {
	known := places.loads[node]
	if known == nil {
		return 0
	}
	return known.queued + known.open - known.free
}

// choose returns the less loaded of two random owners that are not avoided.
func (places *places) choose(random *rand.Rand, group, avoided []identifier.Node) identifier.Node {
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
	if places.oneChoice {
		return candidates[first]
	}
	second := random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	if places.pressure(candidates[second]) < places.pressure(candidates[first]) {
		return candidates[second]
	}
	return candidates[first]
}
