package registrar

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// lateAppendTime is how long after a submission was answered with an unknown outcome the
// store may still carry out an append of it.
const lateAppendTime = 30 * time.Second

// uncertainSubmission is a submission that was answered with an unknown outcome.
type uncertainSubmission struct {
	workspace identifier.Workspace
	// until is the time up to which the journal may receive the job.
	until time.Time
}

// addUncertain notes that a submission is answered with an unknown outcome.
func (registrar *Registrar) addUncertain(now time.Time, command *command) {
	if _, isSubmission := command.entry.(messenger.Submitted); isSubmission {
		registrar.uncertain[command.job] = uncertainSubmission{command.workspace, now.Add(lateAppendTime)}
	}
}

// forgetUncertain removes the submissions whose appends can no longer be carried out and
// those that the journal has.
func (registrar *Registrar) forgetUncertain(now time.Time) {
	for id, submission := range registrar.uncertain {
		job, ok := registrar.jobs[id]
		if (ok && job.submitted) || now.After(submission.until) {
			delete(registrar.uncertain, id)
		}
	}
}

// withdrawUnread decides on a cancellation whose job was not in the journal when the
// cancellation arrived. A submission of the job at this node may still become durable: an
// open one is awaited, and after one without an outcome the cancellation is appended
// although the job is unknown, because it holds whichever of the two comes first.
func (registrar *Registrar) withdrawUnread(id uint64, command *command) []messenger.Action {
	if registrar.hasOpenSubmission(command) {
		return nil
	}
	if submission, ok := registrar.uncertain[command.job]; ok && submission.workspace == command.workspace {
		command.awaitsRead = false
		return registrar.send(id, command)
	}
	delete(registrar.commands, id)
	return refuse(command.request, command.job, classifier.New(classifier.UnknownJob, "the journal has no such job"))
}

// hasOpenSubmission reports whether the job of a cancellation is being submitted at this
// node.
func (registrar *Registrar) hasOpenSubmission(cancellation *command) bool {
	for _, command := range registrar.commands {
		_, isSubmission := command.entry.(messenger.Submitted)
		if isSubmission && command.job == cancellation.job && command.workspace == cancellation.workspace {
			return true
		}
	}
	return false
}
