package registrar

import (
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/specifier"
)

// apply applies a journal entry. The same entry may be applied twice.
func (registrar *Registrar) apply(entry messenger.JournalEntry) {
	switch entry := entry.(type) {
	case messenger.Submitted:
		registrar.updateJob(entry.Job.ID, func(job *job) {
			job.submitted = true
			job.queue, job.workspace = entry.Job.Queue, entry.Job.Workspace
			job.scheduled = entry.Job.Schedule != nil
			job.accelerators = firstAccelerators(&entry.Job)
			job.withdrawn = job.withdrawn || registrar.tombstones[tombstoneOf(entry.Job.ID, entry.Job.Workspace)]
		})
	case messenger.Withdrawn:
		registrar.updateJob(entry.Job, func(job *job) { job.withdrawn = true })
	case messenger.Tombstone:
		registrar.applyTombstone(entry)
	case messenger.TombstoneDeleted:
		delete(registrar.tombstones, entry.Tombstone)
	case messenger.Progressed:
		registrar.updateJob(entry.Job, func(job *job) {
			job.state, job.failure, job.endedAt = entry.Progress.State, entry.Progress.Reason, entry.Progress.EndedAt
		})
	case messenger.Deleted:
		if job, ok := registrar.jobs[entry.Job]; ok {
			registrar.countJob(job, -1)
			delete(registrar.jobs, entry.Job)
		}
	}
}

// updateJob applies a function to a job and updates the length of its queue.
func (registrar *Registrar) updateJob(id identifier.Job, update func(*job)) {
	found, ok := registrar.jobs[id]
	if !ok {
		found = &job{}
		registrar.jobs[id] = found
	}
	registrar.countJob(found, -1)
	update(found)
	registrar.countJob(found, 1)
}

// countJob changes the length of the job's queue by the given number if the job is queued, and
// the demand of its workspace if it is open.
func (registrar *Registrar) countJob(job *job, delta int) {
	registrar.early.countDemand(job, delta)
	if job.submitted && !job.withdrawn && job.state == specifier.Queued {
		registrar.queueLengths[job.queue] += delta
	}
}

// View answers JobState, QueueLength and Status.
func (registrar *Registrar) View(now time.Time, query querier.Query) querier.Answer {
	answer := querier.Answer{AsOf: registrar.asOf}
	switch query.Kind {
	case querier.JobState:
		id := identifier.Job(query.Subject)
		job, ok := registrar.jobs[id]
		if !ok || !job.submitted || (query.Workspace != "" && job.workspace != query.Workspace) {
			return answer
		}
		submitted := querier.SubmittedJob{Job: id, Queue: job.queue, Workspace: job.workspace, State: job.reportedState()}
		if submitted.State == specifier.Failed {
			submitted.Reason = job.failure
		}
		answer.Submitted = []querier.SubmittedJob{submitted}
	case querier.QueueLength:
		answer.Waiting = registrar.queueLengths[identifier.Queue(query.Subject)]
	case querier.Status:
		answer.Gauges = []querier.Gauge{
			{Name: "journal-jobs", Value: float64(len(registrar.jobs))},
			{Name: "journal-tombstones", Value: float64(len(registrar.tombstones))},
			{Name: "open-commands", Value: float64(len(registrar.commands))},
		}
		answer.Gauges = append(answer.Gauges, registrar.memoryGauges()...)
		answer.Gauges = append(answer.Gauges, registrar.early.gauges(now)...)
	}
	return answer
}

// reportedState returns the state that callers see. A job counts as cancelled
// from the acknowledgement of its cancellation on, unless it had ended before.
func (job *job) reportedState() specifier.State {
	if job.withdrawn && !job.state.IsFinal() {
		return specifier.Cancelled
	}
	return job.state
}
