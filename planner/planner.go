// Package planner decides where and when the tasks of jobs run. Every node
// stores the journal's jobs in a Planner. Only the Planner of the holder sends
// orders.
package planner

import (
	"net/netip"
	"slices"
	"time"

	"corianderroad/accountant"
	"corianderroad/evictor"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/specifier"
)

// Planner is the state machine of one node. It is not safe for concurrent use.
type Planner struct {
	node   identifier.Node
	bounds Bounds
	// features are the rules that the deployment enables.
	features Features
	// stops decides by the work that is lost, nil if the deployment does not enable it.
	stops stopDecider
	// earlySearches limits the searches of a pass.
	earlySearches earlySearches
	// allowance limits the starts of a pass, nil if they are not limited.
	allowance *runAllowance
	// nextDepartureAt is when the runs on leaving minions are next decided about, zero if
	// there are none.
	nextDepartureAt time.Time
	policy          *specifier.Policy
	queues          map[identifier.Queue]*specifier.Queue

	jobs        map[identifier.Job]*job
	openJobs    map[identifier.Job]*job
	tombstones  tombstones
	lastArrival uint64
	// journalEnd is the offset up to which the node has read the journal.
	journalEnd identifier.Offset

	holder   holderState
	minions  map[identifier.Minion]*minion
	readings readings
	// minionsByName holds the minions in the order of their names, nil if it must
	// be built again.
	minionsByName []*minion
	// minionsAt holds the newest minion at each address.
	minionsAt     map[netip.AddrPort]*minion
	polls         pollSchedule
	silentMinions silentMinions
	headroom      headroom
	// silences are those of the last time, oldest first.
	silences          []silence
	births            []birth
	missing           missingMinions
	sentTokens        sentTokens
	outstandingStarts outstandingStarts
	pendingOrders     map[uint64]*run
	// stopRetries are the stops that are repeated, the next one first.
	stopRetries   []stopRetry
	lastOrderID   uint64
	lastRunNumber uint64

	recording        recording
	reservations     reservations
	gangReservations gangReservations
	aging            aging
	profiles         profiles
	evacuations      *evacuations
	adviceRequest    adviceRequest
	maintenance      maintenance
	waiting          waiting
	// queueWaits are published for the entry VMs, nil if the deployment does not enable it.
	queueWaits *queueWaits

	passNeeded bool
	// hasWaitingSteps means that steps without suspects could start tasks in the last pass.
	hasWaitingSteps bool
	// hasUnrecordedStarts means that steps with enough capacity waited for the record of their
	// first start in the last pass.
	hasUnrecordedStarts bool
	// awaitedTrials are the services for whose minions a trial waited in the last pass.
	awaitedTrials map[identifier.Service]bool
	lastPassAt    time.Time
	// passInterval is the minimum time from the last pass to the next.
	passInterval time.Duration
	suspension   suspension
	tokenCheck   tokenCheck
	// nextExpiryCheckAt is when the ended jobs are next checked for expiry.
	nextExpiryCheckAt time.Time
	actions           []messenger.Action
}

// New returns the state machine of a node.
func New(node identifier.Node, bounds Bounds, features Features) *Planner {
	planner := &Planner{
		node: node, bounds: bounds, features: features, policy: &specifier.Policy{},
		jobs: make(map[identifier.Job]*job), openJobs: make(map[identifier.Job]*job), tombstones: make(tombstones),
		minions: make(map[identifier.Minion]*minion), minionsAt: make(map[netip.AddrPort]*minion), pendingOrders: make(map[uint64]*run),
		sentTokens: make(sentTokens), outstandingStarts: make(outstandingStarts),
		recording: newRecording(), maintenance: newMaintenance(), evacuations: newEvacuations(), profiles: newProfiles(features),
	}
	if features.LossAwareStops {
		planner.stops = evictor.New(evictor.Bounds{StopTimeout: bounds.StopTimeout, OrderTime: stopOrderSlack})
	}
	if features.EarlyRefusals {
		planner.queueWaits = newQueueWaits()
	}
	return planner
}

// Step handles an event and returns the resulting actions.
func (planner *Planner) Step(now time.Time, event messenger.Event) []messenger.Action {
	planner.actions = nil
	planner.suspension.observe(now, planner.holder.active)
	switch event := event.(type) {
	case messenger.PolicyRead:
		if event.Policy != nil && event.Policy.Version > planner.policy.Version {
			planner.setPolicy(event.Policy)
			planner.passNeeded = true
		}
	case messenger.JournalRead:
		planner.handleJournalRead(now, event)
	case messenger.ProgressRead:
		planner.handleProgressRead(now, event)
	case messenger.HolderChanged:
		planner.handleHolderChange(now, event)
	case messenger.JournalFenced:
		planner.handleJournalFenced(now, event)
	case messenger.MinionsRead:
		planner.handleMinionReports(now, event)
	case messenger.OrderAnswered:
		planner.handleOrderAnswer(now, event)
	case messenger.ProgressRecorded:
		planner.handleProgressRecorded(now, event)
	case messenger.AdviceReceived:
		planner.handleAdvice(now, event)
	case messenger.WavesRead:
		planner.handleWaveRequests(event)
	case messenger.EvacuationsRead:
		planner.handleEvacuations(now, event)
	case messenger.PoolVMsListed:
		planner.handleVMList(now, event)
	case messenger.VMMaintained:
		planner.handleMaintenanceAnswer(now, event)
	case messenger.WaveReported:
		planner.handleWaveReported(now, event)
	}
	planner.repeatFence(now)
	if planner.holder.active {
		planner.doHolderWork(now)
	}
	return planner.actions
}

// doHolderWork does the holder's work that is due.
func (planner *Planner) doHolderWork(now time.Time) {
	planner.pollMinions(now)
	planner.checkToken(now)
	planner.repeatStops(now)
	planner.saveLeaving(now)
	if planner.holder.isClaimValid(now) {
		planner.advanceWaves(now)
		planner.updateConditions(now)
		planner.runPass(now)
		planner.moveEvacuatedRuns(now)
		planner.moveStalledRuns(now)
	} else {
		planner.lastPassAt, planner.passInterval = now, idleInterval
	}
	planner.reportWaitingSteps(now)
	planner.sendRecord(now)
}

// Next returns when the state machine needs a Tick, the zero time for never.
func (planner *Planner) Next() time.Time {
	if !planner.holder.active {
		return planner.holder.nextFenceAt
	}
	next := planner.lastPassAt.Add(idleInterval)
	if planner.passNeeded {
		next = planner.lastPassAt.Add(planner.passInterval)
	}
	if check := planner.tokenCheck.nextAt; check.After(planner.holder.confirmedAt.Add(claimValidity)) && check.Before(next) {
		next = check
	}
	if len(planner.stopRetries) > 0 && planner.stopRetries[0].at.Before(next) {
		next = planner.stopRetries[0].at
	}
	if departure := planner.nextDepartureAt; !departure.IsZero() && departure.Before(next) {
		next = departure
	}
	if poll, ok := planner.nextPoll(); ok && poll.at.Before(next) {
		next = poll.at
	}
	return next
}

func (planner *Planner) setPolicy(policy *specifier.Policy) {
	planner.policy = policy
	planner.queues = make(map[identifier.Queue]*specifier.Queue, len(policy.Queues))
	for index := range policy.Queues {
		planner.queues[policy.Queues[index].Name] = &policy.Queues[index]
	}
}

// queue returns the queue of a job, nil if the policy in force has no such
// queue.
func (planner *Planner) queue(job *job) *specifier.Queue { return planner.queues[job.spec.Queue] }

func (planner *Planner) emit(action messenger.Action) {
	planner.actions = append(planner.actions, action)
}

func (planner *Planner) emitDecision(subject, outcome, reason, detail string, age time.Duration) {
	planner.emit(messenger.Decision{
		Subject: subject, Outcome: outcome, Reason: reason, Detail: detail, Age: age, Version: int64(planner.holder.token),
	})
}

func (planner *Planner) handleJournalRead(now time.Time, event messenger.JournalRead) {
	planner.journalEnd = max(planner.journalEnd, event.End)
	for _, entry := range event.Entries {
		job := planner.applyEntry(now, entry)
		if job == nil || !job.submitted {
			continue
		}
		planner.passNeeded = true
		if job.withdrawn && planner.holder.active {
			planner.cancelJob(now, job)
		}
	}
	planner.activateIfReady(now)
}

// cancelJob ends a job that its caller has withdrawn.
func (planner *Planner) cancelJob(now time.Time, job *job) {
	if job.state.IsFinal() {
		return
	}
	planner.endJob(now, job, specifier.Cancelled, "withdrawn by its caller")
}

// endJob puts a job into a final state and stops its runs.
func (planner *Planner) endJob(now time.Time, job *job, state specifier.State, reason string) {
	job.state, job.endedAt = state, now
	if state == specifier.Failed {
		job.failure = reason
	}
	delete(planner.openJobs, job.spec.ID)
	planner.recording.markDirty(job)
	planner.emitDecision(string(job.spec.ID), "job-"+state.String(), reason, "", now.Sub(job.spec.AcceptedAt))
	planner.passNeeded = true
	if state == specifier.Completed {
		return // the members of a gang end without an order
	}
	for _, run := range planner.runsOf(job) {
		planner.stopRun(now, run, accountant.StopForJobEnd, reason)
	}
}

func (planner *Planner) runsOf(job *job) []*run {
	var runs []*run
	for _, minion := range planner.sortedMinions() {
		for _, run := range minion.sortedRuns() {
			if run.step.occurrence.job == job {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// sortedMinions returns the minions in the order of their names, so that
// decisions do not depend on the iteration order of maps. The slice is valid
// until a minion is added or removed.
func (planner *Planner) sortedMinions() []*minion {
	if len(planner.minionsByName) != len(planner.minions) {
		planner.minionsByName = make([]*minion, 0, len(planner.minions))
		for _, minion := range planner.minions {
			planner.minionsByName = append(planner.minionsByName, minion)
		}
		slices.SortFunc(planner.minionsByName, compareNames)
	}
	return planner.minionsByName
}

// setMinion adds a minion, or replaces its earlier incarnation.
func (planner *Planner) setMinion(added *minion) {
	planner.silentMinions.remove(added)
	planner.minions[added.report.Minion] = added
	planner.minionsByName = nil
	if known := planner.minionsAt[added.report.Address]; known == nil || known.report.Incarnation <= added.report.Incarnation {
		planner.minionsAt[added.report.Address] = added
	}
}

func (planner *Planner) removeMinion(removed *minion) {
	planner.silentMinions.remove(removed)
	delete(planner.minions, removed.report.Minion)
	planner.minionsByName = nil
	if planner.minionsAt[removed.report.Address] == removed {
		delete(planner.minionsAt, removed.report.Address)
	}
}

// View answers queries at the holder. Other nodes answer only what they know of the pool.
func (planner *Planner) View(now time.Time, query querier.Query) querier.Answer {
	switch {
	case query.Kind == querier.PoolStatus:
		return planner.poolStatus(now)
	case !planner.holder.active:
		return querier.Answer{}
	case query.Kind == querier.Status:
		return planner.status(now)
	case query.Kind == querier.Explain:
		return planner.explain(now, identifier.Job(query.Subject))
	}
	return querier.Answer{}
}
