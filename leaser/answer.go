package leaser

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// HandleAnswer applies the answer to a call of this gang other than a renewal.
func (gang *Gang) HandleAnswer(now time.Time, answer messenger.WorkerAnswered, observation Observation) {
	i, ok := gang.index[answer.Worker]
	if !ok || gang.members[i].pending != answer.Kind {
		return
	}
	member := &gang.members[i]
	member.pending = 0
	if answer.Err != nil {
		gang.handleRefusal(now, member, answer)
		return
	}
	switch answer.Kind {
	case messenger.ReserveTask:
		member.reserved, member.newest = true, observation
	case messenger.StartTask:
		member.started, member.startedAt = true, now
	case messenger.CheckpointTask:
		member.checkpointed = true
	case messenger.ReleaseTask:
		member.released = true
	}
}

// handleRefusal applies an answer with an error. A refusal that follows from the
// worker's state ends a reservation or a start, and counts as the end of a
// checkpoint. After any other error the call is repeated until the phase is over.
func (gang *Gang) handleRefusal(now time.Time, member *member, answer messenger.WorkerAnswered) {
	member.callAt = now.Add(gang.timing.RetryDelay)
	switch answer.Err.Code {
	case classifier.NoCapacity, classifier.LeaseExpired, classifier.StaleTerm, classifier.BadRequest:
	default:
		return
	}
	switch gang.phase {
	case Reserving, Starting:
		gang.blamed = append(gang.blamed, member.worker)
		gang.Stop(now, Refused)
	case Checkpointing:
		member.checkpointed = true
	}
}

// Observe applies what a worker reported about its tasks in any answer. task is
// nil if the worker listed no task of the gang.
func (gang *Gang) Observe(now time.Time, worker identifier.Worker, observation Observation, task *messenger.Task) {
	i, ok := gang.index[worker]
	if !ok || gang.phase < Starting || gang.phase > Checkpointing {
		return
	}
	member := &gang.members[i]
	// The answer to a call that was sent before the start was confirmed may
	// describe the worker before the task ran.
	afterStart := member.started && !observation.SentAt.Before(member.startedAt)
	if task == nil {
		if afterStart {
			gang.blameAndStop(now, Lost, worker)
		}
		return
	}
	member.progress = max(member.progress, task.Progress)
	switch task.State {
	case messenger.Running:
		gang.updateNewest(member, observation)
	case messenger.Completed:
		gang.updateNewest(member, observation)
		member.completed = true
		gang.finishIfCompleted()
	case messenger.Failed:
		gang.blameAndStop(now, Failed, worker)
	case messenger.Expired:
		gang.blameAndStop(now, Lost, worker)
	}
}

// finishIfCompleted ends the run if every member has completed. The workers list
// the tasks until Stop, so that another holder can still read the result.
func (gang *Gang) finishIfCompleted() {
	if gang.allMembers(func(member *member) bool { return member.completed }) {
		gang.phase, gang.result = Finished, Completed
	}
}

// updateNewest stores the observation if it is the newest one. Until the start is
// confirmed the stored one stays: the start call needs its clock reading, and an
// observation before the confirmation does not show that the task runs.
func (gang *Gang) updateNewest(member *member, observation Observation) {
	if member.started && observation.SentAt.After(member.newest.SentAt) {
		member.newest = observation
	}
}

func (gang *Gang) blameAndStop(now time.Time, result Result, worker identifier.Worker) {
	gang.blamed = append(gang.blamed, worker)
	gang.Stop(now, result)
}
