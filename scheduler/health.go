package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"corianderroad/identifier"
)

// avoidDuration is the time without placements on a worker after it refused a
// gang, so that its state is read before it is chosen again.
const avoidDuration = 2 * time.Second

// maxQuarantine bounds the doubling of quarantines. Otherwise a series of jobs that
// always fail could leave a small fleet without usable workers for hours.
const maxQuarantine = time.Hour

// maxBlamedWorkers is the number of workers against which the failures of one job
// count. A job that fails on more workers is itself the likely cause.
const maxBlamedWorkers = 2

// health records the failures on a worker and its quarantine.
type health struct {
	// failedJobs are the different jobs that failed on the worker since its last
	// quarantine.
	failedJobs map[identifier.Job]bool
	// quarantinedUntil is the end of the quarantine. The worker is then on
	// probation: one failure quarantines it again, one completion ends the
	// probation.
	quarantinedUntil time.Time
	quarantines      int
	avoidUntil       time.Time
}

// failure is one failure of a job: where it ran and on which worker it failed.
type failure struct {
	workerSet string
	worker    identifier.Worker
}

// workerSetName returns a name for a set of workers that does not depend on their
// order.
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
	scheduler.recordDecision(now, string(job.spec.Job), "failed", fmt.Sprintf("the task on %s failed", blamed))
	if job.blamed == nil {
		job.blamed = make(map[identifier.Worker]bool)
	}
	// A job counts only once against a worker, even across quarantines.
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
	limit := scheduler.parameters.FailedJobLimit
	if worker.health.quarantines > 0 {
		limit = 1
	}
	if len(worker.health.failedJobs) >= limit {
		scheduler.quarantine(now, region, worker)
	}
}

// quarantine excludes a worker from placement for some time. The failures on it no
// longer count against the jobs.
func (scheduler *Scheduler) quarantine(now time.Time, region *region, worker *worker) {
	duration := min(scheduler.parameters.QuarantineDuration<<min(worker.health.quarantines, 16), maxQuarantine)
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
	scheduler.recordDecision(now, string(worker.name), "quarantined", detail)
}

// failedWorkerSets returns the number of different sets of workers on which the
// job failed.
func (job *job) failedWorkerSets() int {
	different := make(map[string]bool, len(job.failures))
	for _, failure := range job.failures {
		different[failure.workerSet] = true
	}
	return len(different)
}

// withdrawFailures removes the failures of a job from the records of its workers,
// because the job failed on several sets of workers and is the likely cause.
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
