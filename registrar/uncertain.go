package registrar

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// uncertainSubmission is a submission that was answered with an unknown outcome.
type uncertainSubmission struct {
	workspace identifier.Workspace
	// until is the time up to which the journal may receive the job.
	until time.Time
}

// addUncertain notes that a submission is answered with an unknown outcome.
func (registrar *Registrar) addUncertain(now time.Time, command *command) {
	if _, isSubmission := command.entry.(messenger.Submitted); isSubmission {
		registrar.uncertain[command.job] = uncertainSubmission{command.workspace, now.Add(messenger.MaxAppendDelay)}
		registrar.budget.Settle(command.job)
	}
}

// forgetUncertain removes the submissions whose appends can no longer be carried out and
// those that the journal has.
func (registrar *Registrar) forgetUncertain(now time.Time) {
	for id, submission := range registrar.uncertain {
		job, ok := registrar.jobs[id]
		if (ok && job.submitted) || now.After(submission.until) {
			delete(registrar.uncertain, id)
			registrar.releaseUnlessKnown(id)
		}
	}
}

// withdrawUnread decides on a cancellation whose job was not in the journal when the
// cancellation arrived. A submission of the job may still become durable: an open one at this
// node is awaited, after one without an outcome the cancellation is appended although the job
// is unknown, because it holds whichever of the two comes first, and for those at other nodes
// it leaves a tombstone.
func (registrar *Registrar) withdrawUnread(id uint64, command *command) []messenger.Action {
	if registrar.hasOpenSubmission(command) {
		return nil
	}
	if submission, ok := registrar.uncertain[command.job]; ok && submission.workspace == command.workspace {
		command.awaitsRead = false
		return registrar.send(id, command)
	}
	if job, ok := registrar.jobs[command.job]; ok && job.submitted { // of another workspace
		delete(registrar.commands, id)
		return refuse(command.request, command.job, classifier.New(classifier.UnknownJob, "the workspace has no such job"))
	}
	return registrar.appendTombstone(id, command)
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
