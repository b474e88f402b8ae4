package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"corianderroad/identifier"
)

// avoidFor is how long a worker is passed over after it refused a gang, so that
// its state is read before it is chosen again.
const avoidDuration = 2 * time.Second

// maxQuarantine bounds the doubling of quarantines. A fleet of few workers would
// otherwise stand still for hours after a series of jobs that always fail.
const maxQuarantine = time.Hour

// suspectAfter is the number of other workers on which a job has failed when
// its failures no longer count against workers.
const maxBlamedWorkers = 2

// health is the failure evidence against a worker.
type health struct {
	// failed are the different jobs that failed on the worker since its last
	// quarantine.
	failedJobs map[identifier.Job]bool
	// until is the end of the quarantine. Afterwards the worker is on probation:
	// one failure returns it to quarantine, one completion clears it.
	quarantinedUntil time.Time
	quarantines      int
	avoidUntil       time.Time
}

// failure is one failure of a job: where it ran and on which worker it failed.
type failure struct {
	workerSet string
	worker    identifier.Worker
}

// setOf names a set of workers.
func workerSetName(workers []identifier.Worker) string {
	names := make([]string, len(workers))
	for i, worker := range workers {
		names[i] = string(worker)
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}

// recordFailure counts a failure against the job and against the worker.
func (scheduler *Scheduler) recordFailure(now time.Time, region *region, job *job, blamed identifier.Worker) {
	job.failures = append(job.failures, failure{workerSetName(job.gang.Order().Workers), blamed})
	job.attempts++
	scheduler.decide(now, string(job.spec.Job), "failed", fmt.Sprintf("the task on %s failed", blamed))
	if job.blamed == nil {
		job.blamed = make(map[identifier.Worker]bool)
	}
	// A job counts once against a worker, also across quarantines.
	alreadyBlamed := job.blamed[blamed]
	job.blamed[blamed] = true
	worker, ok := region.workers[blamed]
	if !ok || alreadyBlamed || len(job.blamed) > maxBlamedWorkers || !scheduler.parameters.isEnabled(Quarantine) {
		return
	}
	if worker.health.failedJobs == nil {
		worker.health.failedJobs = make(map[identifier.Job]bool)
	}
	worker.health.failedJobs[job.spec.Job] = true
	limit := scheduler.parameters.FailureJobs
	if worker.health.quarantines > 0 {
		limit = 1
	}
	if len(worker.health.failedJobs) >= limit {
		scheduler.quarantine(now, region, worker)
	}
}

// quarantine takes a worker out of use for a while and withdraws the failures
// on it from the jobs that they were counted against.
func (scheduler *Scheduler) quarantine(now time.Time, region *region, worker *worker) {
	duration := min(scheduler.parameters.QuarantineFor<<min(worker.health.quarantines, 16), maxQuarantine)
	detail := fmt.Sprintf("%d jobs failed on it, until %s", len(worker.health.failedJobs), now.Add(duration).UTC().Format(time.RFC3339))
	for name := range worker.health.failedJobs {
		if job, ok := scheduler.jobs[name]; ok {
			job.failures = slices.DeleteFunc(job.failures, func(failure failure) bool { return failure.worker == worker.name })
		}
	}
	worker.health.quarantinedUntil = now.Add(duration)
	worker.health.quarantines++
	worker.health.failedJobs = nil
	region.nextPoll = earliest(region.nextPoll, worker.health.quarantinedUntil)
	worker.pollAt = worker.health.quarantinedUntil
	scheduler.transition(string(worker.name), "usable", "quarantined", detail)
	scheduler.decide(now, string(worker.name), "quarantined", detail)
}

// sets returns the number of different sets of workers on which the job failed.
func (job *job) failedWorkerSets() int {
	different := make(map[string]bool, len(job.failures))
	for _, failure := range job.failures {
		different[failure.workerSet] = true
	}
	return len(different)
}

// withdrawFailures withdraws the failures of a job that failed everywhere from the
// workers that they were counted against.
func (region *region) withdrawFailures(job *job) {
	for _, failure := range job.failures {
		if worker, ok := region.workers[failure.worker]; ok {
			delete(worker.health.failedJobs, job.spec.Job)
		}
	}
}

// endProbation ends the probation of workers on which a gang completed.
func (region *region) endProbation(workers []identifier.Worker) {
	for _, name := range workers {
		if worker, ok := region.workers[name]; ok {
			worker.health.quarantines = 0
			worker.health.failedJobs = nil
		}
	}
}
