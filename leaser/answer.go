package leaser

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// Answered applies the answer to a call of this gang other than a renewal.
func (gang *Gang) Answered(now time.Time, answer messenger.WorkerAnswered, observation Observation) {
	i, ok := gang.index[answer.Worker]
	if !ok || gang.members[i].open != answer.Kind {
		return
	}
	member := &gang.members[i]
	member.open = 0
	if answer.Err != nil {
		gang.refused(now, member, answer)
		return
	}
	switch answer.Kind {
	case messenger.ReserveTask:
		member.reserved, member.newest = true, observation
	case messenger.StartTask:
		member.started, member.startedAt = true, now
	case messenger.CheckpointTask:
		member.saved = true
	case messenger.ReleaseTask:
		member.released = true
	}
}

// refused applies an answer with an error. A refusal in state of the worker ends
// the attempt; a call without an answer is repeated until the phase's time is over.
func (gang *Gang) refused(now time.Time, member *member, answer messenger.WorkerAnswered) {
	member.askAt = now.Add(gang.timing.Retry)
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
		member.saved = true
	}
}

// Observe applies what a worker reported about its tasks in any answer. task is nil
// if the gang was not among them.
func (gang *Gang) Observe(now time.Time, worker identifier.Worker, observation Observation, task *messenger.Task) {
	i, ok := gang.index[worker]
	if !ok || gang.phase < Starting || gang.phase > Checkpointing {
		return
	}
	member := &gang.members[i]
	// An answer to a call that was sent before the start was confirmed may
	// have been given before the task ran.
	settled := member.started && !observation.AskedAt.Before(member.startedAt)
	if task == nil {
		if settled {
			gang.lose(now, Lost, worker)
		}
		return
	}
	member.progress = max(member.progress, task.Progress)
	switch task.State {
	case messenger.Running:
		gang.keepNewest(member, observation)
	case messenger.Completed:
		gang.keepNewest(member, observation)
		member.completed = true
		gang.finish()
	case messenger.Failed:
		gang.lose(now, Failed, worker)
	case messenger.Expired:
		gang.lose(now, Lost, worker)
	}
}

// finish notes that every member completed. The tasks stay listed by their
// workers until Stop, so that another holder can still learn the result.
func (gang *Gang) finish() {
	if gang.all(func(member *member) bool { return member.completed }) {
		gang.phase, gang.result = Finished, Completed
	}
}

// keepNewest keeps the newest observation. Observations before the start was confirmed
// carry the mark that the start needs, and are not evidence that the task runs.
func (gang *Gang) keepNewest(member *member, observation Observation) {
	if member.started && observation.AskedAt.After(member.newest.AskedAt) {
		member.newest = observation
	}
}

func (gang *Gang) lose(now time.Time, result Result, worker identifier.Worker) {
	gang.blamed = append(gang.blamed, worker)
	gang.Stop(now, result)
}
