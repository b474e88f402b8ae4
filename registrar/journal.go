package registrar

import (
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/specifier"
)

// fold applies an entry of the journal. Entries may come twice.
func (registrar *Registrar) fold(entry messenger.JournalEntry) {
	switch entry := entry.(type) {
	case messenger.Submitted:
		registrar.change(entry.Job.ID, func(job *job) {
			job.submitted = true
			job.queue, job.workspace = entry.Job.Queue, entry.Job.Workspace
			job.scheduled = entry.Job.Schedule != nil
		})
	case messenger.Withdrawn:
		registrar.change(entry.Job, func(job *job) { job.withdrawn = true })
	case messenger.Progressed:
		registrar.change(entry.Job, func(job *job) { job.state = entry.Progress.State })
	case messenger.Deleted:
		if known, ok := registrar.jobs[entry.Job]; ok {
			registrar.count(known, -1)
			delete(registrar.jobs, entry.Job)
		}
	}
}

// change applies a function to a job and keeps the queue's length true.
func (registrar *Registrar) change(id identifier.Job, apply func(*job)) {
	known, ok := registrar.jobs[id]
	if !ok {
		known = &job{}
		registrar.jobs[id] = known
	}
	registrar.count(known, -1)
	apply(known)
	registrar.count(known, 1)
}

// count adds a job to the length of its queue if it has not begun.
func (registrar *Registrar) count(job *job, by int) {
	if job.submitted && !job.withdrawn && job.state == specifier.Queued {
		registrar.waiting[job.queue] += by
	}
}

// View answers JobState and QueueLength.
func (registrar *Registrar) View(_ time.Time, query querier.Query) querier.Answer {
	answer := querier.Answer{AsOf: registrar.asOf}
	switch query.Kind {
	case querier.JobState:
		id := identifier.Job(query.Subject)
		known, ok := registrar.jobs[id]
		if !ok || !known.submitted || (query.Workspace != "" && known.workspace != query.Workspace) {
			return answer
		}
		answer.Submitted = []querier.SubmittedJob{{Job: id, Queue: known.queue, Workspace: known.workspace, State: known.shown()}}
	case querier.QueueLength:
		answer.Waiting = registrar.waiting[identifier.Queue(query.Subject)]
	case querier.Status:
		answer.Gauges = []querier.Gauge{
			{Name: "journal-jobs", Value: float64(len(registrar.jobs))},
			{Name: "open-commands", Value: float64(len(registrar.commands))},
		}
	}
	return answer
}

// shown returns the state that callers see. A cancellation holds from its
// acknowledgement on, unless the job had ended before.
func (job *job) shown() specifier.State {
	if job.withdrawn && !job.state.IsFinal() {
		return specifier.Cancelled
	}
	return job.state
}
