package planner

import (
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// formerProgress collects the progress that former holders have recorded. A node reads
// it only when it has claimed.
type formerProgress struct {
	newest map[identifier.Job]map[int]*specifier.Progress
	// end is the offset up to which newest is complete.
	end identifier.Offset
}

// isReadUpTo reports whether all records before an offset are known.
func (formerProgress *formerProgress) isReadUpTo(offset identifier.Offset) bool {
	return formerProgress.newest != nil && formerProgress.end >= offset
}

// add adds the records of a reading. Those of an earlier claim's reading that arrive
// before a complete one are ignored, because records before them are missing.
func (formerProgress *formerProgress) add(event messenger.ProgressRead) {
	if event.Complete {
		formerProgress.newest = make(map[identifier.Job]map[int]*specifier.Progress, len(event.Entries))
	}
	if formerProgress.newest == nil {
		return
	}
	for index := range event.Entries {
		entry := &event.Entries[index]
		parts := formerProgress.newest[entry.Job]
		if parts == nil {
			parts = make(map[int]*specifier.Progress)
			formerProgress.newest[entry.Job] = parts
		}
		parts[entry.Part] = &entry.Progress
	}
	formerProgress.end = event.End
}

// take returns the parts of the progress of a job by their numbers, none if there is no
// progress, and forgets them.
func (formerProgress *formerProgress) take(job identifier.Job) map[int]*specifier.Progress {
	progress := formerProgress.newest[job]
	delete(formerProgress.newest, job)
	return progress
}

// takeOver prepares the execution of a job whose tasks a former holder may have started.
// The record of a job can be read after that of its progress.
func (planner *Planner) takeOver(job *job) {
	if !job.submitted {
		return
	}
	job.prepareExecution(planner.holder.formerProgress.take(job.spec.ID))
	planner.updateOpenJobs(job)
	if job.state != job.journalState {
		planner.recording.markDirty(job)
	}
	if job.isOpen() && job.mayHaveStarted {
		planner.holder.unresolvedTasks += job.markInheritedTasks()
		planner.holder.reconciled = false
	}
}

func (planner *Planner) handleProgressRead(now time.Time, event messenger.ProgressRead) {
	if planner.holder.token == 0 || planner.holder.active {
		return
	}
	planner.holder.formerProgress.add(event)
	planner.activateIfReady(now)
}
