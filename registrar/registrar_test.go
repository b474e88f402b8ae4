package registrar_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/budgeter"
	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/registrar"
	"corianderroad/specifier"
)

// entryVM is one entry VM with a store that has faults, in virtual time.
type entryVM struct {
	registrar *registrar.Registrar
	now       time.Time
	random    *rand.Rand
	pending   []pendingEvent
	late      []lateAppend
	journal   []messenger.JournalEntry
	read      int
	readAt    time.Time
	// Faults of the store.
	refusing, unresponsive bool
	// appendsRefused means that the store refuses appends and answers reads.
	appendsRefused bool
	// appendTooLarge means that the store will never take an append.
	appendTooLarge  bool
	lostAnswerShare float64
	// appendDelay is how late the store carries out an append that it has not answered, zero
	// if it answers.
	appendDelay time.Duration
	// submissionDelay is as appendDelay, for the appends of submissions alone.
	submissionDelay time.Duration
	answers         map[identifier.Request]messenger.CommandAnswered
	// appendedAt holds the times of the appends.
	appendedAt []time.Time
}

type pendingEvent struct {
	at    time.Time
	event messenger.Event
}

// lateAppend is an append that the store carries out at a time without an answer.
type lateAppend struct {
	at      time.Time
	entries []messenger.JournalEntry
}

func newEntryVM(seed uint64) *entryVM { return newSmallEntryVM(seed, 1<<30) }

// newSmallEntryVM returns an entry VM with a limit of the memory for accepted jobs, in bytes.
func newSmallEntryVM(seed uint64, memory int64) *entryVM {
	return &entryVM{
		registrar: registrar.New(budgeter.New(memory, jobRetention), nil), now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 3)),
		answers: make(map[identifier.Request]messenger.CommandAnswered),
	}
}

func (entryVM *entryVM) step(event messenger.Event) {
	for _, action := range entryVM.registrar.Step(entryVM.now, event) {
		switch action := action.(type) {
		case messenger.AppendEntries:
			entryVM.append(action)
		case messenger.CommandAnswered:
			if _, twice := entryVM.answers[action.Request]; twice {
				panic(fmt.Sprintf("request %s is answered twice", action.Request))
			}
			entryVM.answers[action.Request] = action
		}
	}
}

func (entryVM *entryVM) append(action messenger.AppendEntries) {
	entryVM.appendedAt = append(entryVM.appendedAt, entryVM.now)
	if action.AtEnd && action.End != identifier.Offset(len(entryVM.journal)) {
		moved := messenger.EntriesAppended{ID: action.ID, Err: classifier.New(classifier.Conflict, "the journal ends at %d", len(entryVM.journal))}
		entryVM.pending = append(entryVM.pending, pendingEvent{entryVM.now.Add(10 * time.Millisecond), moved})
		return
	}
	appended := messenger.EntriesAppended{ID: action.ID}
	delay, lateness := 10*time.Millisecond, entryVM.appendDelay
	if _, isSubmission := action.Entries[0].(messenger.Submitted); isSubmission {
		lateness = max(lateness, entryVM.submissionDelay)
	}
	switch {
	case entryVM.unresponsive:
		appended.Err, delay = classifier.New(classifier.OutcomeUnknown, "no answer"), time.Second
		if entryVM.random.Float64() < 0.5 {
			entryVM.journal = append(entryVM.journal, action.Entries...)
		}
	case lateness > 0:
		appended.Err, delay = classifier.New(classifier.OutcomeUnknown, "no answer"), time.Second
		entryVM.late = append(entryVM.late, lateAppend{entryVM.now.Add(lateness), action.Entries})
	case entryVM.appendTooLarge:
		appended.Err = classifier.New(classifier.BodyTooLarge, "the record has 300000 bytes")
	case entryVM.refusing, entryVM.appendsRefused:
		appended.Err = classifier.New(classifier.StoreBusy, "busy")
	default:
		entryVM.journal = append(entryVM.journal, action.Entries...)
		if entryVM.random.Float64() < entryVM.lostAnswerShare {
			appended.Err, delay = classifier.New(classifier.OutcomeUnknown, "no answer"), time.Second
		}
	}
	entryVM.pending = append(entryVM.pending, pendingEvent{entryVM.now.Add(delay), appended})
}

func (entryVM *entryVM) run(span time.Duration) {
	for end := entryVM.now.Add(span); entryVM.now.Before(end); entryVM.now = entryVM.now.Add(5 * time.Millisecond) {
		waiting := entryVM.pending
		entryVM.pending = nil
		for _, pending := range waiting {
			if pending.at.After(entryVM.now) {
				entryVM.pending = append(entryVM.pending, pending)
			} else {
				entryVM.step(pending.event)
			}
		}
		entryVM.carryOutLateAppends()
		if !entryVM.refusing && !entryVM.unresponsive && entryVM.now.Sub(entryVM.readAt) > 100*time.Millisecond {
			entries := entryVM.journal[entryVM.read:]
			entryVM.read, entryVM.readAt = len(entryVM.journal), entryVM.now
			entryVM.step(messenger.JournalRead{Entries: entries, End: identifier.Offset(len(entryVM.journal)), SentAt: entryVM.now})
		}
		if next := entryVM.registrar.Next(); !next.IsZero() && !next.After(entryVM.now) {
			entryVM.step(messenger.Tick{})
		}
	}
}

func (entryVM *entryVM) carryOutLateAppends() {
	late := entryVM.late
	entryVM.late = nil
	for _, delayed := range late {
		if delayed.at.After(entryVM.now) {
			entryVM.late = append(entryVM.late, delayed)
		} else {
			entryVM.journal = append(entryVM.journal, delayed.entries...)
		}
	}
}

func (entryVM *entryVM) has(wanted messenger.JournalEntry) bool {
	for _, existing := range entryVM.journal {
		switch existing := existing.(type) {
		case messenger.Submitted:
			if submitted, ok := wanted.(messenger.Submitted); ok && submitted.Job.ID == existing.Job.ID {
				return true
			}
		case messenger.Withdrawn, messenger.Tombstone:
			if existing == wanted {
				return true
			}
		}
	}
	return false
}

func (entryVM *entryVM) submit(request, id string) {
	entryVM.step(messenger.SubmitArrived{
		Request: identifier.Request(request), Deadline: entryVM.now.Add(3 * time.Second),
		Job: jobNamed(id),
	})
}

func jobNamed(id string) specifier.Job {
	return specifier.Job{ID: identifier.Job(id), Queue: "q", Workspace: "w", Steps: []specifier.Step{{Tasks: 1}}}
}

func tombstoneNamed(id string) messenger.Tombstone {
	return messenger.Tombstone{Job: identifier.Job(id), Workspace: jobNamed(id).Workspace}
}

// isCancelled reports whether the job can't run: it is shown as cancelled, or the journal does
// not have it.
func (entryVM *entryVM) isCancelled(id string) bool {
	answer := entryVM.registrar.View(entryVM.now, querier.Query{Kind: querier.JobState, Subject: id, Workspace: jobNamed(id).Workspace})
	return len(answer.Submitted) == 0 || answer.Submitted[0].State == specifier.Cancelled
}

func (entryVM *entryVM) withdraw(request, id string) {
	entryVM.step(messenger.WithdrawArrived{
		Request: identifier.Request(request), Job: identifier.Job(id), Queue: "q", Workspace: "w",
		Deadline: entryVM.now.Add(3 * time.Second),
	})
}

// TestAnswersMatchJournal guards against a job that is acknowledged but not
// durable, against one that is refused as not accepted but is in the journal,
// against a command without an answer, against an acknowledged cancellation that is not
// durable, and against one that is refused as unknown although the job becomes durable
// later. The store does not respond, refuses appends, loses answers, or carries out
// appends late, and the memory for accepted jobs may be short.
func TestAnswersMatchJournal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := rapid.SampledFrom([]int64{1 << 30, 6 << 10}).Draw(t, "memory") // the smaller one holds three jobs
		entryVM := newSmallEntryVM(rapid.Uint64().Draw(t, "seed"), memory)
		entryVM.run(300 * time.Millisecond)
		checkAnswersMatchJournal(t, entryVM)
	})
}

func checkAnswersMatchJournal(t *rapid.T, entryVM *entryVM) {
	jobs := make(map[string]bool)
	count := rapid.IntRange(1, 15).Draw(t, "commands")
	refused := make(map[string]int)
	sent := make(map[string]int)
	lastSubmission := make(map[string]int)
	for number := range count {
		entryVM.run(time.Duration(rapid.IntRange(0, 600).Draw(t, "after")) * time.Millisecond)
		id := fmt.Sprintf("j%d", rapid.IntRange(0, 4).Draw(t, "job"))
		switch rapid.IntRange(0, 6).Draw(t, "kind") {
		case 0:
			entryVM.withdraw(fmt.Sprint("cancel-", number, "-", id), id)
		case 1:
			entryVM.refusing = !entryVM.refusing
		case 2:
			entryVM.unresponsive = !entryVM.unresponsive
		case 3:
			entryVM.lostAnswerShare = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "lose-answers")
		case 4:
			entryVM.appendDelay = rapid.SampledFrom([]time.Duration{0, 1200 * time.Millisecond, 5 * time.Second}).Draw(t, "append-delay")
		default:
			jobs[id] = true
			sent[id]++
			lastSubmission[id] = number
			entryVM.submit(fmt.Sprint("submit-", number, "-", id), id)
		}
	}
	entryVM.refusing, entryVM.unresponsive, entryVM.lostAnswerShare = false, false, 0
	entryVM.appendDelay = 0
	entryVM.run(6 * time.Second)
	for request, answer := range entryVM.answers {
		var kind, id string
		var number int
		if _, err := fmt.Sscanf(string(request), "submit-%d-%s", &number, &id); err == nil {
			kind = "submit"
		} else if _, err := fmt.Sscanf(string(request), "cancel-%d-%s", &number, &id); err != nil {
			t.Fatalf("request %q", request)
		}
		switch {
		case kind == "submit" && answer.Err == nil && !entryVM.has(messenger.Submitted{Job: specifier.Job{ID: identifier.Job(id)}}):
			t.Fatalf("%s is acknowledged but not durable", request)
		case kind == "submit" && answer.Err != nil && answer.Err.Code.Execution() == classifier.NotRun:
			refused[id]++
		case kind == "" && answer.Err == nil && !entryVM.has(messenger.Withdrawn{Job: identifier.Job(id)}) && !entryVM.has(tombstoneNamed(id)):
			t.Fatalf("%s is acknowledged but not durable", request)
		case kind == "" && answer.Err != nil && answer.Err.Code == classifier.UnknownJob && !entryVM.has(tombstoneNamed(id)):
			t.Fatalf("%s is refused as unknown, but the journal has no tombstone for a late append of the job", request)
		case kind == "" && answer.Err != nil && answer.Err.Code == classifier.UnknownJob && number > lastSubmission[id] && !entryVM.isCancelled(id):
			t.Fatalf("%s is refused as unknown, but the journal contains the job", request)
		}
	}
	for id := range jobs {
		if refused[id] == sent[id] && entryVM.has(messenger.Submitted{Job: specifier.Job{ID: identifier.Job(id)}}) {
			t.Fatalf("all submissions of %s were refused as not accepted, but the journal contains it", id)
		}
	}
	if next := entryVM.registrar.Next(); !next.IsZero() {
		t.Fatalf("a command is still unanswered; the next tick is due at %s", next)
	}
}

// TestRefusalIsNotDelayed guards against a late refusal. The caller must be
// refused within 200 ms if the store refuses appends, and without a further
// append if the store has not responded for a longer time.
func TestRefusalIsNotDelayed(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newEntryVM(1)
	entryVM.run(300 * time.Millisecond)
	entryVM.refusing = true
	entryVM.submit("busy", "a")
	entryVM.run(200 * time.Millisecond)
	c.Assert(entryVM.answers["busy"].Err.Code, quicktest.Equals, classifier.StoreBusy)
	c.Assert(entryVM.answers["busy"].Err.RetryAfter > 0, quicktest.IsTrue)
	entryVM.run(2 * time.Second)
	entryVM.submit("away", "b")
	c.Assert(entryVM.answers["away"].Err.Code, quicktest.Equals, classifier.LogUnavailable)
	c.Assert(entryVM.answers["away"].Err.RetryAfter > 0, quicktest.IsTrue)
}

// TestTooLargeJobIsRefusedAtOnce guards against a job that no append can store and whose
// caller waits while the append is repeated.
func TestTooLargeJobIsRefusedAtOnce(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newEntryVM(1)
	entryVM.run(300 * time.Millisecond)
	entryVM.appendTooLarge = true
	entryVM.submit("large", "a")
	entryVM.run(20 * time.Millisecond)
	c.Assert(entryVM.answers["large"].Err.Code, quicktest.Equals, classifier.BodyTooLarge)
	c.Assert(entryVM.answers["large"].Err.RetryAfter, quicktest.Equals, time.Duration(0))
	c.Assert(entryVM.appendedAt, quicktest.HasLen, 1)
}

// TestUnknownOutcomeIsNotDelayed guards against a command that waits until its
// deadline although the store no longer responds.
func TestUnknownOutcomeIsNotDelayed(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newEntryVM(1)
	entryVM.run(300 * time.Millisecond)
	entryVM.unresponsive = true
	entryVM.run(300 * time.Millisecond)
	entryVM.submit("lost", "a")
	entryVM.run(1100 * time.Millisecond)
	c.Assert(entryVM.answers["lost"].Err.Code, quicktest.Equals, classifier.OutcomeUnknown)
}

// TestRetriesOfUnknownOutcomeBackOff guards against a command that is appended again
// every 40 ms until its deadline while the store is overloaded.
func TestRetriesOfUnknownOutcomeBackOff(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newEntryVM(1)
	entryVM.run(300 * time.Millisecond)
	entryVM.lostAnswerShare = 1
	entryVM.submit("lost", "a")
	entryVM.run(5 * time.Millisecond)
	entryVM.journal, entryVM.lostAnswerShare = nil, 0 // the append was lost, too
	entryVM.run(time.Second)
	entryVM.appendsRefused, entryVM.appendedAt = true, nil
	entryVM.run(1600 * time.Millisecond)
	c.Assert(len(entryVM.appendedAt) > 3, quicktest.IsTrue)
	c.Assert(len(entryVM.appendedAt) < 10, quicktest.IsTrue, quicktest.Commentf("%d appends in 1.6 s", len(entryVM.appendedAt)))
}

// TestQueueLengthCountsQueuedJobs guards against a queue length that includes
// jobs that are running, cancelled or deleted.
func TestQueueLengthCountsQueuedJobs(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newEntryVM(1)
	for _, id := range []identifier.Job{"a", "b", "c", "d"} {
		entryVM.journal = append(entryVM.journal, messenger.Submitted{Job: specifier.Job{ID: id, Queue: "q"}})
	}
	entryVM.journal = append(entryVM.journal, messenger.Withdrawn{Job: "b"},
		messenger.Progressed{Job: "c", Progress: specifier.Progress{State: specifier.Running}}, messenger.Deleted{Job: "d"})
	entryVM.run(300 * time.Millisecond)
	answer := entryVM.registrar.View(entryVM.now, querier.Query{Kind: querier.QueueLength, Subject: "q"})
	c.Assert(answer.Waiting, quicktest.Equals, 1)
}

// TestOutageIsReportedAtOnce guards against an append to a store whose last read
// failed, which would leave the job's outcome unknown, and against refusals
// without a retry delay.
func TestOutageIsReportedAtOnce(t *testing.T) {
	c := quicktest.New(t)
	stateMachine, now := registrar.New(budgeter.New(1<<30, jobRetention), nil), time.Unix(1_000_000, 0)
	submit := func() (appends int, answer messenger.CommandAnswered) {
		arrived := messenger.SubmitArrived{Request: "r", Job: specifier.Job{ID: "a"}, Deadline: now.Add(3 * time.Second)}
		for _, action := range stateMachine.Step(now, arrived) {
			switch action := action.(type) {
			case messenger.AppendEntries:
				appends++
			case messenger.CommandAnswered:
				answer = action
			}
		}
		return appends, answer
	}
	stateMachine.Step(now, messenger.JournalRead{SentAt: now})
	stateMachine.Step(now, messenger.JournalReadFailed{})
	now = now.Add(100 * time.Millisecond)
	appends, answer := submit()
	c.Assert(appends, quicktest.Equals, 0)
	c.Assert(classifier.CodeOf(answer.Err), quicktest.Equals, classifier.LogUnavailable)
	c.Assert(answer.Err.RetryAfter, quicktest.Equals, time.Second)
	now = now.Add(2 * time.Second)
	_, answer = submit()
	c.Assert(answer.Err.RetryAfter, quicktest.Equals, 2100*time.Millisecond)

	stateMachine.Step(now, messenger.JournalRead{SentAt: now})
	appends, _ = submit()
	c.Assert(appends, quicktest.Equals, 1)
	now = now.Add(3 * time.Second)
	for _, action := range stateMachine.Step(now, messenger.Tick{}) {
		if answered, ok := action.(messenger.CommandAnswered); ok {
			c.Assert(answered.Err.Code, quicktest.Equals, classifier.OutcomeUnknown)
			c.Assert(answered.Err.RetryAfter >= time.Second, quicktest.IsTrue)
			return
		}
	}
	c.Fatal("the command was not answered")
}
