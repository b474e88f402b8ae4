// Package planner decides where and when the tasks of jobs run. Every node
// keeps the journal's jobs in a Planner; only that of the holder gives orders.
package planner

import (
	"cmp"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/specifier"
)

// Planner is the state machine of one node. It is not safe for concurrent use.
type Planner struct {
	node   identifier.Node
	bounds Bounds
	policy *specifier.Policy
	queues map[identifier.Queue]*specifier.Queue

	jobs     map[identifier.Job]*job
	live     map[identifier.Job]*job
	arrivals uint64
	// journalEnd is the offset up to which the journal was read.
	journalEnd identifier.Offset

	hold    holding
	minions map[identifier.Minion]*minion
	// byName holds the minions by name, nil if it must be made anew.
	byName  []*minion
	orders  map[uint64]*run
	lastID  uint64
	lastRun uint64

	recording    recording
	reservations reservations
	advising     advising
	upkeep       upkeep

	changed  bool
	lastPass time.Time
	// passPace is the least time from the last pass to the next.
	passPace time.Duration
	// expireAt is when ended jobs are looked through again.
	expireAt time.Time
	actions  []messenger.Action
}

// New returns the machine of a node.
func New(node identifier.Node, bounds Bounds) *Planner {
	return &Planner{
		node: node, bounds: bounds, policy: &specifier.Policy{},
		jobs: make(map[identifier.Job]*job), live: make(map[identifier.Job]*job),
		minions: make(map[identifier.Minion]*minion), orders: make(map[uint64]*run),
		recording: newRecording(), upkeep: newUpkeep(),
	}
}

// Step takes an event and returns the actions that it causes.
func (planner *Planner) Step(now time.Time, event messenger.Event) []messenger.Action {
	planner.actions = nil
	switch event := event.(type) {
	case messenger.PolicyRead:
		if event.Policy != nil && event.Policy.Version > planner.policy.Version {
			planner.setPolicy(event.Policy)
			planner.changed = true
		}
	case messenger.JournalRead:
		planner.readJournal(now, event)
	case messenger.HolderChanged:
		planner.changeHolder(now, event)
	case messenger.JournalFenced:
		planner.fenced(now, event)
	case messenger.MinionsRead:
		planner.readMinions(now, event)
	case messenger.OrderAnswered:
		planner.answered(now, event)
	case messenger.ProgressRecorded:
		planner.recorded(now, event)
	case messenger.AdviceReceived:
		planner.advised(now, event)
	case messenger.WavesRead:
		planner.readWaves(event)
	case messenger.PoolVMsListed:
		planner.listedVMs(now, event)
	case messenger.VMMaintained:
		planner.maintained(now, event)
	case messenger.WaveReported:
		planner.reported(event)
	}
	if planner.hold.active {
		planner.work(now)
	}
	return planner.actions
}

// work does what is due as the holder.
func (planner *Planner) work(now time.Time) {
	planner.lookAround(now)
	if planner.hold.sure(now) {
		planner.maintain(now)
		planner.pass(now)
	} else {
		planner.lastPass = now
	}
	planner.record(now)
}

// Next returns when the machine wants a Tick.
func (planner *Planner) Next() time.Time {
	if !planner.hold.active {
		return time.Time{}
	}
	next := planner.lastPass.Add(idleTick)
	if planner.changed {
		next = planner.lastPass.Add(planner.passPace)
	}
	for _, minion := range planner.sortedMinions() {
		if !minion.looking && !minion.lookAt.IsZero() && minion.lookAt.Before(next) {
			next = minion.lookAt
		}
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

// queue returns the queue of a job, nil if the policy in force has none such.
func (planner *Planner) queue(known *job) *specifier.Queue { return planner.queues[known.spec.Queue] }

func (planner *Planner) emit(action messenger.Action) {
	planner.actions = append(planner.actions, action)
}

func (planner *Planner) decide(subject, outcome, reason, detail string, age time.Duration) {
	planner.emit(messenger.Decision{
		Subject: subject, Outcome: outcome, Reason: reason, Detail: detail, Age: age, Version: int64(planner.hold.token),
	})
}

func (planner *Planner) readJournal(now time.Time, event messenger.JournalRead) {
	planner.journalEnd = max(planner.journalEnd, event.End)
	for _, entry := range event.Entries {
		known := planner.fold(entry)
		if known == nil || !known.submitted {
			continue
		}
		planner.changed = true
		if known.withdrawn && planner.hold.active {
			planner.cancel(now, known)
		}
	}
	planner.begin(now)
}

// cancel ends a job whose caller has withdrawn it.
func (planner *Planner) cancel(now time.Time, known *job) {
	if known.state.IsFinal() {
		return
	}
	planner.end(now, known, specifier.Cancelled, "withdrawn by its caller")
}

// end puts a job into a final state and stops its runs.
func (planner *Planner) end(now time.Time, known *job, state specifier.State, reason string) {
	known.state, known.endedAt = state, now
	delete(planner.live, known.spec.ID)
	planner.recording.mark(known)
	planner.decide(string(known.spec.ID), "job-"+state.String(), reason, "", now.Sub(known.spec.AcceptedAt))
	planner.changed = true
	if state == specifier.Completed {
		return // the members of a gang end together by themselves
	}
	for _, run := range planner.runsOf(known) {
		planner.stop(now, run, reason)
	}
}

func (planner *Planner) runsOf(known *job) []*run {
	var runs []*run
	for _, minion := range planner.sortedMinions() {
		for _, run := range minion.sortedRuns() {
			if run.step.occurrence.job == known {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// sortedMinions keeps decisions independent of the order of maps. The slice is
// valid until a minion is added or removed.
func (planner *Planner) sortedMinions() []*minion {
	if len(planner.byName) != len(planner.minions) {
		planner.byName = make([]*minion, 0, len(planner.minions))
		for _, minion := range planner.minions {
			planner.byName = append(planner.byName, minion)
		}
		slices.SortFunc(planner.byName, func(one, other *minion) int { return cmp.Compare(one.report.Minion, other.report.Minion) })
	}
	return planner.byName
}

// setMinion adds a minion, or replaces its earlier life.
func (planner *Planner) setMinion(added *minion) {
	planner.minions[added.report.Minion] = added
	planner.byName = nil
}

func (planner *Planner) removeMinion(removed *minion) {
	delete(planner.minions, removed.report.Minion)
	planner.byName = nil
}

// View returns the gauges of the holder.
func (planner *Planner) View(_ time.Time, query querier.Query) querier.Answer {
	if query.Kind != querier.Status || !planner.hold.active {
		return querier.Answer{}
	}
	runs := 0
	for _, minion := range planner.minions {
		runs += len(minion.runs)
	}
	return querier.Answer{Gauges: []querier.Gauge{
		{Name: "minions", Value: float64(len(planner.minions))},
		{Name: "runs", Value: float64(runs)},
		{Name: "live-jobs", Value: float64(len(planner.live))},
	}}
}
