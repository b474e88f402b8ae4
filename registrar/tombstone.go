package registrar

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// A submission whose append got no answer may become durable seconds later, and only the entry
// VM that has sent it knows. A cancellation of a job that the journal does not have therefore
// leaves a tombstone in the journal before it is answered: all nodes read it, and cancel the
// job if it follows. The holder deletes it once no append can be that late.

// maxTombstones bounds the tombstones in the journal. Beyond it cancellations of unknown jobs
// are refused, so that they can't displace submissions.
const maxTombstones = 4096

// tombstoneRetryDelay is when a refused cancellation of an unknown job may return.
const tombstoneRetryDelay = 3 * time.Second

// tombstoneOf returns the tombstone that a job of a workspace would be cancelled by.
func tombstoneOf(id identifier.Job, workspace identifier.Workspace) messenger.Tombstone {
	return messenger.Tombstone{Job: id, Workspace: workspace}
}

// applyTombstone cancels the job if the journal has it, and otherwise keeps the tombstone for
// its submission.
func (registrar *Registrar) applyTombstone(tombstone messenger.Tombstone) {
	registrar.tombstones[tombstone] = true
	if known, ok := registrar.jobs[tombstone.Job]; ok && known.submitted && known.workspace == tombstone.Workspace {
		registrar.updateJob(tombstone.Job, func(job *job) { job.withdrawn = true })
	}
}

// appendTombstone continues the cancellation of a job that the journal does not have.
func (registrar *Registrar) appendTombstone(id uint64, command *command) []messenger.Action {
	tombstone := tombstoneOf(command.job, command.workspace)
	var refusal *classifier.Error
	if err := tombstone.Check(); err != nil {
		refusal = classifier.Wrap(err)
	} else if len(registrar.tombstones) >= maxTombstones && !registrar.tombstones[tombstone] {
		refusal = classifier.New(classifier.StoreBusy, "%d cancellations of unknown jobs are in the journal", len(registrar.tombstones)).WithRetryAfter(tombstoneRetryDelay)
	}
	if refusal != nil {
		delete(registrar.commands, id)
		return refuse(command.request, command.job, refusal)
	}
	command.awaitsRead, command.entry = false, tombstone
	return registrar.send(id, command)
}

// answerTombstone answers a cancellation whose tombstone is durable. The job may have become
// durable meanwhile.
func (registrar *Registrar) answerTombstone(now time.Time, command *command) []messenger.Action {
	if job, ok := registrar.jobs[command.job]; ok && job.submitted && job.workspace == command.workspace {
		return accept(now, command, "cancel-accepted", "the journal has a tombstone and the job")
	}
	return refuse(command.request, command.job, classifier.New(classifier.UnknownJob, "the journal has no such job, and a late submission is cancelled"))
}
