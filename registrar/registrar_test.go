package registrar_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/registrar"
	"corianderroad/specifier"
)

// entry is one entry VM with a store that has faults, in virtual time.
type entry struct {
	registrar *registrar.Registrar
	now       time.Time
	source    *rand.Rand
	pending   []pendingEvent
	journal   []messenger.JournalEntry
	read      int
	readAt    time.Time
	// Faults of the store.
	refusing, unresponsive bool
	answerLossRate         float64
	answers                map[identifier.Request]messenger.CommandAnswered
}

type pendingEvent struct {
	at    time.Time
	event messenger.Event
}

func newEntry(seed uint64) *entry {
	return &entry{
		registrar: registrar.New(), now: time.Unix(1_000_000, 0), source: rand.New(rand.NewPCG(seed, 3)),
		answers: make(map[identifier.Request]messenger.CommandAnswered),
	}
}

func (entry *entry) step(event messenger.Event) {
	for _, action := range entry.registrar.Step(entry.now, event) {
		switch action := action.(type) {
		case messenger.AppendEntries:
			entry.append(action)
		case messenger.CommandAnswered:
			if _, twice := entry.answers[action.Request]; twice {
				panic(fmt.Sprintf("request %s is answered twice", action.Request))
			}
			entry.answers[action.Request] = action
		}
	}
}

func (entry *entry) append(action messenger.AppendEntries) {
	appended := messenger.EntriesAppended{ID: action.ID}
	delay := 10 * time.Millisecond
	switch {
	case entry.unresponsive:
		appended.Err, delay = classifier.New(classifier.OutcomeUnknown, "no answer"), time.Second
		if entry.source.Float64() < 0.5 {
			entry.journal = append(entry.journal, action.Entries...)
		}
	case entry.refusing:
		appended.Err = classifier.New(classifier.StoreBusy, "busy")
	default:
		entry.journal = append(entry.journal, action.Entries...)
		if entry.source.Float64() < entry.answerLossRate {
			appended.Err, delay = classifier.New(classifier.OutcomeUnknown, "no answer"), time.Second
		}
	}
	entry.pending = append(entry.pending, pendingEvent{entry.now.Add(delay), appended})
}

func (entry *entry) run(span time.Duration) {
	for end := entry.now.Add(span); entry.now.Before(end); entry.now = entry.now.Add(5 * time.Millisecond) {
		waiting := entry.pending
		entry.pending = nil
		for _, pending := range waiting {
			if pending.at.After(entry.now) {
				entry.pending = append(entry.pending, pending)
			} else {
				entry.step(pending.event)
			}
		}
		if !entry.refusing && !entry.unresponsive && entry.now.Sub(entry.readAt) > 100*time.Millisecond {
			entries := entry.journal[entry.read:]
			entry.read, entry.readAt = len(entry.journal), entry.now
			entry.step(messenger.JournalRead{Entries: entries, End: identifier.Offset(len(entry.journal)), SentAt: entry.now})
		}
		if next := entry.registrar.Next(); !next.IsZero() && !next.After(entry.now) {
			entry.step(messenger.Tick{})
		}
	}
}

func (entry *entry) has(wanted messenger.JournalEntry) bool {
	for _, known := range entry.journal {
		switch known := known.(type) {
		case messenger.Submitted:
			if submitted, ok := wanted.(messenger.Submitted); ok && submitted.Job.ID == known.Job.ID {
				return true
			}
		case messenger.Withdrawn:
			if known == wanted {
				return true
			}
		}
	}
	return false
}

func (entry *entry) submit(request, id string) {
	entry.step(messenger.SubmitArrived{
		Request: identifier.Request(request), Deadline: entry.now.Add(3 * time.Second),
		Job: specifier.Job{ID: identifier.Job(id), Queue: "q", Workspace: "w", Steps: []specifier.Step{{Tasks: 1}}},
	})
}

func (entry *entry) withdraw(request, id string) {
	entry.step(messenger.WithdrawArrived{
		Request: identifier.Request(request), Job: identifier.Job(id), Queue: "q", Workspace: "w",
		Deadline: entry.now.Add(3 * time.Second),
	})
}

// TestAnswersMatchJournal guards against a job that is acknowledged but not
// durable, against one that is refused as not accepted but is in the journal,
// against a command without an answer, and against an acknowledged cancellation
// that is not durable. The store does not respond, refuses appends, or loses
// answers.
func TestAnswersMatchJournal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entry := newEntry(rapid.Uint64().Draw(t, "seed"))
		entry.run(300 * time.Millisecond)
		jobs := make(map[string]bool)
		count := rapid.IntRange(1, 15).Draw(t, "commands")
		refused := make(map[string]int)
		sent := make(map[string]int)
		for number := range count {
			entry.run(time.Duration(rapid.IntRange(0, 600).Draw(t, "after")) * time.Millisecond)
			id := fmt.Sprintf("j%d", rapid.IntRange(0, 4).Draw(t, "job"))
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				entry.withdraw(fmt.Sprint("cancel-", number, "-", id), id)
			case 1:
				entry.refusing = !entry.refusing
			case 2:
				entry.unresponsive = !entry.unresponsive
			case 3:
				entry.answerLossRate = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "lose-answers")
			default:
				jobs[id] = true
				sent[id]++
				entry.submit(fmt.Sprint("submit-", number, "-", id), id)
			}
		}
		entry.refusing, entry.unresponsive, entry.answerLossRate = false, false, 0
		entry.run(5 * time.Second)
		for request, answer := range entry.answers {
			var kind, id string
			var number int
			if _, err := fmt.Sscanf(string(request), "submit-%d-%s", &number, &id); err == nil {
				kind = "submit"
			} else if _, err := fmt.Sscanf(string(request), "cancel-%d-%s", &number, &id); err != nil {
				t.Fatalf("request %q", request)
			}
			switch {
			case kind == "submit" && answer.Err == nil && !entry.has(messenger.Submitted{Job: specifier.Job{ID: identifier.Job(id)}}):
				t.Fatalf("%s is acknowledged but not durable", request)
			case kind == "submit" && answer.Err != nil && answer.Err.Code.Execution() == classifier.NotRun:
				refused[id]++
			case kind == "" && answer.Err == nil && !entry.has(messenger.Withdrawn{Job: identifier.Job(id)}):
				t.Fatalf("%s is acknowledged but not durable", request)
			}
		}
		for id := range jobs {
			if refused[id] == sent[id] && entry.has(messenger.Submitted{Job: specifier.Job{ID: identifier.Job(id)}}) {
				t.Fatalf("all submissions of %s were refused as not accepted, but the journal contains it", id)
			}
		}
		if next := entry.registrar.Next(); !next.IsZero() {
			t.Fatalf("a command is still unanswered; the next tick is due at %s", next)
		}
	})
}

// TestRefusalIsNotDelayed guards against a late refusal: that of a store that
// refuses appends is reported within 200 ms, and a store that has not responded
// for longer is reported without a further append.
func TestRefusalIsNotDelayed(t *testing.T) {
	c := quicktest.New(t)
	entry := newEntry(1)
	entry.run(300 * time.Millisecond)
	entry.refusing = true
	entry.submit("busy", "a")
	entry.run(200 * time.Millisecond)
	c.Assert(entry.answers["busy"].Err.Code, quicktest.Equals, classifier.StoreBusy)
	c.Assert(entry.answers["busy"].Err.RetryAfter > 0, quicktest.IsTrue)
	entry.run(2 * time.Second)
	entry.submit("away", "b")
	c.Assert(entry.answers["away"].Err.Code, quicktest.Equals, classifier.LogUnavailable)
	c.Assert(entry.answers["away"].Err.RetryAfter > 0, quicktest.IsTrue)
}

// TestUnknownOutcomeIsNotDelayed guards against a command that waits until its
// deadline although the store no longer responds.
func TestUnknownOutcomeIsNotDelayed(t *testing.T) {
	c := quicktest.New(t)
	entry := newEntry(1)
	entry.run(300 * time.Millisecond)
	entry.unresponsive = true
	entry.run(300 * time.Millisecond)
	entry.submit("lost", "a")
	entry.run(1100 * time.Millisecond)
	c.Assert(entry.answers["lost"].Err.Code, quicktest.Equals, classifier.OutcomeUnknown)
}

// TestCancellationOfJobFromAnotherEntry guards against a cancellation that is
// refused with UnknownJob because another entry VM has just accepted the job.
func TestCancellationOfJobFromAnotherEntry(t *testing.T) {
	c := quicktest.New(t)
	entry := newEntry(1)
	entry.run(300 * time.Millisecond)
	entry.journal = append(entry.journal, messenger.Submitted{Job: specifier.Job{ID: "a", Queue: "q", Workspace: "w"}})
	entry.withdraw("cancel", "a")
	entry.withdraw("unknown", "b")
	entry.run(500 * time.Millisecond)
	c.Assert(entry.answers["cancel"].Err == nil, quicktest.IsTrue)
	c.Assert(entry.has(messenger.Withdrawn{Job: "a"}), quicktest.IsTrue)
	c.Assert(entry.answers["unknown"].Err.Code, quicktest.Equals, classifier.UnknownJob)
	answer := entry.registrar.View(entry.now, querier.Query{Kind: querier.JobState, Subject: "a", Workspace: "w"})
	c.Assert(answer.Submitted[0].State, quicktest.Equals, specifier.Cancelled)
	other := entry.registrar.View(entry.now, querier.Query{Kind: querier.JobState, Subject: "a", Workspace: "other"})
	c.Assert(other.Submitted, quicktest.HasLen, 0)
}

// TestQueueLengthCountsQueuedJobs guards against a queue length that includes
// jobs that are running, cancelled or deleted.
func TestQueueLengthCountsQueuedJobs(t *testing.T) {
	c := quicktest.New(t)
	entry := newEntry(1)
	for _, id := range []identifier.Job{"a", "b", "c", "d"} {
		entry.journal = append(entry.journal, messenger.Submitted{Job: specifier.Job{ID: id, Queue: "q"}})
	}
	entry.journal = append(entry.journal, messenger.Withdrawn{Job: "b"},
		messenger.Progressed{Job: "c", Progress: specifier.Progress{State: specifier.Running}}, messenger.Deleted{Job: "d"})
	entry.run(300 * time.Millisecond)
	answer := entry.registrar.View(entry.now, querier.Query{Kind: querier.QueueLength, Subject: "q"})
	c.Assert(answer.Waiting, quicktest.Equals, 1)
}

// TestOutageIsReportedAtOnce guards against an append to a store whose last read
// failed, which would leave the job's outcome unknown, and against refusals
// without a retry delay.
func TestOutageIsReportedAtOnce(t *testing.T) {
	c := quicktest.New(t)
	stateMachine, now := registrar.New(), time.Unix(1_000_000, 0)
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
