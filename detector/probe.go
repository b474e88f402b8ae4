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
	// helpAt is when others are asked to probe, zero once they were asked.
	helpAt time.Time
	// failAt is when the target is taken to have failed.
	failAt time.Time
}

func (probe *probe) due() time.Time {
	if probe.helpAt.IsZero() {
		return probe.failAt
	}
	return earlier(probe.helpAt, probe.failAt)
}

// relay is a probe on behalf of another node.
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

// startProbe probes the member that was visited least recently. Hearing from a
// member counts as a visit, since it was alive then.
func (detector *Detector) startProbe(now time.Time) {
	peers := detector.peers()
	if len(peers) == 0 {
		return
	}
	target := slices.MinFunc(peers, func(first, second *member) int { return first.visited.Compare(second.visited) })
	target.visited = now
	detector.probe = &probe{
		sequence: detector.nextSequence(),
		target:   target.Member,
		helpAt:   now.Add(detector.parameters.AnswerWithin),
		failAt:   now.Add(detector.parameters.Period),
	}
	detector.sendProbe(target.Identity, detector.probe.sequence)
}

func (detector *Detector) sendProbe(to messenger.Identity, sequence uint64) {
	detector.send(to.Node, to, messenger.Probe{
		Sequence: sequence, From: detector.self, Changes: detector.changes(to.Node, maxChanges),
	})
}

// concludeProbe asks for help and declares a failure when they are due.
func (detector *Detector) concludeProbe(now time.Time) {
	probe := detector.probe
	if probe == nil {
		return
	}
	if !probe.helpAt.IsZero() && !now.Before(probe.helpAt) {
		detector.askHelp()
	}
	if now.Before(probe.failAt) {
		return
	}
	detector.probe = nil
	target := detector.table.find(probe.target.Node)
	if target == nil || later(target.Member, probe.target) {
		return
	}
	switch target.State {
	case messenger.Alive:
		detector.setState(now, target, messenger.Suspect, "probe-not-answered")
		// The suspect is informed at once, so that it can refute in time.
		detector.sendProbe(target.Identity, detector.nextSequence())
	case messenger.Departing:
		// The end of a departing member is expected and needs no grace.
		detector.setState(now, target, messenger.Dead, "departed")
	}
}

func (detector *Detector) askHelp() {
	probe := detector.probe
	probe.helpAt = time.Time{}
	detector.askHelpers(probe.sequence, probe.target)
}

// remindSuspect asks others to probe the member that is suspect longest. The
// suspect may be unreachable from here and alive: the probes tell it what it must
// refute, and their reports bring the refutation before the suspicion ends.
func (detector *Detector) remindSuspect() {
	var suspect *member
	for _, member := range detector.table.members {
		if member.State == messenger.Suspect && (suspect == nil || member.since.Before(suspect.since)) {
			suspect = member
		}
	}
	if suspect != nil {
		detector.askHelpers(detector.nextSequence(), suspect.Member)
	}
}

// askHelpers asks a few random members to probe the target.
func (detector *Detector) askHelpers(sequence uint64, target messenger.Member) {
	peers := detector.peers()
	asked := 0
	for _, position := range detector.random.Perm(len(peers)) {
		peer := peers[position]
		if asked == helpers {
			return
		}
		if peer.State == messenger.Alive && peer.Node != target.Node {
			detector.send(peer.Node, peer.Identity, messenger.ProbeRequest{Sequence: sequence, Target: stripped(target)})
			asked++
		}
	}
}

// lose takes the refusal of a message: the target of the probe can't be reached
// directly, and there is no reason to wait for its answer.
func (detector *Detector) lose(now time.Time, lost messenger.PeerSendFailed) {
	sent, ok := lost.Message.(messenger.Probe)
	probe := detector.probe
	if !ok || probe == nil || sent.Sequence != probe.sequence || probe.helpAt.IsZero() {
		return
	}
	detector.askHelp()
	probe.failAt = earlier(probe.failAt, now.Add(detector.parameters.AnswerWithin))
}

// receive handles a message of another node.
func (detector *Detector) receive(now time.Time, received messenger.PeerReceived) {
	switch message := received.Message.(type) {
	case messenger.Probe:
		if message.From.Node == received.From {
			detector.answer(now, message)
		}
	case messenger.ProbeAnswer:
		if message.From.Node == received.From {
			detector.conclude(now, message)
		}
	case messenger.ProbeRequest:
		detector.relay(now, received.From, message)
	case messenger.ProbeReport:
		detector.accept(now, message.Target)
		probe := detector.probe
		if probe != nil && probe.sequence == message.Sequence && probe.target.Node == message.Target.Node {
			detector.probe = nil
			detector.listen(message.Target)
		}
	}
}

// answer answers a probe. A new member gets all members at once, in place of a
// few with each message.
func (detector *Detector) answer(now time.Time, probe messenger.Probe) {
	detector.hear(now, probe.From, true)
	for _, change := range probe.Changes {
		detector.accept(now, change)
	}
	limit := maxChanges
	known := detector.table.find(probe.From.Node)
	if known != nil && now.Sub(known.joined) < joinTime && detector.lists > 0 {
		detector.lists--
		limit = maxMembers
	}
	detector.send(probe.From.Node, probe.From.Identity, messenger.ProbeAnswer{
		Sequence: probe.Sequence, From: detector.self, Changes: detector.changesFor(probe.From, limit),
	})
}

// conclude takes the answer to a probe.
func (detector *Detector) conclude(now time.Time, answer messenger.ProbeAnswer) {
	before := detector.self
	detector.hear(now, answer.From, answer.Sequence != 0)
	for _, change := range answer.Changes {
		detector.accept(now, change)
	}
	if later(detector.self, before) {
		// The other node believes this one to be suspect or dead, and is corrected at once.
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

// relay probes a target on behalf of another node.
func (detector *Detector) relay(now time.Time, from identifier.Node, request messenger.ProbeRequest) {
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
	detector.accept(now, request.Target)
	sequence := detector.nextSequence()
	detector.relays[sequence] = relay{
		requester: requester.Identity,
		sequence:  request.Sequence,
		target:    request.Target.Node,
		expires:   now.Add(detector.parameters.Period),
	}
	detector.sendProbe(request.Target.Identity, sequence)
}

// rediscover probes the dead member or candidate that was tried least recently.
// It limits the probes of a node however many members are dead.
func (detector *Detector) rediscover(now time.Time) {
	var target *member
	var address netip.AddrPort
	members := detector.table.members
	if len(members) == 0 {
		return
	}
	// The random start keeps nodes that join together from probing the same seed.
	start := detector.random.IntN(len(members))
	for offset := range members {
		member := members[(start+offset)%len(members)]
		if member.active() || now.Before(member.tried.Add(detector.parameters.RediscoverEvery)) {
			continue
		}
		if at := member.target(); at.IsValid() && (target == nil || member.tried.Before(target.tried)) {
			target, address = member, at
		}
	}
	if target == nil {
		return
	}
	target.tried = now
	target.tries++
	identity := target.Identity
	identity.Address = address
	detector.sendProbe(identity, detector.nextSequence())
}
