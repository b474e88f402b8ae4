// Package registrar accepts the jobs and cancellations of callers at one entry
// VM. It makes them durable in the journal before it acknowledges them, and
// answers queries for the state of jobs from the journal as it was read.
package registrar

import (
	"maps"
	"slices"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// Times of a command.
const (
	// retryPause is the time between two appends of one command.
	retryPause = 40 * time.Millisecond
	// refusalPatience bounds the repetition of appends that the store refused. A
	// caller learns soon that its job was not accepted and may go elsewhere.
	refusalPatience = 130 * time.Millisecond
	// answerMargin is kept before a caller's deadline for the way back.
	answerMargin = 60 * time.Millisecond
	// shortestHint is the least time after which a caller is told to come back: a
	// claim or a short outage is over by then.
	shortestHint = time.Second
	longestHint  = 3 * time.Second
	// silentFor is the time without any answer of the store after which a command
	// whose append may be durable is given up. The journal is read at least once
	// a second while the store answers.
	silentFor = 1150 * time.Millisecond
	// unheardFor is the time without any completed call to the store after which
	// new commands are refused without an attempt.
	unheardFor = 1500 * time.Millisecond
)

// Registrar is the state machine of one entry VM. It is not safe for
// concurrent use.
type Registrar struct {
	jobs     map[identifier.Job]*job
	commands map[uint64]*command
	lastID   uint64
	// asOf is the time up to which all acknowledged entries were read.
	asOf time.Time
	// heardAt is when the store last answered.
	heardAt time.Time
	// failing means that the newest read of the journal has failed since then.
	failing bool
	waiting map[identifier.Queue]int
}

type job struct {
	queue     identifier.Queue
	workspace identifier.Workspace
	state     specifier.State
	// withdrawn may be known before the job itself.
	withdrawn bool
	submitted bool
	scheduled bool
}

// command is a submission or a cancellation under way.
type command struct {
	request   identifier.Request
	job       identifier.Job
	workspace identifier.Workspace
	entry     messenger.JournalEntry
	arrived   time.Time
	deadline  time.Time
	// retryAt is when the next append is sent, zero while one is under way.
	retryAt time.Time
	// maybeDurable means that an attempt may have been appended.
	maybeDurable bool
	// checking means that the journal is read first, to see whether the job exists.
	checking bool
	attempts int
}

// New returns the machine of an entry VM.
func New() *Registrar {
	return &Registrar{
		jobs:     make(map[identifier.Job]*job),
		commands: make(map[uint64]*command),
		waiting:  make(map[identifier.Queue]int),
	}
}

// Step takes an event and returns the actions that it causes.
func (registrar *Registrar) Step(now time.Time, event messenger.Event) []messenger.Action {
	switch event := event.(type) {
	case messenger.SubmitArrived:
		return registrar.submit(now, event)
	case messenger.WithdrawArrived:
		return registrar.withdraw(now, event)
	case messenger.EntriesAppended:
		return registrar.appended(now, event)
	case messenger.JournalReadFailed:
		registrar.failing = true
	case messenger.JournalRead:
		return registrar.read(now, event)
	case messenger.Tick:
		return registrar.tick(now)
	}
	return nil
}

// Next returns when the machine wants a Tick.
func (registrar *Registrar) Next() time.Time {
	var next time.Time
	for _, command := range registrar.commands {
		at := command.deadline
		if !command.retryAt.IsZero() && command.retryAt.Before(at) {
			at = command.retryAt
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

func (registrar *Registrar) submit(now time.Time, event messenger.SubmitArrived) []messenger.Action {
	if known, ok := registrar.jobs[event.Job.ID]; ok && known.submitted {
		return registrar.repeat(event, known)
	}
	if refusal := registrar.unheard(now, event.Request, event.Job.ID); refusal != nil {
		return refusal
	}
	command := &command{
		request: event.Request, job: event.Job.ID, workspace: event.Job.Workspace,
		entry: messenger.Submitted{Job: event.Job}, arrived: now, deadline: event.Deadline.Add(-answerMargin),
	}
	return registrar.begin(command)
}

// repeat answers a submission whose job the journal has: it is the same job.
func (registrar *Registrar) repeat(event messenger.SubmitArrived, known *job) []messenger.Action {
	if known.workspace != event.Job.Workspace {
		return refuse(event.Request, event.Job.ID, classifier.New(classifier.JobExists, "another workspace has a job of this name"))
	}
	return []messenger.Action{
		messenger.CommandAnswered{Request: event.Request},
		messenger.Decision{Subject: string(event.Job.ID), Outcome: "accepted", Reason: "the journal has the job"},
	}
}

// unheard refuses a command that can't be made durable now, without an attempt
// whose outcome would not be known.
func (registrar *Registrar) unheard(now time.Time, request identifier.Request, id identifier.Job) []messenger.Action {
	silence := now.Sub(registrar.heardAt)
	if silence <= unheardFor && !registrar.failing {
		return nil
	}
	message := "the store has not answered since the start"
	if !registrar.heardAt.IsZero() {
		message = "the store has not answered for " + silence.Round(time.Millisecond).String()
	}
	return refuse(request, id, classifier.New(classifier.LogUnavailable, "%s", message).WithRetryAfter(registrar.hint(now)))
}

// hint returns when a caller should come back. An outage is expected to last as
// long as it has lasted.
func (registrar *Registrar) hint(now time.Time) time.Duration {
	if registrar.heardAt.IsZero() {
		return shortestHint
	}
	return min(max(now.Sub(registrar.heardAt), shortestHint), longestHint)
}

func refuse(request identifier.Request, id identifier.Job, err *classifier.Error) []messenger.Action {
	return []messenger.Action{
		messenger.CommandAnswered{Request: request, Err: err},
		messenger.Count{Counter: messenger.Refusals, Reason: err.Code.Name()},
		messenger.Decision{Subject: string(id), Outcome: "refused", Reason: err.Code.Name(), Detail: err.Message},
	}
}

func (registrar *Registrar) begin(command *command) []messenger.Action {
	registrar.lastID++
	registrar.commands[registrar.lastID] = command
	return registrar.send(registrar.lastID, command)
}

func (registrar *Registrar) send(id uint64, command *command) []messenger.Action {
	command.retryAt = time.Time{}
	command.attempts++
	actions := []messenger.Action{messenger.AppendEntries{ID: id, Entries: []messenger.JournalEntry{command.entry}}}
	if command.attempts > 1 {
		actions = append(actions, messenger.Count{Counter: messenger.Retries, Reason: "append-entries"})
	}
	return actions
}

func (registrar *Registrar) withdraw(now time.Time, event messenger.WithdrawArrived) []messenger.Action {
	known, ok := registrar.jobs[event.Job]
	if ok && known.submitted {
		if known.workspace != event.Workspace {
			return refuse(event.Request, event.Job, classifier.New(classifier.UnknownJob, "the workspace has no such job"))
		}
		if known.withdrawn || known.state.IsFinal() {
			return []messenger.Action{
				messenger.CommandAnswered{Request: event.Request},
				messenger.Decision{Subject: string(event.Job), Outcome: "cancel-accepted", Reason: "the job has ended or is cancelled"},
			}
		}
	}
	if refusal := registrar.unheard(now, event.Request, event.Job); refusal != nil {
		return refusal
	}
	command := &command{
		request: event.Request, job: event.Job, workspace: event.Workspace,
		entry: messenger.Withdrawn{Job: event.Job}, arrived: now, deadline: event.Deadline.Add(-answerMargin),
	}
	if !ok || !known.submitted {
		// A job that another entry has just accepted is not read yet.
		command.checking = true
		registrar.lastID++
		registrar.commands[registrar.lastID] = command
		return nil
	}
	return registrar.begin(command)
}

func (registrar *Registrar) appended(now time.Time, event messenger.EntriesAppended) []messenger.Action {
	if event.Err == nil {
		registrar.heardAt, registrar.failing = now, false
	}
	command, ok := registrar.commands[event.ID]
	if !ok {
		return nil
	}
	if event.Err == nil {
		return registrar.complete(now, event.ID, command, "append was acknowledged")
	}
	command.maybeDurable = command.maybeDurable || event.Err.Code.Execution() != classifier.NotRun
	patience := command.arrived.Add(refusalPatience)
	if !command.maybeDurable && now.Add(retryPause).After(patience) {
		delete(registrar.commands, event.ID)
		return refuse(command.request, command.job, event.Err.WithRetryAfter(registrar.hint(now)))
	}
	if command.maybeDurable && now.Sub(registrar.heardAt) > silentFor {
		delete(registrar.commands, event.ID)
		return registrar.expire(now, command)
	}
	command.retryAt = now.Add(retryPause)
	return nil
}

// complete folds a durable entry before the journal is read and answers.
func (registrar *Registrar) complete(now time.Time, id uint64, command *command, reason string) []messenger.Action {
	delete(registrar.commands, id)
	registrar.fold(command.entry)
	outcome := "accepted"
	if _, ok := command.entry.(messenger.Withdrawn); ok {
		outcome = "cancel-accepted"
	}
	return []messenger.Action{
		messenger.CommandAnswered{Request: command.request},
		messenger.Decision{Subject: string(command.job), Outcome: outcome, Reason: reason, Age: now.Sub(command.arrived)},
	}
}

func (registrar *Registrar) read(now time.Time, event messenger.JournalRead) []messenger.Action {
	for _, entry := range event.Entries {
		registrar.fold(entry)
	}
	registrar.asOf = event.SentAt
	registrar.heardAt, registrar.failing = now, false
	var actions []messenger.Action
	for _, id := range registrar.open() {
		actions = append(actions, registrar.recheck(now, id, registrar.commands[id])...)
	}
	return actions
}

// recheck answers a command that the journal has decided meanwhile.
func (registrar *Registrar) recheck(now time.Time, id uint64, command *command) []messenger.Action {
	known, ok := registrar.jobs[command.job]
	exists := ok && known.submitted && known.workspace == command.workspace
	if _, submission := command.entry.(messenger.Submitted); submission {
		if exists {
			return registrar.complete(now, id, command, "the journal has the job")
		}
		return nil
	}
	switch {
	case ok && known.withdrawn && exists:
		return registrar.complete(now, id, command, "the journal has the cancellation")
	case command.checking && exists:
		command.checking = false
		return registrar.send(id, command)
	case command.checking && registrar.asOf.After(command.arrived):
		delete(registrar.commands, id)
		return refuse(command.request, command.job, classifier.New(classifier.UnknownJob, "the journal has no such job"))
	}
	return nil
}

func (registrar *Registrar) tick(now time.Time) []messenger.Action {
	var actions []messenger.Action
	for _, id := range registrar.open() {
		command := registrar.commands[id]
		switch {
		case !now.Before(command.deadline):
			delete(registrar.commands, id)
			actions = append(actions, registrar.expire(now, command)...)
		case !command.retryAt.IsZero() && !now.Before(command.retryAt):
			actions = append(actions, registrar.send(id, command)...)
		}
	}
	return actions
}

// open returns the commands under way in the order of their arrival.
func (registrar *Registrar) open() []uint64 {
	return slices.Sorted(maps.Keys(registrar.commands))
}

// expire answers a command at its deadline. An append may still be under way,
// so that the answer never says that the job was not accepted.
func (registrar *Registrar) expire(now time.Time, command *command) []messenger.Action {
	err := classifier.New(classifier.OutcomeUnknown, "the store did not answer %d appends", command.attempts)
	if command.checking {
		err = classifier.New(classifier.LogUnavailable, "the journal could not be read in time")
	}
	return refuse(command.request, command.job, err.WithRetryAfter(registrar.hint(now)))
}
