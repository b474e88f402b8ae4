package detector

import (
	"cmp"
	"math"
	"slices"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// spread is a change that is passed on with probes and answers.
type spread struct {
	node identifier.Node
	sent int
}

// note makes the state of a member a change that is passed on.
func (detector *Detector) note(node identifier.Node) {
	detector.spreads = slices.DeleteFunc(detector.spreads, func(spread spread) bool { return spread.node == node })
	detector.spreads = append(detector.spreads, spread{node: node})
}

// push sends changes that were never sent to some members at once.
func (detector *Detector) push() {
	for detector.allowance >= pushTargets {
		fresh := func(spread spread) bool { return spread.sent == 0 }
		if !detector.announce && !slices.ContainsFunc(detector.spreads, fresh) {
			return
		}
		peers := detector.peers()
		if len(peers) == 0 {
			return
		}
		detector.announce = false
		detector.allowance -= pushTargets
		for _, position := range detector.random.Perm(len(peers))[:min(pushTargets, len(peers))] {
			detector.tell(peers[position])
		}
	}
}

// tell sends a message that asks for no answer.
func (detector *Detector) tell(to *member) {
	detector.send(to.Node, to.Identity, messenger.ProbeAnswer{
		From: detector.self, Changes: detector.changes(to.Node, maxChanges),
	})
}

// changesFor returns the changes for an answer. A node that claims less than
// what is known about it learns what is known.
func (detector *Detector) changesFor(from messenger.Member, limit int) []messenger.Member {
	known := detector.table.find(from.Node)
	changes := detector.changes(from.Node, limit)
	if known != nil && known.active() && known.State != messenger.Suspect && later(known.Member, from) {
		changes = append([]messenger.Member{stripped(known.Member)}, changes...)
	}
	return changes
}

// changes returns the changes for a message to a node: what the node must
// refute, then the changes sent least often, then members at random, which
// corrects what the other changes have missed.
func (detector *Detector) changes(to identifier.Node, limit int) []messenger.Member {
	var changes []messenger.Member
	included := map[identifier.Node]bool{to: true}
	if known := detector.table.find(to); known != nil && (known.State == messenger.Suspect || known.State == messenger.Dead) {
		changes = append(changes, stripped(known.Member))
	}
	times := int(math.Ceil(spreadFactor * math.Log(float64(detector.table.count()+2))))
	slices.SortStableFunc(detector.spreads, func(first, second spread) int { return cmp.Compare(first.sent, second.sent) })
	for index := range detector.spreads {
		if len(changes) >= limit-refreshes {
			break
		}
		spread := &detector.spreads[index]
		known := detector.table.find(spread.node)
		if known == nil || known.State == candidate {
			spread.sent = times
			continue
		}
		if !included[spread.node] {
			included[spread.node] = true
			spread.sent++
			changes = append(changes, stripped(known.Member))
		}
	}
	detector.spreads = slices.DeleteFunc(detector.spreads, func(spread spread) bool { return spread.sent >= times })
	return detector.fill(changes, included, limit)
}

func (detector *Detector) fill(changes []messenger.Member, included map[identifier.Node]bool, limit int) []messenger.Member {
	members := detector.table.members
	if len(members) == 0 {
		return changes
	}
	start := detector.random.IntN(len(members))
	for offset := range members {
		if len(changes) >= limit {
			break
		}
		if member := members[(start+offset)%len(members)]; member.active() && !included[member.Node] {
			changes = append(changes, stripped(member.Member))
		}
	}
	return changes
}

// stripped leaves the digest out: only the member itself knows it.
func stripped(member messenger.Member) messenger.Member {
	member.Digest = messenger.Digest{}
	return member
}
