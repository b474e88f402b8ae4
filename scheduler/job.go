package scheduler

import (
	"cmp"
	"slices"
	"time"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/leaser"
	"corianderroad/messenger"
)

// state is the state of a job.
type state uint8

const (
	waiting state = iota
	// clearing means that the job waits for preempted gangs to end.
	clearing
	reserving
	running
	// stopping means that the gang is being checkpointed or released.
	stopping
	// concluding means that the job has an outcome.
	concluding
)

// String returns the state as shown in answers.
func (state state) String() string {
	return [...]string{"waiting", "clearing", "reserving", "running", "stopping", "concluding"}[state]
}

// job is an accepted job whose outcome has not been applied.
type job struct {
	spec       commander.JobSpec
	offset     identifier.Offset
	acceptedAt time.Time
	region     identifier.Region
	state      state
	// since is when the state last changed.
	since time.Time
	// reason is why the job waits.
	reason    classifier.Code
	cancelled bool

	gang *leaser.Gang
	// occupiedWorkers are the workers whose accelerators the gang occupies.
	occupiedWorkers []identifier.Worker
	// targetWorkers are the workers from which gangs are preempted for the job.
	targetWorkers []identifier.Worker
	// protected means that the gang is part of its workspace's guarantee.
	protected      bool
	protectedOn    []identifier.Worker
	placement      uint32
	progress       time.Duration
	renewedRoundAt time.Time
	// expectedStart is the earliest start that was expected when workers were
	// reserved for the waiting job, zero if none were.
	expectedStart time.Time
	nextWakeup    time.Time

	// unreleased are the workers of an earlier holder's gang that have not
	// confirmed the release. Their tasks have certainly ended by
	// unreleasedUntil.
	unreleased      map[identifier.Worker]bool
	unreleasedUntil time.Time

	failures []failure
	attempts int
	// blamed are all workers on which the job failed, including those whose
	// failures were withdrawn.
	blamed map[identifier.Worker]bool

	outcome   *messenger.Outcome
	outcomeID string
	// outcomeRetryAt is when the outcome is appended again.
	outcomeRetryAt time.Time
}

func (job *job) setState(now time.Time, state state) {
	if job.state != state {
		job.state, job.since = state, now
	}
}

// resetPlacement clears the state that only the holder of the region has.
func (job *job) resetPlacement() {
	job.gang, job.occupiedWorkers, job.targetWorkers, job.state = nil, nil, nil, waiting
	job.protected, job.protectedOn = false, nil
	job.failures, job.attempts, job.blamed = nil, 0, nil
	job.outcome, job.outcomeID, job.outcomeRetryAt = nil, "", time.Time{}
	job.expectedStart = time.Time{}
	job.nextWakeup, job.unreleased, job.unreleasedUntil = time.Time{}, nil, time.Time{}
}

// queue contains the waiting jobs of one workspace: urgent jobs first, then the
// others, each in the order of acceptance. compact removes jobs that no longer
// wait.
type queue struct{ jobs []*job }

func compareJobs(a, b *job) int {
	if a.spec.Urgent != b.spec.Urgent {
		if a.spec.Urgent {
			return -1
		}
		return 1
	}
	// Jobs of one group commit have the same offset.
	return cmp.Or(cmp.Compare(a.offset, b.offset), cmp.Compare(a.spec.Job, b.spec.Job))
}

// enqueue adds a waiting job to the queue of its workspace.
func (region *region) enqueue(job *job) {
	waiting, ok := region.queues[job.spec.Workspace]
	if !ok {
		waiting = &queue{}
		region.queues[job.spec.Workspace] = waiting
	}
	at, found := slices.BinarySearchFunc(waiting.jobs, job, compareJobs)
	if !found {
		waiting.jobs = slices.Insert(waiting.jobs, at, job)
	}
}

// compact removes jobs that no longer wait.
func (queue *queue) compact() {
	queue.jobs = slices.DeleteFunc(queue.jobs, func(job *job) bool { return job.state != waiting })
}

func (scheduler *Scheduler) handleJobAccepted(now time.Time, event messenger.JobAccepted) {
	if _, ok := scheduler.jobs[event.Spec.Job]; ok {
		return
	}
	accepted := &job{
		spec: event.Spec, offset: event.Offset, acceptedAt: now, since: now,
		region: event.Spec.Region, reason: classifier.NoCapacity,
	}
	scheduler.jobs[event.Spec.Job] = accepted
	region := scheduler.region(accepted.region)
	region.enqueue(accepted)
	scheduler.requestPlan(now, region)
}

func (scheduler *Scheduler) handleJobCancelled(now time.Time, name identifier.Job) {
	job, ok := scheduler.jobs[name]
	if !ok {
		return
	}
	job.cancelled = true
	region := scheduler.region(job.region)
	if region.held && job.state == clearing {
		scheduler.abortClearing(now, region, job)
	}
	if region.held && job.gang != nil && job.gang.Phase() != leaser.Finished {
		job.gang.Stop(now, leaser.Stopped)
		scheduler.wakeups.schedule(job, now)
	}
	scheduler.requestPlan(now, region)
}

// handleJobEnded ends the job with the first outcome in the log.
func (scheduler *Scheduler) handleJobEnded(now time.Time, outcome messenger.Outcome) {
	job, ok := scheduler.jobs[outcome.Job]
	if !ok {
		return
	}
	region := scheduler.region(job.region)
	if region.held {
		// Every node reads the outcome in the log; only the holder
		// records the decision.
		scheduler.recordDecision(now, string(outcome.Job), "ended", outcome.Code.Name())
	}
	job.outcome, job.outcomeRetryAt = &outcome, time.Time{}
	if job.gang != nil {
		job.gang.Stop(now, leaser.Stopped)
	} else {
		region.releaseTarget(job)
	}
	// The packing of the guarantees is built from the jobs of the region, to which this
	// one no longer belongs while its gang is released.
	scheduler.unprotect(now, region, job)
	job.setState(now, concluding)
	delete(scheduler.jobs, outcome.Job)
	scheduler.wakeups.schedule(job, now)
	scheduler.requestPlan(now, region)
}
