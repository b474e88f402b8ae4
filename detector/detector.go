// Package detector detects which nodes are alive. The cost per node does not
// grow with the number of nodes: each node probes one member per period and
// passes on a bounded number of changes with each probe and answer.
package detector

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/recorder"
)

// Detector is the state machine that detects which nodes are alive.
type Detector struct {
	parameters Parameters
	random     *rand.Rand
	self       messenger.Member
	since      time.Time
	// superseded says that another process uses this node's name.
	superseded bool
	// draining says that this node was told to leave.
	draining bool

	table   table
	spreads []spread
	// allowance is the number of pushes left in this period.
	allowance int
	// lists is the number of answers with all members left in this period.
	lists int
	// announce says that members have still to learn this node's own state.
	announce  bool
	probe     *probe
	relays    map[uint64]relay
	sequence  uint64
	started   bool
	period    time.Time
	heard     []messenger.HeartbeatReceived
	decisions *recorder.Recorder

	// actions and changed belong to the current step.
	actions []messenger.Action
	changed bool
}

// New returns a Detector with the given source of randomness.
func New(identity messenger.Identity, parameters Parameters, random *rand.Rand) *Detector {
	return &Detector{
		parameters: parameters.withDefaults(),
		random:     random,
		self:       messenger.Member{Identity: identity, State: messenger.Alive},
		relays:     make(map[uint64]relay),
		// The answers to probes of an earlier process of this node do not match.
		// Zero stands for an answer that no probe asked for.
		sequence:  random.Uint64()>>1 + 1,
		allowance: pushes,
		lists:     lists,
		decisions: recorder.New(identity.Node, maxDecisions),
	}
}

// Step implements decider.Machine.
func (detector *Detector) Step(now time.Time, event messenger.Event) []messenger.Action {
	detector.actions, detector.changed = nil, false
	if detector.started {
		detector.compensatePause(now)
	} else {
		detector.start(now)
	}
	detector.handle(now, event)
	detector.advance(now)
	detector.push()
	if detector.changed {
		detector.emit(messenger.MembersChanged{Members: detector.active()})
	}
	return detector.actions
}

func (detector *Detector) handle(now time.Time, event messenger.Event) {
	switch event := event.(type) {
	case messenger.PeerReceived:
		detector.receive(now, event)
	case messenger.PeerSendFailed:
		detector.lose(now, event)
	case messenger.VMsListed:
		detector.list(now, event.VMs)
	case messenger.DigestChanged:
		detector.self.Digest.Configuration = event.Configuration
		detector.self.Digest.Jobs = event.Jobs
		detector.self.Digest.Intents = event.Intents
	case messenger.LoadChanged:
		detector.self.Digest.Queued = event.Queued
		detector.self.Digest.FreeSlots = event.FreeSlots
	case messenger.DrainArrived:
		detector.drain(now)
	case messenger.CommandArrived:
		detector.command(now, event)
	}
}

// Next implements decider.Machine.
func (detector *Detector) Next() time.Time {
	if !detector.started {
		return time.Unix(0, 0)
	}
	next := detector.period
	if detector.probe != nil {
		next = earlier(next, detector.probe.due())
	}
	for _, member := range detector.table.members {
		if !member.deadline.IsZero() {
			next = earlier(next, member.deadline)
		}
	}
	return next
}

func earlier(first, second time.Time) time.Time {
	if second.Before(first) {
		return second
	}
	return first
}

// start joins through seeds and begins the periods at a random moment, so that
// nodes that start together do not probe together.
func (detector *Detector) start(now time.Time) {
	detector.started = true
	detector.since = now
	detector.changed = true
	detector.period = now.Add(detector.draw(detector.parameters.Period))
	for _, seed := range detector.parameters.Seeds {
		if seed.Node == detector.self.Node {
			continue
		}
		added := detector.table.find(seed.Node)
		if added == nil {
			added = detector.table.add(seed.Node)
		}
		if added == nil {
			return
		}
		added.seed, added.configured, added.since = true, seed.Address, now
		added.Region, added.FailureDomain = seed.Region, seed.FailureDomain
	}
	for _, position := range detector.random.Perm(len(detector.table.members)) {
		if position < joinProbes {
			detector.rediscover(now)
		}
	}
}

func (detector *Detector) draw(limit time.Duration) time.Duration {
	return time.Duration(detector.random.Int64N(int64(limit)))
}

// compensatePause keeps a pause of this node from counting against others: the
// open probe is dropped and the deadlines of suspects are extended.
func (detector *Detector) compensatePause(now time.Time) {
	late := now.Sub(detector.Next())
	if late < stall {
		return
	}
	detector.probe = nil
	clear(detector.relays)
	detector.period = now
	for _, member := range detector.table.members {
		if !member.deadline.IsZero() {
			member.deadline = member.deadline.Add(late)
		}
	}
}

// advance does what is due.
func (detector *Detector) advance(now time.Time) {
	detector.concludeProbe(now)
	for _, member := range detector.table.members {
		if !member.deadline.IsZero() && !now.Before(member.deadline) {
			detector.setState(now, member, messenger.Dead, "suspicion-not-refuted")
		}
	}
	if now.Before(detector.period) {
		return
	}
	detector.period = detector.period.Add(detector.parameters.Period)
	if !now.Before(detector.period) {
		detector.period = now.Add(detector.parameters.Period)
	}
	detector.allowance, detector.lists = pushes, lists
	detector.forget(now)
	detector.repeat()
	detector.startProbe(now)
	detector.remindSuspect()
	detector.rediscover(now)
}

// setState gives a member a new state.
func (detector *Detector) setState(now time.Time, member *member, state messenger.MemberState, reason string) {
	from := member.State
	member.State, member.since, member.deadline = state, now, time.Time{}
	if state == messenger.Suspect {
		member.deadline = now.Add(detector.suspicionTimeout(member))
	}
	if state == messenger.Dead {
		member.tried = now
	}
	detector.note(member.Node)
	detector.changed = true
	detector.record(now, member.Node, from, state, reason)
}

func (detector *Detector) suspicionTimeout(member *member) time.Duration {
	if member.unlisted {
		return detector.parameters.UnlistedFor
	}
	return detector.parameters.SuspectFor
}

// record keeps a change of state for explain and reports it.
func (detector *Detector) record(now time.Time, node identifier.Node, from, to messenger.MemberState, reason string) {
	detector.emit(messenger.Transition{Subject: string(node), From: name(from), To: name(to), Reason: reason})
	detector.decisions.Record(now, string(node), "", reason, name(from)+" to "+name(to))
}

func (detector *Detector) emit(action messenger.Action) {
	detector.actions = append(detector.actions, action)
}

func (detector *Detector) send(to identifier.Node, member messenger.Identity, message messenger.Peer) {
	detector.emit(messenger.SendPeer{To: to, Address: member.Address, Message: message})
}

// active returns the members that are not dead, this node included.
func (detector *Detector) active() []messenger.Member {
	members := []messenger.Member{detector.self}
	for _, member := range detector.table.members {
		if member.active() {
			members = append(members, member.Member)
		}
	}
	slices.SortFunc(members, func(first, second messenger.Member) int {
		return strings.Compare(string(first.Node), string(second.Node))
	})
	return members
}

// command answers a Drain. Only the node itself can drain.
func (detector *Detector) command(now time.Time, event messenger.CommandArrived) {
	drain, ok := event.Command.(commander.Drain)
	if !ok {
		return
	}
	answer := messenger.CommandAnswered{Request: event.Request}
	switch known := detector.table.find(drain.Node); {
	case drain.Node == detector.self.Node:
		detector.drain(now)
	case known != nil && known.Address.IsValid():
		answer.Err = classifier.New(classifier.UnknownNode, "this is node %q: ask node %q at %s to drain",
			detector.self.Node, drain.Node, known.Address)
	default:
		answer.Err = classifier.New(classifier.UnknownNode, "this is node %q: ask node %q itself, which is not a known member",
			detector.self.Node, drain.Node)
	}
	detector.emit(answer)
}

// drain announces that this node leaves. Some members learn it at once, so
// that they stop sending new work within a second.
func (detector *Detector) drain(now time.Time) {
	detector.draining = true
	if detector.self.State == messenger.Departing {
		return
	}
	detector.depart(now, "drained")
	members := detector.peers()
	for _, position := range detector.random.Perm(len(members))[:min(drainPushes, len(members))] {
		detector.tell(members[position])
	}
}

func (detector *Detector) depart(now time.Time, reason string) {
	detector.record(now, detector.self.Node, detector.self.State, messenger.Departing, reason)
	detector.self.State, detector.since, detector.changed = messenger.Departing, now, true
}

// peers returns the other members that are active.
func (detector *Detector) peers() []*member {
	var peers []*member
	for _, member := range detector.table.members {
		if member.active() {
			peers = append(peers, member)
		}
	}
	return peers
}
