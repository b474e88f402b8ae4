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

// openCommand is a command whose record is on its way to the log.
type openCommand struct {
	request identifier.Request
	command commander.Command
	// until bounds the wait for a record that was appended but is not read.
	until time.Time
}

// commands holds the open commands by the ID of their record.
type commands struct {
	open map[string]openCommand
	// issued numbers the records of this process.
	issued uint64
}

func newCommands() *commands { return &commands{open: map[string]openCommand{}} }

// silentRetry is the hint of a refusal while the log does not answer.
const silentRetry = 5 * time.Second

func (applier *Applier) commandArrived(now time.Time, arrived messenger.CommandArrived) {
	stream, record, answered := applier.prepare(now, arrived)
	if answered != nil {
		answered.Request = arrived.Request
		applier.emit(*answered)
		return
	}
	applier.commands.issued++
	id := fmt.Sprintf("command/%s/%d/%d", applier.identity.Node, applier.identity.Incarnation, applier.commands.issued)
	applier.commands.open[id] = openCommand{
		request: arrived.Request, command: arrived.Command, until: now.Add(2 * applier.parameters.GiveUp),
	}
	applier.emit(messenger.AppendRecord{
		Stream: stream, Entry: messenger.Entry{ID: id, Record: record}, Deadline: now.Add(applier.parameters.GiveUp),
	})
}

// prepare returns the record of a command, or its answer if the state that is
// folded so far decides it.
func (applier *Applier) prepare(now time.Time, arrived messenger.CommandArrived) (identifier.Stream, messenger.Record, *messenger.CommandAnswered) {
	if !applier.ready(now) {
		return "", nil, refusal(notReady())
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
		return "", nil, refusal(classifier.New(classifier.BadRequest, "command %T is not known", command))
	}
	switch {
	case answered != nil:
	case applier.stream(stream).silent:
		answered = refusal(classifier.New(classifier.LogUnavailable, "the log does not answer").WithRetryAfter(silentRetry))
	case len(applier.commands.open) >= applier.parameters.MaxCommands:
		answered = refusal(classifier.New(classifier.TooManyCalls, "the node holds %d open commands", len(applier.commands.open)).
			WithRetryAfter(time.Second))
	}
	return stream, record, answered
}

func refusal(err *classifier.Error) *messenger.CommandAnswered {
	return &messenger.CommandAnswered{Err: err}
}

func (applier *Applier) preparePublish(publish commander.Publish) (messenger.Record, *messenger.CommandAnswered) {
	publication := messenger.Publication{Organisation: publish.Organisation, Base: publish.Base, Text: publish.Text}
	if _, err := applier.configuration.parse(publish.Organisation, publish.Text); err != nil {
		return nil, refusal(err)
	}
	// A lower base has surely been replaced. A higher one may be a version that
	// this node has not folded yet.
	if current, _ := applier.configuration.current(publish.Organisation); publish.Base < current {
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

// prepareSubmit puts a job without a region into that of the entry node, so that
// every node reads the same region from the record.
func (applier *Applier) prepareSubmit(submit commander.Submit) (messenger.Record, *messenger.CommandAnswered) {
	if known := applier.jobs.job(submit.Job.Job); known != nil {
		answered := &messenger.CommandAnswered{Offset: known.Offset}
		if !sameSpec(known.Spec, submit.Job) {
			answered = refusal(jobExists(submit.Job.Job))
		}
		return nil, answered
	}
	spec := submit.Job
	if spec.Region == "" {
		spec.Region = applier.identity.Region
	}
	return messenger.Submission{Spec: spec}, nil
}

// sameSpec says whether a submission repeats an accepted one, which may have
// got its region from another entry node.
func sameSpec(accepted, submitted commander.JobSpec) bool {
	if submitted.Region == "" {
		submitted.Region = accepted.Region
	}
	return accepted == submitted
}

func (applier *Applier) prepareCancel(cancel commander.Cancel) (messenger.Record, *messenger.CommandAnswered) {
	job := applier.jobs.job(cancel.Job)
	switch {
	case job == nil:
		return nil, refusal(classifier.New(classifier.UnknownJob, "no job %q is known", cancel.Job))
	case job.Spec.Workspace != cancel.Workspace:
		return nil, refusal(classifier.New(classifier.Forbidden, "job %q belongs to another workspace", cancel.Job))
	case !job.EndedAt.IsZero():
		return nil, refusal(classifier.New(classifier.JobEnded, "job %q has ended", cancel.Job))
	case job.CancelledAt > 0:
		return nil, &messenger.CommandAnswered{Offset: job.CancelledAt}
	}
	return messenger.Cancellation{Job: cancel.Job}, nil
}

// answer ends the command whose record was folded.
func (applier *Applier) answer(id string, verdict verdict) {
	open, ok := applier.commands.open[id]
	if !ok {
		return
	}
	delete(applier.commands.open, id)
	answered := messenger.CommandAnswered{Request: open.request, Err: verdict.err, Offset: verdict.offset}
	if submit, ok := open.command.(commander.Submit); ok && classifier.CodeOf(asError(verdict.err)) == classifier.JobExists {
		if known := applier.jobs.job(submit.Job.Job); known != nil && sameSpec(known.Spec, submit.Job) {
			answered.Err, answered.Offset = nil, known.Offset
		}
	}
	applier.emit(answered)
}

// asError keeps a nil *classifier.Error from becoming a non-nil error.
func asError(err *classifier.Error) error {
	if err == nil {
		return nil
	}
	return err
}

// appendFailed ends the command whose record is not in the log, as far as is
// known.
func (applier *Applier) appendFailed(_ time.Time, failed messenger.AppendFailed) {
	open, ok := applier.commands.open[failed.ID]
	if !ok {
		return
	}
	delete(applier.commands.open, failed.ID)
	applier.emit(messenger.CommandAnswered{Request: open.request, Err: failure(failed)})
}

// failure returns a refusal whose code does not say more than the fate does.
func failure(failed messenger.AppendFailed) *classifier.Error {
	if failed.Execution != classifier.NotRun {
		return classifier.New(classifier.OutcomeUnknown, "the log did not confirm the record: %s", failed.Code.Name())
	}
	code := failed.Code
	if code.Execution() != classifier.NotRun {
		code = classifier.LogUnavailable
	}
	return classifier.New(code, "the record was not appended").WithRetryAfter(silentRetry)
}

// expireCommands answers the commands whose record was neither read nor given up.
func (applier *Applier) expireCommands(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(applier.commands.open)) {
		open := applier.commands.open[id]
		if now.Before(open.until) {
			continue
		}
		delete(applier.commands.open, id)
		applier.emit(messenger.CommandAnswered{
			Request: open.request,
			Err:     classifier.New(classifier.OutcomeUnknown, "the record was not read back from the log"),
		})
	}
}
