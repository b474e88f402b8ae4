// Package scheduler decides where and when jobs run. It places the jobs of the
// regions that this node holds and only follows the jobs of all other regions.
package scheduler

import (
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/recorder"
)

// maxDecisions bounds the decisions that are retained for Explain queries.
const maxDecisions = 2048

// Scheduler is the state machine that decides where and when jobs run.
type Scheduler struct {
	identity   messenger.Identity
	parameters Parameters

	jobs    map[identifier.Job]*job
	regions map[identifier.Region]*region
	members []messenger.Member
	// workspaces are those of the configuration, nil before it has been read.
	workspaces map[identifier.Workspace]messenger.WorkspaceSpec
	draining   bool
	// jobsCaughtUp means that this node has read the jobs stream once, so that it knows
	// the newest claims.
	jobsCaughtUp bool

	calls     map[uint64]call
	sequence  uint64
	wakeups   wakeups
	decisions *recorder.Recorder
	// nextTick is the result of Next. Every Step updates it.
	nextTick time.Time
	actions  []messenger.Action
}

// New returns a Scheduler. A Scheduler makes no random choices and therefore needs
// no source of randomness.
func New(identity messenger.Identity, parameters Parameters) *Scheduler {
	return &Scheduler{
		identity: identity, parameters: parameters.withDefaults(),
		jobs:      make(map[identifier.Job]*job),
		regions:   make(map[identifier.Region]*region),
		calls:     make(map[uint64]call),
		decisions: recorder.New(identity.Node, maxDecisions),
	}
}

// Step implements decider.StateMachine.
func (scheduler *Scheduler) Step(now time.Time, event messenger.Event) []messenger.Action {
	scheduler.actions = nil
	scheduler.verifyAfterPause(now)
	switch event := event.(type) {
	case messenger.JobAccepted:
		scheduler.handleJobAccepted(now, event)
	case messenger.JobCancelled:
		scheduler.handleJobCancelled(now, event.Job)
	case messenger.JobEnded:
		scheduler.handleJobEnded(now, event.Outcome)
	case messenger.ClaimApplied:
		scheduler.handleClaimApplied(now, event)
	case messenger.JobsCaughtUp:
		scheduler.jobsCaughtUp = true
	case messenger.WorkerAnswered:
		scheduler.handleWorkerAnswered(now, event)
	case messenger.MembersChanged:
		scheduler.members = event.Members
	case messenger.ConfigurationChanged:
		scheduler.handleConfigurationChanged(now, event.Configuration)
	case messenger.VMsListed:
		scheduler.handleVMsListed(now, event.VMs)
	case messenger.DrainArrived:
		scheduler.handleDrainArrived(now)
	case messenger.AppendFailed:
		scheduler.handleAppendFailed(now, event)
	}
	scheduler.advance(now)
	scheduler.nextTick = scheduler.next()
	return scheduler.actions
}

// Next implements decider.StateMachine.
func (scheduler *Scheduler) Next() time.Time { return scheduler.nextTick }

// View implements decider.StateMachine.
func (scheduler *Scheduler) View(now time.Time, query querier.Query) querier.Answer {
	return scheduler.view(now, query)
}

// advance performs all work that is due at the given time.
func (scheduler *Scheduler) advance(now time.Time) {
	for _, region := range scheduler.sortedRegions() {
		scheduler.claimIfDue(now, region)
	}
	for _, job := range scheduler.wakeups.due(now) {
		scheduler.advanceGang(now, job)
	}
	for _, region := range scheduler.sortedRegions() {
		if !region.held {
			continue
		}
		scheduler.pollWorkers(now, region)
		scheduler.adopt(now, region)
		scheduler.renew(now, region)
		scheduler.plan(now, region)
	}
}

func (scheduler *Scheduler) next() time.Time {
	next := scheduler.wakeups.next()
	for _, region := range scheduler.regions {
		next = earliest(next, scheduler.claimDue(region))
		if !region.held {
			continue
		}
		next = earliest(next, region.nextPoll, region.adoptionDeadline)
		if region.adoptionDeadline.IsZero() {
			next = earliest(next, region.nextRenewalRound)
		}
		if region.planRequested && scheduler.isPlacing(region) {
			next = earliest(next, region.nextPlan)
		}
	}
	return next
}

// earliest returns the earliest time that is not zero.
func earliest(times ...time.Time) time.Time {
	var first time.Time
	for _, at := range times {
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// recordDecision records a decision about a subject for Explain queries.
func (scheduler *Scheduler) recordDecision(now time.Time, subject, reason, detail string) {
	scheduler.decisions.Record(now, subject, "", reason, detail)
}

func (scheduler *Scheduler) emit(action messenger.Action) {
	scheduler.actions = append(scheduler.actions, action)
}

// verifyAfterPause reads the workers of the held regions again if this process
// was paused: leases may have expired and another node may have claimed.
func (scheduler *Scheduler) verifyAfterPause(now time.Time) {
	if scheduler.nextTick.IsZero() || now.Sub(scheduler.nextTick) < scheduler.parameters.PauseThreshold {
		return
	}
	for _, region := range scheduler.sortedRegions() {
		if region.held {
			scheduler.transition(string(region.name), "placing", "verifying", "resumed after a pause")
			scheduler.beginAdoption(now, region)
		}
	}
}
