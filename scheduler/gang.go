package scheduler

import (
	"fmt"
	"slices"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/leaser"
	"corianderroad/messenger"
)

// attemptsPerWorkerSet times FailedWorkerSetLimit bounds the attempts of a job.
// The bound applies if the job cannot be placed on enough different sets of
// workers, or if its failures were withdrawn when a worker was quarantined.
const attemptsPerWorkerSet = 3

// occupy assigns a gang to a job and marks the gang's accelerators as occupied.
func (scheduler *Scheduler) occupy(region *region, job *job, gang *leaser.Gang) {
	order := gang.Order()
	job.gang, job.occupiedWorkers = gang, slices.Clone(order.Workers)
	job.placement = max(job.placement, order.Gang.Placement)
	for _, name := range order.Workers {
		region.fleet.Occupy(name, order.Accelerators)
		worker := region.workers[name]
		worker.jobs = append(worker.jobs, job)
	}
}

// launch starts the gang protocol of a job on the given workers.
func (scheduler *Scheduler) launch(now time.Time, region *region, job *job, workers []identifier.Worker) {
	// The placement number is higher than those of earlier terms, including those
	// of gangs on workers that did not answer.
	placement := max(job.placement, uint32(region.term)) + 1
	order := leaser.Order{
		Gang: messenger.Gang{Job: job.spec.Job, Placement: placement}, Workers: workers,
		Accelerators: job.spec.Shape.Accelerators, RunTime: job.spec.RunTime, Progress: job.progress,
	}
	scheduler.occupy(region, job, leaser.New(now, order, scheduler.parameters.Timing))
	job.setState(now, reserving)
	job.expectedStart = time.Time{}
	scheduler.recordDecision(now, string(job.spec.Job), "placed", workerSetName(workers))
	scheduler.advanceGang(now, job)
}

// advanceGang advances the gang of a job and sends the calls and appends that are
// due.
func (scheduler *Scheduler) advanceGang(now time.Time, job *job) {
	region := scheduler.region(job.region)
	if !region.held {
		return
	}
	if job.outcome != nil && scheduler.jobs[job.spec.Job] == job && !job.outcomeRetryAt.IsZero() && !now.Before(job.outcomeRetryAt) {
		scheduler.appendOutcome(now, job)
	}
	if job.gang == nil {
		scheduler.wakeups.schedule(job, job.outcomeRetryAt)
		return
	}
	for _, request := range job.gang.Advance(now) {
		scheduler.send(now, region, region.workers[request.Worker], job, request)
	}
	scheduler.freeReleased(now, region, job)
	switch job.gang.Phase() {
	case leaser.Running:
		if job.state == reserving {
			job.setState(now, running)
			scheduler.recordDecision(now, string(job.spec.Job), "started", "")
		}
	case leaser.Finished:
		scheduler.finish(now, region, job)
	case leaser.Releasing, leaser.Checkpointing:
		if job.outcome == nil {
			job.setState(now, stopping)
		}
	case leaser.Ended:
		scheduler.handleGangEnd(now, region, job)
	}
	if job.gang != nil {
		scheduler.wakeups.schedule(job, job.gang.Next())
	}
	if scheduler.jobs[job.spec.Job] == job {
		scheduler.wakeups.schedule(job, job.outcomeRetryAt)
	}
}

// freeReleased frees the accelerators of released members.
func (scheduler *Scheduler) freeReleased(now time.Time, region *region, job *job) {
	kept := job.occupiedWorkers[:0]
	for _, name := range job.occupiedWorkers {
		if job.gang.HoldsAccelerators(name) {
			kept = append(kept, name)
			continue
		}
		region.fleet.Release(name, job.spec.Shape.Accelerators)
		if worker, ok := region.workers[name]; ok {
			worker.removeJob(job)
		}
		scheduler.requestPlan(now, region)
	}
	job.occupiedWorkers = kept
}

// finish sets the outcome of a completed gang and stops the gang after
// finishedRetention.
func (scheduler *Scheduler) finish(now time.Time, region *region, job *job) {
	if job.outcome == nil {
		region.endProbation(job.gang.Order().Workers)
		scheduler.setOutcome(now, job, messenger.Outcome{Code: classifier.OK})
	}
	if release := job.since.Add(finishedRetention); now.Before(release) {
		scheduler.wakeups.schedule(job, release)
	} else {
		job.gang.Stop(now, leaser.Completed)
		scheduler.wakeups.schedule(job, now)
	}
}

// handleGangEnd queues the job again or ends it, depending on the result of its
// gang.
func (scheduler *Scheduler) handleGangEnd(now time.Time, region *region, job *job) {
	gang := job.gang
	job.progress = max(job.progress, gang.Progress())
	if gang.Result() == leaser.Failed && job.outcome == nil {
		scheduler.recordFailure(now, region, job, gang.Blamed()[0])
	}
	job.gang = nil
	scheduler.unprotect(now, region, job)
	scheduler.requestPlan(now, region)
	switch {
	case job.outcome != nil:
		return
	case job.cancelled:
		scheduler.setOutcome(now, job, cancelledOutcome())
	case gang.Result() == leaser.Failed && scheduler.hasFailedTooOften(job):
		region.withdrawFailures(job)
		scheduler.setOutcome(now, job, repeatedFailure(job, gang.Blamed()[0]))
	default:
		job.setState(now, waiting)
		region.enqueue(job)
		scheduler.recordDecision(now, string(job.spec.Job), "waits-again", fmt.Sprintf("%s at %s", gang.Result(), workerSetName(gang.Blamed())))
	}
}

func (scheduler *Scheduler) hasFailedTooOften(job *job) bool {
	limit := scheduler.parameters.FailedWorkerSetLimit
	return job.failedWorkerSets() >= limit || job.attempts >= attemptsPerWorkerSet*limit
}

func cancelledOutcome() messenger.Outcome {
	return messenger.Outcome{Code: classifier.JobEnded, Cancelled: true, Reason: "cancelled by the caller"}
}
