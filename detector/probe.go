package detector

import (
	"net/netip"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// probe is this node's own probe of the current period.
type probe struct {
	sequence uint64
	target   messenger.Member
	// indirectAt is when indirect probes are requested, zero once they were.
	indirectAt time.Time
	// failureAt is when the probe fails.
	failureAt time.Time
}

func (probe *probe) nextDeadline() time.Time {
	if probe.indirectAt.IsZero() {
		return probe.failureAt
	}
	return earlier(probe.indirectAt, probe.failureAt)
}

// relay is an indirect probe that this node sends on behalf of requester.
type relay struct {
	requester messenger.Identity
	sequence  uint64
	target    identifier.Node
	expires   time.Time
}

func (detector *Detector) nextSequence() uint64 {
	detector.sequence++
	return detector.sequence
}

// startProbe probes the member with the least recent contact. A message from a
// member counts as contact, since the member was alive then.
func (detector *Detector) startProbe(now time.Time) {
	peers := detector.activePeers()
	if len(peers) == 0 {
		return
	}
	target := slices.MinFunc(peers, func(first, second *member) int { return first.lastContact.Compare(second.lastContact) })
	target.lastContact = now
	detector.probe = &probe{
		sequence:   detector.nextSequence(),
		target:     target.Member,
		indirectAt: now.Add(detector.parameters.AnswerTimeout),
		failureAt:  now.Add(detector.parameters.ProbePeriod),
	}
	detector.sendProbe(target.Identity, detector.probe.sequence)
}

func (detector *Detector) sendProbe(to messenger.Identity, sequence uint64) {
	detector.send(to.Node, to, messenger.Probe{
		Sequence: sequence, From: detector.self, Changes: detector.selectChanges(to.Node, maxChanges),
	})
}

// advanceProbe requests indirect probes, and later suspects the target, when
// these are due.
func (detector *Detector) advanceProbe(now time.Time) {
	probe := detector.probe
	if probe == nil {
		return
	}
	if !probe.indirectAt.IsZero() && !now.Before(probe.indirectAt) {
		detector.startIndirectProbes()
	}
	if now.Before(probe.failureAt) {
		return
	}
	detector.probe = nil
	target := detector.table.find(probe.target.Node)
	if target == nil || isNewer(target.Member, probe.target) {
		return
	}
	switch target.State {
	case messenger.Alive:
		detector.setState(now, target, messenger.Suspect, "probe-not-answered")
		// The suspect is informed at once, so that it can refute in time.
		detector.sendProbe(target.Identity, detector.nextSequence())
	case messenger.Departing:
		// The end of a departing member is expected, so it is not suspected first.
		detector.setState(now, target, messenger.Dead, "departed")
	}
}

func (detector *Detector) startIndirectProbes() {
	probe := detector.probe
	probe.indirectAt = time.Time{}
	detector.requestIndirectProbes(probe.sequence, probe.target)
}

// requestSuspectProbes requests indirect probes of the member that has been
// suspect for longest. The suspect may be alive and unreachable from this node:
// the probes inform it of the suspicion, and their reports return its refutation
// before the suspicion times out.
func (detector *Detector) requestSuspectProbes() {
	var suspect *member
	for _, member := range detector.table.members {
		if member.State == messenger.Suspect && (suspect == nil || member.stateChangedAt.Before(suspect.stateChangedAt)) {
			suspect = member
		}
	}
	if suspect != nil {
		detector.requestIndirectProbes(detector.nextSequence(), suspect.Member)
	}
}

// requestIndirectProbes requests a few random members to probe the target.
func (detector *Detector) requestIndirectProbes(sequence uint64, target messenger.Member) {
	peers := detector.activePeers()
	requested := 0
	for _, position := range detector.random.Perm(len(peers)) {
		peer := peers[position]
		if requested == indirectProbes {
			return
		}
		if peer.State == messenger.Alive && peer.Node != target.Node {
			detector.send(peer.Node, peer.Identity, messenger.ProbeRequest{Sequence: sequence, Target: withoutDigest(target)})
			requested++
		}
	}
}

// handleSendFailure requests indirect probes at once if the message was the open
// probe: its target can't be reached directly, so no answer will arrive.
func (detector *Detector) handleSendFailure(now time.Time, failure messenger.PeerSendFailed) {
	sent, ok := failure.Message.(messenger.Probe)
	probe := detector.probe
	if !ok || probe == nil || sent.Sequence != probe.sequence || probe.indirectAt.IsZero() {
		return
	}
	detector.startIndirectProbes()
	probe.failureAt = earlier(probe.failureAt, now.Add(detector.parameters.AnswerTimeout))
}

// handlePeerMessage handles a message from another node. It ignores a probe or
// answer that was not sent by the node that it names.
func (detector *Detector) handlePeerMessage(now time.Time, received messenger.PeerReceived) {
	switch message := received.Message.(type) {
	case messenger.Probe:
		if message.From.Node == received.From {
			detector.handleProbe(now, message)
		}
	case messenger.ProbeAnswer:
		if message.From.Node == received.From {
			detector.handleProbeAnswer(now, message)
		}
	case messenger.ProbeRequest:
		detector.handleProbeRequest(now, received.From, message)
	case messenger.ProbeReport:
		detector.applyChange(now, message.Target)
		probe := detector.probe
		if probe != nil && probe.sequence == message.Sequence && probe.target.Node == message.Target.Node {
			detector.probe = nil
			detector.reportHeartbeat(message.Target)
		}
	}
}

// handleProbe answers a probe. A new member gets all members in one answer
// instead of a few with each message.
func (detector *Detector) handleProbe(now time.Time, probe messenger.Probe) {
	detector.applySenderRecord(now, probe.From, true)
	for _, change := range probe.Changes {
		detector.applyChange(now, change)
	}
	limit := maxChanges
	member := detector.table.find(probe.From.Node)
	if member != nil && now.Sub(member.learnedAt) < joinWindow && detector.fullListsLeft > 0 {
		detector.fullListsLeft--
		limit = maxMembers
	}
	detector.send(probe.From.Node, probe.From.Identity, messenger.ProbeAnswer{
		Sequence: probe.Sequence, From: detector.self, Changes: detector.answerChanges(probe.From, limit),
	})
}

// handleProbeAnswer handles the answer to a probe, or a push.
func (detector *Detector) handleProbeAnswer(now time.Time, answer messenger.ProbeAnswer) {
	before := detector.self
	detector.applySenderRecord(now, answer.From, answer.Sequence != 0)
	for _, change := range answer.Changes {
		detector.applyChange(now, change)
	}
	if answer.Sequence != 0 {
		detector.countSupersededAnswer(now)
	}
	if isNewer(detector.self, before) {
		// The other node considers this node suspect or dead, and is corrected at once.
		detector.sendProbe(answer.From.Identity, detector.nextSequence())
	}
	if detector.probe != nil && detector.probe.sequence == answer.Sequence {
		detector.probe = nil
	}
	if relay, ok := detector.relays[answer.Sequence]; ok && relay.target == answer.From.Node {
		delete(detector.relays, answer.Sequence)
		detector.send(relay.requester.Node, relay.requester, messenger.ProbeReport{Sequence: relay.sequence, Target: answer.From})
	}
}

// handleProbeRequest probes a target on behalf of another node.
func (detector *Detector) handleProbeRequest(now time.Time, from identifier.Node, request messenger.ProbeRequest) {
	for sequence, relay := range detector.relays {
		if !now.Before(relay.expires) {
			delete(detector.relays, sequence)
		}
	}
	requester := detector.table.find(from)
	if requester == nil || len(detector.relays) >= maxRelays || !request.Target.Address.IsValid() {
		return
	}
	if request.Target.Node == detector.self.Node {
		return
	}
	detector.applyChange(now, request.Target)
	sequence := detector.nextSequence()
	detector.relays[sequence] = relay{
		requester: requester.Identity,
		sequence:  request.Sequence,
		target:    request.Target.Node,
		expires:   now.Add(detector.parameters.ProbePeriod),
	}
	detector.sendProbe(request.Target.Identity, sequence)
}

// rediscover probes the dead member or candidate with the least recent
// rediscovery probe. One call sends at most one probe, however many members are
// dead.
func (detector *Detector) rediscover(now time.Time) {
	var target *member
	var address netip.AddrPort
	members := detector.table.members
	if len(members) == 0 {
		return
	}
	// With a random start, nodes that join at the same time rarely probe the same seed.
	start := detector.random.IntN(len(members))
	for offset := range members {
		member := members[(start+offset)%len(members)]
		if member.isActive() || now.Before(member.lastRediscovery.Add(detector.parameters.RediscoveryInterval)) {
			continue
		}
		if at := member.rediscoveryAddress(); at.IsValid() && (target == nil || member.lastRediscovery.Before(target.lastRediscovery)) {
			target, address = member, at
		}
	}
	if target == nil {
		return
	}
	target.lastRediscovery = now
	target.rediscoveries++
	identity := target.Identity
	identity.Address = address
	detector.sendProbe(identity, detector.nextSequence())
}
