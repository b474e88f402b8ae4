// Package detector detects which nodes are alive. The cost per node does not
// grow with the number of nodes: each node probes one member per period and
// sends a bounded number of membership changes with each probe and answer.
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
	parameters     Parameters
	random         *rand.Rand
	self           messenger.Member
	stateChangedAt time.Time
	// superseded is true while a newer process uses this node's name.
	superseded bool
	// unsupersededAnswers counts the consecutive answers to probes that did not name
	// the newer process.
	unsupersededAnswers int
	// draining is true once this node was ordered to drain.
	draining bool

	table          table
	pendingChanges []pendingChange
	// pushesLeft is the number of messages that may still be pushed in this period.
	pushesLeft int
	// fullListsLeft is the number of answers that may still contain all members
	// in this period.
	fullListsLeft int
	// announceSelf is true while this node's own state must still be pushed.
	announceSelf bool
	probe        *probe
	relays       map[uint64]relay
	sequence     uint64
	started      bool
	nextPeriod   time.Time
	heartbeats   []messenger.HeartbeatReceived
	decisions    *recorder.Recorder

	// actions and membersChanged are reset by each step.
	actions        []messenger.Action
	membersChanged bool
}

// New returns a Detector that draws its random numbers from random.
func New(identity messenger.Identity, parameters Parameters, random *rand.Rand) *Detector {
	return &Detector{
		parameters: parameters.withDefaults(),
		random:     random,
		self:       messenger.Member{Identity: identity, State: messenger.Alive},
		relays:     make(map[uint64]relay),
		// A random first number prevents a match with answers to probes of an
		// earlier process of this node. Zero marks an answer that no probe requested.
		sequence:      random.Uint64()>>1 + 1,
		pushesLeft:    maxPushes,
		fullListsLeft: maxFullLists,
		decisions:     recorder.New(identity.Node, maxDecisions),
	}
}

// Step implements decider.StateMachine.
func (detector *Detector) Step(now time.Time, event messenger.Event) []messenger.Action {
	detector.actions, detector.membersChanged = nil, false
	if detector.started {
		detector.compensatePause(now)
	} else {
		detector.start(now)
	}
	detector.handle(now, event)
	detector.advance(now)
	detector.pushChanges()
	if detector.membersChanged {
		detector.emit(messenger.MembersChanged{Members: detector.activeMembers()})
	}
	return detector.actions
}

func (detector *Detector) handle(now time.Time, event messenger.Event) {
	switch event := event.(type) {
	case messenger.PeerReceived:
		detector.handlePeerMessage(now, event)
	case messenger.PeerSendFailed:
		detector.handleSendFailure(now, event)
	case messenger.VMsListed:
		detector.handleVMList(now, event.VMs)
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
		detector.handleCommand(now, event)
	}
}

// Next implements decider.StateMachine.
func (detector *Detector) Next() time.Time {
	if !detector.started {
		return time.Unix(0, 0)
	}
	next := detector.nextPeriod
	if detector.probe != nil {
		next = earlier(next, detector.probe.nextDeadline())
	}
	for _, member := range detector.table.members {
		if !member.suspicionDeadline.IsZero() {
			next = earlier(next, member.suspicionDeadline)
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

// start probes seeds in order to join and begins the first period at a random
// time, so that nodes that start together do not probe at the same time.
func (detector *Detector) start(now time.Time) {
	detector.started = true
	detector.stateChangedAt = now
	detector.membersChanged = true
	detector.nextPeriod = now.Add(detector.randomDuration(detector.parameters.ProbePeriod))
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
		added.isSeed, added.configuredAddress, added.stateChangedAt = true, seed.Address, now
		added.Region, added.FailureDomain = seed.Region, seed.FailureDomain
	}
	for _, position := range detector.random.Perm(len(detector.table.members)) {
		if position < joinProbes {
			detector.rediscover(now)
		}
	}
}

func (detector *Detector) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(detector.random.Int64N(int64(limit)))
}

// compensatePause prevents a pause of this process from counting against other
// nodes: it discards the open probe and extends the deadlines of suspects.
func (detector *Detector) compensatePause(now time.Time) {
	delay := now.Sub(detector.Next())
	if delay < pauseThreshold {
		return
	}
	detector.probe = nil
	clear(detector.relays)
	detector.nextPeriod = now
	for _, member := range detector.table.members {
		if !member.suspicionDeadline.IsZero() {
			member.suspicionDeadline = member.suspicionDeadline.Add(delay)
		}
	}
}

// advance handles the deadlines that have passed and starts the next period
// when it is due.
func (detector *Detector) advance(now time.Time) {
	detector.advanceProbe(now)
	for _, member := range detector.table.members {
		if !member.suspicionDeadline.IsZero() && !now.Before(member.suspicionDeadline) {
			detector.setState(now, member, messenger.Dead, "suspicion-not-refuted")
		}
	}
	if now.Before(detector.nextPeriod) {
		return
	}
	detector.nextPeriod = detector.nextPeriod.Add(detector.parameters.ProbePeriod)
	if !now.Before(detector.nextPeriod) {
		detector.nextPeriod = now.Add(detector.parameters.ProbePeriod)
	}
	detector.pushesLeft, detector.fullListsLeft = maxPushes, maxFullLists
	detector.removeLongDead(now)
	detector.repeatHeartbeats()
	detector.startProbe(now)
	detector.requestSuspectProbes()
	detector.rediscover(now)
}

// setState changes the state of a member and enqueues the change for sending.
func (detector *Detector) setState(now time.Time, member *member, state messenger.MemberState, reason string) {
	from := member.State
	member.State, member.stateChangedAt, member.suspicionDeadline = state, now, time.Time{}
	if state == messenger.Suspect {
		member.suspicionDeadline = now.Add(detector.suspicionTimeout(member))
	}
	if state == messenger.Dead {
		member.lastRediscovery = now
	}
	detector.enqueueChange(member.Node)
	detector.membersChanged = true
	detector.recordTransition(now, member.Node, from, state, reason)
}

func (detector *Detector) suspicionTimeout(member *member) time.Duration {
	if member.unlisted {
		return detector.parameters.UnlistedSuspicionTimeout
	}
	return detector.parameters.SuspicionTimeout
}

// recordTransition emits a change of state and records it for explain queries.
func (detector *Detector) recordTransition(now time.Time, node identifier.Node, from, to messenger.MemberState, reason string) {
	detector.emit(messenger.Transition{Subject: string(node), From: stateName(from), To: stateName(to), Reason: reason})
	detector.decisions.Record(now, string(node), "", reason, stateName(from)+" to "+stateName(to))
}

func (detector *Detector) emit(action messenger.Action) {
	detector.actions = append(detector.actions, action)
}

func (detector *Detector) send(to identifier.Node, member messenger.Identity, message messenger.Peer) {
	detector.emit(messenger.SendPeer{To: to, Address: member.Address, Message: message})
}

// activeMembers returns the active members, this node included, sorted by name.
func (detector *Detector) activeMembers() []messenger.Member {
	members := []messenger.Member{detector.self}
	for _, member := range detector.table.members {
		if member.isActive() {
			members = append(members, member.Member)
		}
	}
	slices.SortFunc(members, func(first, second messenger.Member) int {
		return strings.Compare(string(first.Node), string(second.Node))
	})
	return members
}

// handleCommand handles and answers a Drain command. A node can only drain itself.
func (detector *Detector) handleCommand(now time.Time, event messenger.CommandArrived) {
	drain, ok := event.Command.(commander.Drain)
	if !ok {
		return
	}
	answer := messenger.CommandAnswered{Request: event.Request}
	switch member := detector.table.find(drain.Node); {
	case drain.Node == detector.self.Node:
		detector.drain(now)
	case member != nil && member.Address.IsValid():
		answer.Err = classifier.New(classifier.UnknownNode, "this is node %q; send the drain command for node %q to %s",
			detector.self.Node, drain.Node, member.Address)
	default:
		answer.Err = classifier.New(classifier.UnknownNode, "this is node %q; the drain command must be sent to node %q, which is not a member",
			detector.self.Node, drain.Node)
	}
	detector.emit(answer)
}

// drain marks this node as departing. It informs some members at once, so that
// they stop sending new work within a second.
func (detector *Detector) drain(now time.Time) {
	detector.draining = true
	if detector.self.State == messenger.Departing {
		return
	}
	detector.markDeparting(now, "drained")
	members := detector.activePeers()
	for _, position := range detector.random.Perm(len(members))[:min(drainPushes, len(members))] {
		detector.sendChanges(members[position])
	}
}

func (detector *Detector) markDeparting(now time.Time, reason string) {
	detector.recordTransition(now, detector.self.Node, detector.self.State, messenger.Departing, reason)
	detector.self.State, detector.stateChangedAt, detector.membersChanged = messenger.Departing, now, true
}

// activePeers returns the active members other than this node.
func (detector *Detector) activePeers() []*member {
	var peers []*member
	for _, member := range detector.table.members {
		if member.isActive() {
			peers = append(peers, member)
		}
	}
	return peers
}
