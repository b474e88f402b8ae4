package detector

import (
	"cmp"
	"math"
	"slices"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// pendingChange is a change of a member that is still being sent with probes and
// answers.
type pendingChange struct {
	node      identifier.Node
	sendCount int
}

// enqueueChange adds the record of a member to the pending changes. If it is already
// pending, its send count is reset.
func (detector *Detector) enqueueChange(node identifier.Node) {
	detector.pendingChanges = slices.DeleteFunc(detector.pendingChanges, func(pendingChange pendingChange) bool { return pendingChange.node == node })
	detector.pendingChanges = append(detector.pendingChanges, pendingChange{node: node})
}

// pushChanges sends changes that were never sent to some members, without waiting
// for the next probe.
func (detector *Detector) pushChanges() {
	for detector.pushesLeft >= pushTargets {
		isUnsent := func(pendingChange pendingChange) bool { return pendingChange.sendCount == 0 }
		if !detector.announceSelf && !slices.ContainsFunc(detector.pendingChanges, isUnsent) {
			return
		}
		peers := detector.activePeers()
		if len(peers) == 0 {
			return
		}
		detector.announceSelf = false
		detector.pushesLeft -= pushTargets
		for _, position := range detector.random.Perm(len(peers))[:min(pushTargets, len(peers))] {
			detector.sendChanges(peers[position])
		}
	}
}

// sendChanges sends changes in a message that requests no answer.
func (detector *Detector) sendChanges(to *member) {
	detector.send(to.Node, to.Identity, messenger.ProbeAnswer{
		From: detector.self, Changes: detector.selectChanges(to.Node, maxChanges),
	})
}

// answerChanges returns the changes for an answer. It includes the stored record
// of the receiver if that is newer than the one that the receiver sent.
func (detector *Detector) answerChanges(from messenger.Member, limit int) []messenger.Member {
	member := detector.table.find(from.Node)
	changes := detector.selectChanges(from.Node, limit)
	if member != nil && member.isActive() && member.State != messenger.Suspect && isNewer(member.Member, from) {
		changes = append([]messenger.Member{withoutDigest(member.Member)}, changes...)
	}
	return changes
}

// selectChanges returns the changes for a message to a node: first the record that
// the node must refute, then the changes that were sent least often, then random
// members, which reach nodes that a change has missed.
func (detector *Detector) selectChanges(to identifier.Node, limit int) []messenger.Member {
	var changes []messenger.Member
	included := map[identifier.Node]bool{to: true}
	if member := detector.table.find(to); member != nil && (member.State == messenger.Suspect || member.State == messenger.Dead) {
		changes = append(changes, withoutDigest(member.Member))
	}
	maxSends := int(math.Ceil(retransmitFactor * math.Log(float64(detector.table.activeCount()+2))))
	slices.SortStableFunc(detector.pendingChanges, func(first, second pendingChange) int { return cmp.Compare(first.sendCount, second.sendCount) })
	for index := range detector.pendingChanges {
		if len(changes) >= limit-randomChanges {
			break
		}
		pendingChange := &detector.pendingChanges[index]
		member := detector.table.find(pendingChange.node)
		if member == nil || member.State == candidate {
			pendingChange.sendCount = maxSends
			continue
		}
		if !included[pendingChange.node] {
			included[pendingChange.node] = true
			pendingChange.sendCount++
			changes = append(changes, withoutDigest(member.Member))
		}
	}
	detector.pendingChanges = slices.DeleteFunc(detector.pendingChanges, func(pendingChange pendingChange) bool { return pendingChange.sendCount >= maxSends })
	return detector.fillAtRandom(changes, included, limit)
}

// fillAtRandom adds active members from a random position on, up to limit.
func (detector *Detector) fillAtRandom(changes []messenger.Member, included map[identifier.Node]bool, limit int) []messenger.Member {
	members := detector.table.members
	if len(members) == 0 {
		return changes
	}
	start := detector.random.IntN(len(members))
	for offset := range members {
		if len(changes) >= limit {
			break
		}
		if member := members[(start+offset)%len(members)]; member.isActive() && !included[member.Node] {
			changes = append(changes, withoutDigest(member.Member))
		}
	}
	return changes
}

// withoutDigest returns the member without its digest, which only the member
// itself reports.
func withoutDigest(member messenger.Member) messenger.Member {
	member.Digest = messenger.Digest{}
	return member
}
