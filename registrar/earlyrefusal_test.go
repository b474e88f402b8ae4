package registrar_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/admitter"
	"corianderroad/budgeter"
	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/registrar"
	"corianderroad/specifier"
)

// refusingDecider refuses a share of the submissions.
type refusingDecider struct {
	random  *rand.Rand
	share   float64
	decided []admitter.Submission
	figures admitter.Figures
	changes []admitter.Change
}

func (decider *refusingDecider) SetFigures(_ time.Time, figures admitter.Figures) {
	decider.figures = figures
}

func (decider *refusingDecider) Decide(_ time.Time, submission admitter.Submission) admitter.Verdict {
	decider.decided = append(decider.decided, submission)
	if decider.random.Float64() >= decider.share {
		return admitter.Verdict{}
	}
	return admitter.Verdict{Refused: true, Wait: time.Minute, RetryAfter: 7 * time.Second}
}

func (decider *refusingDecider) Changes(time.Time) []admitter.Change {
	changes := decider.changes
	decider.changes = nil
	return changes
}

func (decider *refusingDecider) Waits(time.Time) []admitter.Wait { return decider.figures.Waits }

// newRefusingEntryVM returns an entry VM that refuses a share of the submissions early.
func newRefusingEntryVM(seed uint64, share float64) (*entryVM, *refusingDecider) {
	entryVM := newEntryVM(seed)
	decider := &refusingDecider{random: rand.New(rand.NewPCG(seed, 5)), share: share}
	entryVM.registrar = registrar.New(budgeter.New(1<<30, jobRetention), decider)
	entryVM.step(messenger.PolicyRead{Policy: refusalPolicy()})
	entryVM.run(300 * time.Millisecond)
	return entryVM, decider
}

func refusalPolicy() *specifier.Policy {
	return &specifier.Policy{
		Version: 1, Queues: []specifier.Queue{{Name: "q", Service: "pool", Priority: 2, Stretch: 2}},
		Workspaces: []specifier.Workspace{{Name: "w", Guaranteed: 8}},
	}
}

// TestEarlyRefusalIsFinal guards against a refusal before the journal has shown that no other node has
// accepted the job, and against one that an append follows.
func TestEarlyRefusalIsFinal(t *testing.T) {
	c := quicktest.New(t)
	entryVM, _ := newRefusingEntryVM(1, 1)
	entryVM.submit("s1", "j1")
	c.Assert(entryVM.answers, quicktest.HasLen, 0)
	entryVM.run(300 * time.Millisecond)
	err := entryVM.answers["s1"].Err
	c.Assert(err.Code, quicktest.Equals, classifier.BacklogTooLong)
	c.Assert(err.Code.Meaning().Status, quicktest.Equals, 429)
	c.Assert(err.RetryAfter, quicktest.Equals, 7*time.Second)
	entryVM.run(5 * time.Second)
	c.Assert(entryVM.appendedAt, quicktest.HasLen, 0)
	c.Assert(entryVM.journal, quicktest.HasLen, 0)
}

// TestRepeatedSubmissionIsNotRefusedEarly guards against the refusal of a job that the journal has: here,
// known to this node, just accepted by another one, or after an append without an answer.
func TestRepeatedSubmissionIsNotRefusedEarly(t *testing.T) {
	c := quicktest.New(t)
	entryVM, decider := newRefusingEntryVM(1, 1)
	entryVM.journal = append(entryVM.journal, messenger.Submitted{Job: jobNamed("elsewhere")})
	entryVM.submit("s1", "elsewhere")
	c.Assert(entryVM.answers, quicktest.HasLen, 0)
	entryVM.run(300 * time.Millisecond)
	c.Assert(entryVM.answers["s1"].Err == nil, quicktest.IsTrue)
	entryVM.submit("s2", "elsewhere")
	c.Assert(entryVM.answers["s2"].Err == nil, quicktest.IsTrue)

	decider.share, entryVM.appendDelay = 0, 5*time.Second
	entryVM.submit("s3", "late")
	entryVM.run(3 * time.Second)
	c.Assert(entryVM.answers["s3"].Err.Code, quicktest.Equals, classifier.OutcomeUnknown)
	decider.share, entryVM.appendDelay = 1, 0
	entryVM.submit("s4", "late")
	entryVM.run(300 * time.Millisecond)
	c.Assert(entryVM.answers["s4"].Err == nil, quicktest.IsTrue)

	// An append of a second submission is open when the journal is read for the first one.
	entryVM.submit("s5", "open")
	decider.share, entryVM.appendDelay = 0, 800*time.Millisecond
	entryVM.submit("s6", "open")
	entryVM.appendDelay = 0
	entryVM.run(3 * time.Second)
	c.Assert(entryVM.answers["s5"].Err == nil, quicktest.IsTrue)
	c.Assert(entryVM.answers["s6"].Err == nil, quicktest.IsTrue)
}

// TestEarlierReadRefusesNothing guards against a refusal by a read of the journal that was sent before the
// submission arrived, and that may lack a job which another node has accepted since.
func TestEarlierReadRefusesNothing(t *testing.T) {
	c := quicktest.New(t)
	entryVM, _ := newRefusingEntryVM(1, 1)
	sentAt := entryVM.now
	entryVM.now = entryVM.now.Add(20 * time.Millisecond)
	entryVM.submit("s1", "j1")
	entryVM.step(messenger.JournalRead{SentAt: sentAt})
	c.Assert(entryVM.answers, quicktest.HasLen, 0)
	entryVM.step(messenger.JournalRead{SentAt: entryVM.now.Add(time.Millisecond), Entries: []messenger.JournalEntry{messenger.Submitted{Job: jobNamed("j1")}}})
	c.Assert(entryVM.answers["s1"].Err == nil, quicktest.IsTrue)
}

// TestSlowStoreRefusesNothingEarly guards against a refusal although the journal could not be read, and
// against a submission without an answer: a slow store has it appended, and one that does not answer
// refuses it as any other.
func TestSlowStoreRefusesNothingEarly(t *testing.T) {
	c := quicktest.New(t)
	entryVM, _ := newRefusingEntryVM(1, 1)
	entryVM.readAt = entryVM.now.Add(10 * time.Second) // no reads, but appends
	entryVM.submit("s1", "j1")
	entryVM.run(1200 * time.Millisecond)
	c.Assert(entryVM.answers["s1"].Err == nil, quicktest.IsTrue)
	c.Assert(entryVM.has(messenger.Submitted{Job: jobNamed("j1")}), quicktest.IsTrue)

	entryVM, _ = newRefusingEntryVM(1, 1)
	entryVM.submit("s2", "j2")
	entryVM.refusing = true
	entryVM.step(messenger.JournalReadFailed{})
	entryVM.run(1200 * time.Millisecond)
	c.Assert(entryVM.answers["s2"].Err.Code, quicktest.Equals, classifier.LogUnavailable)
	c.Assert(entryVM.appendedAt, quicktest.HasLen, 0)
}

// TestShortDeadlineIsNotMissedByARefusal guards against a caller without an answer because the refusal of
// its job waits for a read of the journal.
func TestShortDeadlineIsNotMissedByARefusal(t *testing.T) {
	c := quicktest.New(t)
	entryVM, _ := newRefusingEntryVM(1, 1)
	entryVM.readAt = entryVM.now.Add(10 * time.Second)
	entryVM.step(messenger.SubmitArrived{Request: "s1", Job: jobNamed("j1"), Deadline: entryVM.now.Add(500 * time.Millisecond)})
	entryVM.run(400 * time.Millisecond)
	c.Assert(entryVM.answers["s1"].Err == nil, quicktest.IsTrue)
	c.Assert(entryVM.has(messenger.Submitted{Job: jobNamed("j1")}), quicktest.IsTrue)
}

// TestGuaranteeCountsOpenJobs guards against a workspace that is refused within its guarantee, and against
// one that counts as within it for ever.
func TestGuaranteeCountsOpenJobs(t *testing.T) {
	c := quicktest.New(t)
	entryVM, decider := newRefusingEntryVM(1, 0)
	submit := func(id string) bool {
		job := jobNamed(id)
		job.Steps = []specifier.Step{{Tasks: 2, Request: specifier.Resources{Accelerators: 2}}}
		entryVM.step(messenger.SubmitArrived{Request: identifier.Request("s-" + id), Job: job, Deadline: entryVM.now.Add(3 * time.Second)})
		entryVM.run(200 * time.Millisecond)
		return decider.decided[len(decider.decided)-1].WithinGuarantee
	}
	c.Assert(submit("a"), quicktest.IsTrue)
	c.Assert(submit("b"), quicktest.IsTrue)
	c.Assert(submit("c"), quicktest.IsFalse)
	entryVM.withdraw("w-a", "a")
	entryVM.run(200 * time.Millisecond)
	entryVM.journal = append(entryVM.journal, messenger.Progressed{Job: "b", Progress: specifier.Progress{State: specifier.Completed}}, messenger.Deleted{Job: "b"})
	entryVM.run(200 * time.Millisecond)
	c.Assert(submit("d"), quicktest.IsTrue)
	c.Assert(submit("e"), quicktest.IsFalse)
}

// TestEarlyRefusalsAreShown guards against refusals that no operator sees, and against a log line for each.
func TestEarlyRefusalsAreShown(t *testing.T) {
	c := quicktest.New(t)
	entryVM, decider := newRefusingEntryVM(1, 1)
	waits := &messenger.QueueWaits{ComputedAt: entryVM.now, Queues: []messenger.QueueWait{{Queue: "q", TimelyWait: time.Second, Wait: time.Minute, RunTime: 2 * time.Second, Tasks: 3}}}
	decider.changes = []admitter.Change{{Queue: "q", Refused: 4, Lasted: time.Minute}}
	actions := entryVM.registrar.Step(entryVM.now, messenger.WaitsRead{Waits: waits, ReadAt: entryVM.now})
	c.Assert(actions, quicktest.DeepEquals, []messenger.Action{messenger.Decision{
		Subject: "q", Outcome: "early-refusals-ended", Reason: "the expected wait is short or not known", Detail: "refused=4", Age: time.Minute,
	}})
	c.Assert(decider.figures, quicktest.DeepEquals, admitter.Figures{
		ComputedAt: entryVM.now, ReadAt: entryVM.now,
		Waits: []admitter.Wait{{Queue: "q", Timely: time.Second, Behind: time.Minute, RunTime: 2 * time.Second, Tasks: 3}},
	})
	gauges := entryVM.registrar.View(entryVM.now, querier.Query{Kind: querier.Status}).Gauges
	c.Assert(gauges, quicktest.Contains, querier.Gauge{Name: "published-wait-seconds", Label: "q", Value: 60})
	c.Assert(gauges, quicktest.Contains, querier.Gauge{Name: "published-timely-wait-seconds", Label: "q", Value: 1})

	decider.changes = []admitter.Change{{Queue: "q", Began: true, Wait: time.Minute}}
	arrived := messenger.SubmitArrived{Request: "s1", Job: jobNamed("j1"), Deadline: entryVM.now.Add(3 * time.Second)}
	c.Assert(entryVM.registrar.Step(entryVM.now, arrived), quicktest.DeepEquals, []messenger.Action{messenger.Decision{
		Subject: "q", Outcome: "early-refusals-began", Reason: "jobs would be done too late", Detail: "expected-wait=1m0s",
	}})
	read := messenger.JournalRead{SentAt: entryVM.now.Add(time.Millisecond)}
	actions = entryVM.registrar.Step(entryVM.now.Add(2*time.Millisecond), read)
	c.Assert(actions[1:], quicktest.DeepEquals, []messenger.Action{
		messenger.Count{Counter: messenger.Refusals, Reason: "backlog-too-long"},
		messenger.Count{Counter: messenger.EarlyRefusals, Reason: "q"},
	})
}

// TestAnswersMatchJournalWithEarlyRefusals guards against what TestAnswersMatchJournal does, while a part
// of the submissions is refused early.
func TestAnswersMatchJournalWithEarlyRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entryVM, _ := newRefusingEntryVM(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]float64{0.3, 0.7, 1}).Draw(t, "share"))
		checkAnswersMatchJournal(t, entryVM)
	})
}

// TestDisabledEarlyRefusalsChangeNothing guards against events that have an effect where the rule is off.
func TestDisabledEarlyRefusalsChangeNothing(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newEntryVM(1)
	entryVM.run(300 * time.Millisecond)
	entryVM.step(messenger.PolicyRead{Policy: refusalPolicy()})
	entryVM.step(messenger.WaitsRead{Waits: &messenger.QueueWaits{ComputedAt: entryVM.now, Queues: []messenger.QueueWait{{Queue: "q", Wait: time.Hour}}}, ReadAt: entryVM.now})
	for number := range 20 {
		entryVM.submit(fmt.Sprint("s", number), fmt.Sprint("j", number))
	}
	entryVM.run(100 * time.Millisecond)
	c.Assert(entryVM.answers, quicktest.HasLen, 20)
	for _, answer := range entryVM.answers {
		c.Assert(answer.Err == nil, quicktest.IsTrue)
	}
}
