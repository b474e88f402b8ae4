package applier

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// openCommand is a command whose record has been sent to the log and has not been
// read back.
type openCommand struct {
	request identifier.Request
	command commander.Command
	// deadline is the time at which the command is answered with an unknown
	// outcome if its record has not been read.
	deadline time.Time
}

// commands holds the open commands, keyed by the ID of their record.
type commands struct {
	open map[string]openCommand
	// recordCount is the number of records that this process has created. It makes
	// their IDs unique.
	recordCount uint64
}

func newCommands() *commands { return &commands{open: map[string]openCommand{}} }

// logRetryDelay is the retry delay of refusals while the log is unavailable.
const logRetryDelay = 5 * time.Second

func (applier *Applier) handleCommandArrived(now time.Time, arrived messenger.CommandArrived) {
	stream, record, answered := applier.prepare(now, arrived)
	if answered != nil {
		answered.Request = arrived.Request
		applier.emit(*answered)
		return
	}
	applier.commands.recordCount++
	id := fmt.Sprintf("command/%s/%d/%d", applier.identity.Node, applier.identity.Incarnation, applier.commands.recordCount)
	applier.commands.open[id] = openCommand{
		request: arrived.Request, command: arrived.Command, deadline: now.Add(2 * applier.parameters.AppendTimeout),
	}
	applier.emit(messenger.AppendRecord{
		Stream: stream, Entry: messenger.Entry{ID: id, Record: record}, Deadline: now.Add(applier.parameters.AppendTimeout),
	})
}

// prepare returns the record of a command and its stream, or the command's answer
// if the state applied so far determines it.
func (applier *Applier) prepare(now time.Time, arrived messenger.CommandArrived) (identifier.Stream, messenger.Record, *messenger.CommandAnswered) {
	if !applier.isReady(now) {
		return "", nil, refusal(notReadyError())
	}
	var stream identifier.Stream
	var record messenger.Record
	var answered *messenger.CommandAnswered
	switch command := arrived.Command.(type) {
	case commander.Publish:
		stream = identifier.Configuration
		record, answered = applier.preparePublish(command)
	case commander.Approve:
		stream = identifier.Configuration
		record, answered = applier.prepareApprove(command)
	case commander.Submit:
		stream = identifier.Jobs
		record, answered = applier.prepareSubmit(command)
	case commander.Cancel:
		stream = identifier.Jobs
		record, answered = applier.prepareCancel(command)
	default:
		return "", nil, refusal(classifier.New(classifier.BadRequest, "unknown command type %T", command))
	}
	switch {
	case answered != nil:
	case applier.stream(stream).logUnavailable:
		answered = refusal(classifier.New(classifier.LogUnavailable, "the log is unavailable").WithRetryAfter(logRetryDelay))
	case len(applier.commands.open) >= applier.parameters.MaxCommands:
		answered = refusal(classifier.New(classifier.TooManyCalls, "the node has %d open commands", len(applier.commands.open)).
			WithRetryAfter(time.Second))
	}
	return stream, record, answered
}

func refusal(err *classifier.Error) *messenger.CommandAnswered {
	return &messenger.CommandAnswered{Err: err}
}

// preparePublish returns the record of a publication, or a refusal if its text is
// invalid or its base is outdated.
func (applier *Applier) preparePublish(publish commander.Publish) (messenger.Record, *messenger.CommandAnswered) {
	publication := messenger.Publication{Organisation: publish.Organisation, Base: publish.Base, Text: publish.Text}
	if _, err := applier.configuration.parse(publish.Organisation, publish.Text); err != nil {
		return nil, refusal(err)
	}
	// A base below the current version has certainly been replaced. A base above
	// it may be a version that this node has not applied yet.
	if current, _ := applier.configuration.currentVersion(publish.Organisation); publish.Base < current {
		return nil, refusal(applier.configuration.checkBase(publication))
	}
	return publication, nil
}

func (applier *Applier) prepareApprove(approve commander.Approve) (messenger.Record, *messenger.CommandAnswered) {
	approval := messenger.Approval{Organisation: approve.Organisation, Publication: approve.Publication}
	if approve.Publication <= applier.stream(identifier.Configuration).applied {
		if _, err := applier.configuration.checkApproval(approval); err != nil {
			return nil, refusal(err)
		}
	}
	return approval, nil
}

// prepareSubmit assigns a job without a region to the region of the entry node, so
// that every node reads the same region from the record.
func (applier *Applier) prepareSubmit(submit commander.Submit) (messenger.Record, *messenger.CommandAnswered) {
	if accepted := applier.jobs.job(submit.Job.Job); accepted != nil {
		answered := &messenger.CommandAnswered{Offset: accepted.Offset}
		if !isSameSpec(accepted.Spec, submit.Job) {
			answered = refusal(jobExistsError(submit.Job.Job))
		}
		return nil, answered
	}
	spec := submit.Job
	if spec.Region == "" {
		spec.Region = applier.identity.Region
	}
	return messenger.Submission{Spec: spec}, nil
}

// isSameSpec reports whether a submission repeats an accepted job. The entry node
// of the accepted job may have assigned its region.
func isSameSpec(accepted, submitted commander.JobSpec) bool {
	if submitted.Region == "" {
		submitted.Region = accepted.Region
	}
	return accepted == submitted
}

// prepareCancel returns the record of a cancellation. It answers immediately if the
// job cannot be cancelled or has been cancelled already. Whether an unknown job exists
// is decided by the log, because another node may have accepted it just before.
func (applier *Applier) prepareCancel(cancel commander.Cancel) (messenger.Record, *messenger.CommandAnswered) {
	job := applier.jobs.job(cancel.Job)
	switch {
	case job == nil:
	case job.Spec.Workspace != cancel.Workspace:
		return nil, refusal(forbiddenJobError(cancel.Job))
	case !job.EndedAt.IsZero():
		return nil, refusal(classifier.New(classifier.JobEnded, "job %q has ended", cancel.Job))
	case job.CancelledAt > 0:
		return nil, &messenger.CommandAnswered{Offset: job.CancelledAt}
	}
	return messenger.Cancellation{Job: cancel.Job, Workspace: cancel.Workspace}, nil
}

// answerCommand answers the open command whose record was applied, if there is one.
func (applier *Applier) answerCommand(id string, effect effect) {
	open, ok := applier.commands.open[id]
	if !ok {
		return
	}
	delete(applier.commands.open, id)
	answered := messenger.CommandAnswered{Request: open.request, Err: effect.err, Offset: effect.offset}
	if submit, ok := open.command.(commander.Submit); ok && classifier.CodeOf(asError(effect.err)) == classifier.JobExists {
		if accepted := applier.jobs.job(submit.Job.Job); accepted != nil && isSameSpec(accepted.Spec, submit.Job) {
			answered.Err, answered.Offset = nil, accepted.Offset
		}
	}
	applier.emit(answered)
}

// asError converts a nil *classifier.Error to a nil error.
func asError(err *classifier.Error) error {
	if err == nil {
		return nil
	}
	return err
}

// handleAppendFailed answers the command whose record could not be appended.
func (applier *Applier) handleAppendFailed(_ time.Time, failed messenger.AppendFailed) {
	open, ok := applier.commands.open[failed.ID]
	if !ok {
		return
	}
	delete(applier.commands.open, failed.ID)
	applier.emit(messenger.CommandAnswered{Request: open.request, Err: appendError(failed)})
}

// appendError returns the error of a failed append. It reports NotRun only if the
// record is certainly not in the log.
func appendError(failed messenger.AppendFailed) *classifier.Error {
	if failed.Execution != classifier.NotRun {
		return classifier.New(classifier.OutcomeUnknown, "the log did not confirm the record: %s", failed.Code.Name())
	}
	code := failed.Code
	if code.Execution() != classifier.NotRun {
		code = classifier.LogUnavailable
	}
	return classifier.New(code, "the record was not appended").WithRetryAfter(logRetryDelay)
}

// expireCommands answers the commands whose record was neither read nor reported
// as failed before the deadline.
func (applier *Applier) expireCommands(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(applier.commands.open)) {
		open := applier.commands.open[id]
		if now.Before(open.deadline) {
			continue
		}
		delete(applier.commands.open, id)
		applier.emit(messenger.CommandAnswered{
			Request: open.request,
			Err:     classifier.New(classifier.OutcomeUnknown, "the record was not read back from the log"),
		})
	}
}
