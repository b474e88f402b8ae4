package scheduler

import (
	"fmt"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

const (
	// outcomeTimeout is the longest time that an outcome may wait in the appender.
	outcomeTimeout = time.Minute
	// finishedRetention is how long a completed gang occupies its accelerators while
	// its outcome is not in the log, so that a new holder can still read the
	// completion from the workers.
	finishedRetention = 30 * time.Second
)

// setOutcome sets the outcome of a job and appends it. The job is removed when the
// outcome is applied from the log.
func (scheduler *Scheduler) setOutcome(now time.Time, job *job, outcome messenger.Outcome) {
	if job.outcome != nil {
		return
	}
	outcome.Job = job.spec.Job
	job.outcome = &outcome
	job.setState(now, concluding)
	scheduler.appendOutcome(now, job)
}

func (scheduler *Scheduler) appendOutcome(now time.Time, job *job) {
	job.outcomeID = fmt.Sprintf("outcome/%s/%d/%d", job.spec.Job, scheduler.regions[job.region].term, now.UnixNano())
	job.outcomeRetryAt = now.Add(2 * outcomeTimeout)
	scheduler.emit(messenger.AppendRecord{
		Stream:   identifier.Jobs,
		Entry:    messenger.Entry{ID: job.outcomeID, Record: *job.outcome},
		Deadline: now.Add(outcomeTimeout),
	})
	scheduler.wakeups.schedule(job, job.outcomeRetryAt)
}

// retryOutcome schedules a new append of an outcome whose append failed.
// A second record of the same job has no effect if the first is in the log.
func (scheduler *Scheduler) retryOutcome(now time.Time, id string) {
	for _, job := range scheduler.jobs {
		if job.outcomeID == id {
			job.outcomeRetryAt = now.Add(time.Second)
			scheduler.wakeups.schedule(job, job.outcomeRetryAt)
			return
		}
	}
}

// repeatedFailure returns the outcome of a job that failed on several sets of
// workers.
func repeatedFailure(job *job, last identifier.Worker) messenger.Outcome {
	return messenger.Outcome{
		Code: classifier.RepeatedFailure,
		Reason: fmt.Sprintf("failed %d times on %d sets of workers, last on %s",
			job.attempts, job.failedWorkerSets(), last),
	}
}
