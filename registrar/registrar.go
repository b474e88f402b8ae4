// Package registrar accepts jobs and cancellations at one entry VM. It makes them
// durable in the journal before it acknowledges them, and answers queries for
// the state of jobs from the journal entries that it has read.
package registrar

import (
	"maps"
	"slices"
	"time"

	"corianderroad/budgeter"
	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// Durations of a command.
const (
	// appendRetryDelay is the time from a failed append of a command to the next. Once
	// an append may be durable, the command is retried until its deadline. The delay
	// then doubles up to maxAppendRetryDelay, so that the retries of all nodes do not
	// keep the store overloaded.
	appendRetryDelay    = 40 * time.Millisecond
	maxAppendRetryDelay = 400 * time.Millisecond
	// refusedAppendTimeout bounds the retries of appends that the store refused,
	// so that a caller learns soon that its job was not accepted and can use
	// another entry VM.
	refusedAppendTimeout = 130 * time.Millisecond
	// answerMargin is the part of a caller's deadline that is reserved for the
	// transmission of the answer.
	answerMargin = 60 * time.Millisecond
	// minRetryDelay is the shortest retry delay that a caller is given. A short outage
	// of the store has ended by then. A takeover need not have: jobs are accepted
	// without a holder.
	minRetryDelay = time.Second
	maxRetryDelay = 3 * time.Second
	// appendAbandonTimeout is the time without any answer of the store after which
	// a command whose append may be durable is no longer retried. The journal is
	// read at least once a second while the store responds.
	appendAbandonTimeout = 1150 * time.Millisecond
	// storeTimeout is the time without any successful call to the store after which
	// new commands are refused without an append.
	storeTimeout = 1500 * time.Millisecond
)

// Registrar is the state machine of one entry VM. It is not safe for
// concurrent use.
type Registrar struct {
	jobs     map[identifier.Job]*job
	commands map[uint64]*command
	lastID   uint64
	// uncertain holds the submissions that were answered with an unknown outcome.
	uncertain map[identifier.Job]uncertainSubmission
	// tombstones are those of the journal.
	tombstones map[messenger.Tombstone]bool
	// budget counts the memory that the accepted jobs need.
	budget *budgeter.Budgeter
	// shortage is whether submissions are refused for want of that memory.
	shortage shortage
	// asOf is the time up to which all acknowledged entries were read, end the offset.
	asOf time.Time
	end  identifier.Offset
	// storeRespondedAt is when a call to the store last succeeded.
	storeRespondedAt time.Time
	// readFailed means that a read of the journal has failed since
	// storeRespondedAt.
	readFailed bool
	// queueLengths are the numbers of queued jobs.
	queueLengths map[identifier.Queue]int
	// early refuses submissions by the expected wait, nil if the deployment does not enable it.
	early *earlyRefusals
}

// New returns the state machine of an entry VM. The budget is for its use alone. The decider
// refuses submissions by the expected wait, nil if none are refused.
func New(budget *budgeter.Budgeter, decider EarlyRefusalDecider) *Registrar {
	registrar := &Registrar{
		budget: budget, shortage: shortage{refusals: make(map[budgeter.Verdict]int)},
		jobs:         make(map[identifier.Job]*job),
		commands:     make(map[uint64]*command),
		uncertain:    make(map[identifier.Job]uncertainSubmission),
		tombstones:   make(map[messenger.Tombstone]bool),
		queueLengths: make(map[identifier.Queue]int),
	}
	if decider != nil {
		registrar.early = newEarlyRefusals(decider)
	}
	return registrar
}

// Step applies an event and returns the resulting actions.
func (registrar *Registrar) Step(now time.Time, event messenger.Event) []messenger.Action {
	switch event := event.(type) {
	case messenger.SubmitArrived:
		return registrar.submit(now, event)
	case messenger.WithdrawArrived:
		return registrar.withdraw(now, event)
	case messenger.EntriesAppended:
		return registrar.handleAppended(now, event)
	case messenger.JournalReadFailed:
		registrar.readFailed = true
	case messenger.JournalRead:
		return registrar.handleRead(now, event)
	case messenger.Tick:
		return registrar.handleTick(now)
	case messenger.PolicyRead:
		registrar.early.setPolicy(event.Policy)
	case messenger.WaitsRead:
		return registrar.early.setWaits(now, event)
	}
	return nil
}

// Next returns when the state machine needs a Tick, the zero time for never.
func (registrar *Registrar) Next() time.Time {
	var next time.Time
	for _, command := range registrar.commands {
		at := command.deadline
		if !command.retryAt.IsZero() && command.retryAt.Before(at) {
			at = command.retryAt
		}
		if command.mayBeRefused() && command.budgetDeadline().Before(at) {
			at = command.budgetDeadline()
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

func (registrar *Registrar) submit(now time.Time, event messenger.SubmitArrived) []messenger.Action {
	if job, ok := registrar.jobs[event.Job.ID]; ok && job.submitted {
		return registrar.answerRepeat(event, job)
	}
	if refusal := registrar.refuseIfStoreUnavailable(now, event.Request, event.Job.ID); refusal != nil {
		return refusal
	}
	submitted := messenger.Submitted{Job: event.Job}
	if err := submitted.CheckLimits(); err != nil {
		return refuse(event.Request, event.Job.ID, classifier.Wrap(err))
	}
	command := &command{
		request: event.Request, job: event.Job.ID, workspace: event.Job.Workspace,
		entry: submitted, arrived: now, deadline: event.Deadline.Add(-answerMargin), bytes: budgeter.Cost(&event.Job),
	}
	return registrar.beginSubmission(now, command, &submitted.Job)
}

// answerRepeat answers a submission whose job is already in the journal.
func (registrar *Registrar) answerRepeat(event messenger.SubmitArrived, job *job) []messenger.Action {
	if job.workspace != event.Job.Workspace {
		return refuse(event.Request, event.Job.ID, classifier.New(classifier.JobExists, "another workspace has a job of this name"))
	}
	return []messenger.Action{
		messenger.CommandAnswered{Request: event.Request},
		messenger.Decision{Subject: string(event.Job.ID), Outcome: "accepted", Reason: "the journal has the job"},
	}
}

// refuseIfStoreUnavailable refuses a command while the store does not respond. An
// append would have an unknown outcome then.
func (registrar *Registrar) refuseIfStoreUnavailable(now time.Time, request identifier.Request, id identifier.Job) []messenger.Action {
	sinceResponse := now.Sub(registrar.storeRespondedAt)
	if sinceResponse <= storeTimeout && !registrar.readFailed {
		return nil
	}
	message := "the store has not answered since this process started"
	if !registrar.storeRespondedAt.IsZero() {
		message = "the store has not answered for " + sinceResponse.Round(time.Millisecond).String()
	}
	return refuse(request, id, classifier.New(classifier.LogUnavailable, "%s", message).WithRetryAfter(registrar.retryDelay(now)))
}

// retryDelay returns the retry delay for a caller. The estimate is that an outage
// lasts as long again as it has lasted already.
func (registrar *Registrar) retryDelay(now time.Time) time.Duration {
	if registrar.storeRespondedAt.IsZero() {
		return minRetryDelay
	}
	return min(max(now.Sub(registrar.storeRespondedAt), minRetryDelay), maxRetryDelay)
}

func refuse(request identifier.Request, id identifier.Job, err *classifier.Error) []messenger.Action {
	return []messenger.Action{
		messenger.CommandAnswered{Request: request, Err: err},
		messenger.Count{Counter: messenger.Refusals, Reason: err.Code.Name()},
		messenger.Decision{Subject: string(id), Outcome: "refused", Reason: err.Code.Name(), Detail: err.Message},
	}
}

// register adds a command without an answer and returns its ID.
func (registrar *Registrar) register(command *command) uint64 {
	registrar.lastID++
	registrar.commands[registrar.lastID] = command
	return registrar.lastID
}

func (registrar *Registrar) send(id uint64, command *command) []messenger.Action {
	command.retryAt, command.refusal = time.Time{}, nil
	command.attempts++
	actions := []messenger.Action{messenger.AppendEntries{ID: id, Entries: []messenger.JournalEntry{command.entry}, AtEnd: command.atEnd, End: registrar.end}}
	if command.attempts > 1 {
		actions = append(actions, messenger.Count{Counter: messenger.Retries, Reason: "append-entries"})
	}
	return actions
}

func (registrar *Registrar) withdraw(now time.Time, event messenger.WithdrawArrived) []messenger.Action {
	job, ok := registrar.jobs[event.Job]
	if ok && job.submitted {
		if job.workspace != event.Workspace {
			return refuse(event.Request, event.Job, classifier.New(classifier.UnknownJob, "the workspace has no such job"))
		}
		if job.withdrawn || job.state.IsFinal() {
			return []messenger.Action{
				messenger.CommandAnswered{Request: event.Request},
				messenger.Decision{Subject: string(event.Job), Outcome: "cancel-accepted", Reason: "the job has ended or is cancelled"},
			}
		}
	}
	if refusal := registrar.refuseIfStoreUnavailable(now, event.Request, event.Job); refusal != nil {
		return refusal
	}
	command := &command{
		request: event.Request, job: event.Job, workspace: event.Workspace,
		entry: messenger.Withdrawn{Job: event.Job}, arrived: now, deadline: event.Deadline.Add(-answerMargin),
	}
	if !ok || !job.submitted {
		// Another entry VM may have just accepted the job, and this one has not read
		// its entry yet.
		command.awaitsRead = true
		registrar.register(command)
		return nil
	}
	return registrar.send(registrar.register(command), command)
}

func (registrar *Registrar) handleAppended(now time.Time, event messenger.EntriesAppended) []messenger.Action {
	if event.Err == nil {
		registrar.storeRespondedAt, registrar.readFailed = now, false
	}
	command, ok := registrar.commands[event.ID]
	if !ok {
		return nil
	}
	if event.Err == nil {
		return registrar.complete(now, event.ID, command, "append was acknowledged")
	}
	if code := event.Err.Code; code == classifier.BodyTooLarge || code == classifier.BadRequest {
		registrar.remove(event.ID, command)
		return refuse(command.request, command.job, event.Err) // no append of it will ever succeed
	}
	if command.atEnd && event.Err.Code == classifier.Conflict {
		return registrar.handleMovedEnd(command)
	}
	command.maybeDurable = command.maybeDurable || event.Err.Code.Execution() != classifier.NotRun
	retryDeadline := command.arrived.Add(refusedAppendTimeout)
	if !command.maybeDurable && now.Add(appendRetryDelay).After(retryDeadline) {
		registrar.remove(event.ID, command)
		return refuse(command.request, command.job, event.Err.WithRetryAfter(registrar.retryDelay(now)))
	}
	if command.maybeDurable && now.Sub(registrar.storeRespondedAt) > appendAbandonTimeout {
		delete(registrar.commands, event.ID)
		return registrar.expire(now, command)
	}
	command.retryDelay = max(command.retryDelay, appendRetryDelay)
	command.retryAt = now.Add(command.retryDelay)
	if command.maybeDurable {
		command.retryDelay = min(2*command.retryDelay, maxAppendRetryDelay)
	}
	return nil
}

// complete answers a command whose entry is durable. It applies the entry at
// once, before the journal is read again.
func (registrar *Registrar) complete(now time.Time, id uint64, command *command, reason string) []messenger.Action {
	delete(registrar.commands, id)
	registrar.apply(command.entry)
	switch command.entry.(type) {
	case messenger.Tombstone:
		return registrar.answerTombstone(now, command)
	case messenger.Withdrawn:
		return accept(now, command, "cancel-accepted", reason)
	}
	return accept(now, command, "accepted", reason)
}

func accept(now time.Time, command *command, outcome, reason string) []messenger.Action {
	return []messenger.Action{
		messenger.CommandAnswered{Request: command.request},
		messenger.Decision{Subject: string(command.job), Outcome: outcome, Reason: reason, Age: now.Sub(command.arrived)},
	}
}

func (registrar *Registrar) handleRead(now time.Time, event messenger.JournalRead) []messenger.Action {
	for _, entry := range event.Entries {
		registrar.apply(entry)
		registrar.count(entry)
	}
	registrar.asOf, registrar.end = event.SentAt, event.End
	registrar.storeRespondedAt, registrar.readFailed = now, false
	registrar.forgetUncertain(now)
	var actions []messenger.Action
	for _, id := range registrar.pendingIDs() {
		actions = append(actions, registrar.recheck(now, id, registrar.commands[id])...)
	}
	actions = append(actions, registrar.admitWaiting(now)...)
	return append(actions, registrar.updateShortage(now)...)
}

// recheck answers or continues a command according to the journal entries just read.
func (registrar *Registrar) recheck(now time.Time, id uint64, command *command) []messenger.Action {
	job, ok := registrar.jobs[command.job]
	exists := ok && job.submitted && job.workspace == command.workspace
	if _, isSubmission := command.entry.(messenger.Submitted); isSubmission {
		if exists {
			return registrar.complete(now, id, command, "the journal has the job")
		}
		if command.refusal != nil && registrar.asOf.After(command.arrived) {
			return registrar.refuseUnread(now, id, command)
		}
		return nil
	}
	if tombstone, isTombstone := command.entry.(messenger.Tombstone); isTombstone {
		if command.maybeDurable && registrar.tombstones[tombstone] {
			return registrar.complete(now, id, command, "the journal has the tombstone")
		}
		return nil
	}
	switch {
	case ok && job.withdrawn && exists:
		return registrar.complete(now, id, command, "the journal has the cancellation")
	case command.awaitsRead && exists:
		command.awaitsRead = false
		return registrar.send(id, command)
	case command.awaitsRead && registrar.asOf.After(command.arrived):
		return registrar.withdrawUnread(id, command)
	}
	return nil
}

func (registrar *Registrar) handleTick(now time.Time) []messenger.Action {
	var actions []messenger.Action
	for _, id := range registrar.pendingIDs() {
		command := registrar.commands[id]
		switch {
		case !now.Before(command.deadline):
			delete(registrar.commands, id)
			actions = append(actions, registrar.expire(now, command)...)
		case command.mayBeRefused() && !now.Before(command.budgetDeadline()):
			delete(registrar.commands, id)
			actions = append(actions, registrar.refuseForMemory(now, command, budgeter.Await)...)
		case command.refusal != nil && !now.Before(command.retryAt):
			actions = append(actions, registrar.acceptUnread(now, id, command)...)
		case !command.retryAt.IsZero() && !now.Before(command.retryAt):
			actions = append(actions, registrar.send(id, command)...)
		}
	}
	return actions
}

// pendingIDs returns the IDs of the unanswered commands in the order of arrival.
func (registrar *Registrar) pendingIDs() []uint64 {
	return slices.Sorted(maps.Keys(registrar.commands))
}

// expire answers a command at its deadline or after the store stopped responding.
// An append may still be pending, so that the answer never states that the job was
// not accepted.
func (registrar *Registrar) expire(now time.Time, command *command) []messenger.Action {
	if command.mayBeRefused() {
		return registrar.refuseForMemory(now, command, budgeter.Await)
	}
	err := classifier.New(classifier.OutcomeUnknown, "the store did not answer %d appends", command.attempts)
	if command.awaitsRead {
		err = classifier.New(classifier.LogUnavailable, "it was not known in time whether the job exists")
	} else {
		registrar.addUncertain(now, command)
	}
	return refuse(command.request, command.job, err.WithRetryAfter(registrar.retryDelay(now)))
}
