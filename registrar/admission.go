package registrar

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"corianderroad/budgeter"
	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

const (
	// maxBudgetWait is how long a submission waits for a reading of the journal that shows
	// whether there is memory for its job.
	maxBudgetWait = time.Second
	// minBudgetRetryDelay is the shortest retry delay of a submission that was refused for want
	// of memory, and the one of a submission that awaited a reading.
	minBudgetRetryDelay = 3 * time.Second
	// unknownBudgetRetryDelay is the one while the jobs that have ended leave no room. Open jobs
	// leave some when they end, as their payloads count no more, and the rest when they expire.
	unknownBudgetRetryDelay = 30 * time.Second
	// deletionDelay is the time from the expiry of a job until all nodes have read its deletion.
	deletionDelay = 2 * time.Second
)

// admit appends the job of a submission if there is memory for it, and otherwise refuses it or
// lets it wait for the next reading of the journal.
func (registrar *Registrar) admit(now time.Time, id uint64, command *command) []messenger.Action {
	command.retryAt, command.refusal = time.Time{}, nil
	verdict := registrar.budget.Admit(command.job, command.workspace, command.bytes)
	switch {
	case verdict.IsRefusal():
		delete(registrar.commands, id)
		return registrar.refuseForMemory(now, command, verdict)
	case verdict == budgeter.Await:
		return command.awaitBudget()
	}
	command.awaitsBudget, command.atEnd = false, verdict == budgeter.AcceptAtEnd
	return registrar.send(id, command)
}

func (command *command) awaitBudget() []messenger.Action {
	command.awaitsBudget = true
	return []messenger.Action{messenger.RefreshJournal{}}
}

// mayBeRefused reports whether the command waits for memory and no append of it can have arrived.
func (command *command) mayBeRefused() bool { return command.awaitsBudget && !command.maybeDurable }

func (command *command) budgetDeadline() time.Time { return command.arrived.Add(maxBudgetWait) }

// handleMovedEnd lets a command whose append was refused, because the journal has other entries
// after those that were read, wait for the next reading.
func (registrar *Registrar) handleMovedEnd(command *command) []messenger.Action {
	actions := command.awaitBudget()
	registrar.releaseUnlessKnown(command.job)
	return actions
}

// admitWaiting repeats the decision on the submissions that wait for a reading, those of the
// workspace with the least memory first.
func (registrar *Registrar) admitWaiting(now time.Time) []messenger.Action {
	var waiting []uint64
	for id, command := range registrar.commands {
		if command.awaitsBudget {
			waiting = append(waiting, id)
		}
	}
	held := func(id uint64) int64 { return registrar.budget.Held(registrar.commands[id].workspace) }
	slices.SortFunc(waiting, func(one, other uint64) int {
		return cmp.Or(cmp.Compare(held(one), held(other)), cmp.Compare(one, other))
	})
	var actions []messenger.Action
	for _, id := range waiting {
		command := registrar.commands[id]
		if command.maybeDurable { // its job counts already
			command.awaitsBudget = false
			actions = append(actions, registrar.send(id, command)...)
			continue
		}
		actions = append(actions, registrar.admit(now, id, command)...)
	}
	return actions
}

// remove ends a command whose job is certainly not in the journal because of it.
func (registrar *Registrar) remove(id uint64, command *command) {
	delete(registrar.commands, id)
	if _, isSubmission := command.entry.(messenger.Submitted); isSubmission {
		registrar.releaseUnlessKnown(command.job)
	}
}

// releaseUnlessKnown stops counting a job that is not in the journal, unless another submission
// of it may still become durable.
func (registrar *Registrar) releaseUnlessKnown(id identifier.Job) {
	if job, ok := registrar.jobs[id]; ok && job.submitted {
		return
	}
	if _, isUncertain := registrar.uncertain[id]; isUncertain {
		return
	}
	for command := range maps.Values(registrar.commands) {
		_, isSubmission := command.entry.(messenger.Submitted)
		if isSubmission && command.job == id && command.attempts > 0 && !command.mayBeRefused() {
			return
		}
	}
	registrar.budget.Release(id)
}

// refuseForMemory refuses a submission of which no append was sent, or none was carried out.
func (registrar *Registrar) refuseForMemory(now time.Time, command *command, verdict budgeter.Verdict) []messenger.Action {
	err := classifier.New(classifier.JobMemoryShort, "%s: the job needs %d bytes", verdict, command.bytes).WithRetryAfter(registrar.budgetRetryDelay(now, command, verdict))
	actions := registrar.shortage.refuse(now, registrar.budget.View(), verdict)
	return append(actions, messenger.CommandAnswered{Request: command.request, Err: err},
		messenger.Count{Counter: messenger.Refusals, Reason: err.Code.Name()})
}

// budgetRetryDelay returns the time until the memory of ended jobs comes free that the job of a
// refused submission needs.
func (registrar *Registrar) budgetRetryDelay(now time.Time, command *command, verdict budgeter.Verdict) time.Duration {
	if !verdict.IsRefusal() {
		return minBudgetRetryDelay
	}
	roomAt, isKnown := registrar.budget.RoomAt(command.workspace, command.bytes)
	if !isKnown {
		return unknownBudgetRetryDelay
	}
	return max(roomAt.Sub(now)+deletionDelay, minBudgetRetryDelay)
}

// count counts the memory that a job needs after an entry of the journal. A job that has ended
// counts until its state need not be readable any more, because the holder keeps its tasks until
// then: their late ends must be recognized.
func (registrar *Registrar) count(entry messenger.JournalEntry) {
	switch entry := entry.(type) {
	case messenger.Submitted:
		job, bytes := registrar.jobs[entry.Job.ID], budgeter.Cost(&entry.Job)
		if job.state.IsFinal() && registrar.budget.Knows(entry.Job.ID) {
			registrar.budget.Shrink(entry.Job.ID, bytes) // the payload is no longer recorded
			return
		}
		registrar.budget.Read(entry.Job.ID, job.workspace, bytes, job.endedAt)
	case messenger.Progressed:
		if entry.Progress.State.IsFinal() {
			registrar.budget.End(entry.Job, entry.Progress.EndedAt)
		}
	case messenger.Deleted:
		registrar.budget.Release(entry.Job)
	}
}
