package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/specifier"
)

// TestCancellationDuringSubmissionIsNotUnknown guards against a cancellation that is refused
// with UnknownJob while this entry VM repeats the append of the job, which then runs.
func TestCancellationDuringSubmissionIsNotUnknown(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newEntryVM(1)
	entryVM.run(300 * time.Millisecond)
	entryVM.appendDelay = 1200 * time.Millisecond
	entryVM.submit("submit", "a")
	entryVM.run(300 * time.Millisecond)
	entryVM.withdraw("cancel", "a")
	entryVM.run(5 * time.Second)
	c.Assert(entryVM.answers["submit"].Err == nil, quicktest.IsTrue)
	c.Assert(entryVM.answers["cancel"].Err == nil, quicktest.IsTrue, quicktest.Commentf("%v", entryVM.answers["cancel"].Err))
	c.Assert(entryVM.has(messenger.Withdrawn{Job: "a"}), quicktest.IsTrue)
}

// TestCancellationAfterUnknownOutcomeIsNotUnknown guards against a cancellation that is
// refused with UnknownJob although an append of the job, whose submission this entry VM has
// answered with an unknown outcome, is carried out seconds later.
func TestCancellationAfterUnknownOutcomeIsNotUnknown(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newEntryVM(1)
	entryVM.run(300 * time.Millisecond)
	entryVM.appendDelay = 5 * time.Second
	entryVM.submit("submit", "a")
	entryVM.run(3500 * time.Millisecond)
	c.Assert(entryVM.answers["submit"].Err.Code, quicktest.Equals, classifier.OutcomeUnknown)
	entryVM.appendDelay = 0
	entryVM.withdraw("cancel", "a")
	entryVM.run(5 * time.Second)
	c.Assert(entryVM.has(messenger.Submitted{Job: jobNamed("a")}), quicktest.IsTrue)
	c.Assert(entryVM.answers["cancel"].Err == nil, quicktest.IsTrue, quicktest.Commentf("%v", entryVM.answers["cancel"].Err))
	c.Assert(entryVM.has(messenger.Withdrawn{Job: "a"}), quicktest.IsTrue)
}

// TestCancellationOfRefusedSubmissionIsUnknown guards against a cancellation that waits because
// of a submission that was certainly not accepted here, against one that is acknowledged while
// the store refuses to record it, although another entry VM may have submitted the job, and
// against one that leaves more in the journal than its tombstone.
func TestCancellationOfRefusedSubmissionIsUnknown(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newEntryVM(1)
	entryVM.run(300 * time.Millisecond)
	entryVM.appendsRefused = true
	entryVM.submit("submit", "a")
	entryVM.withdraw("cancel", "a")
	entryVM.run(500 * time.Millisecond)
	c.Assert(entryVM.answers["submit"].Err.Code, quicktest.Equals, classifier.StoreBusy)
	c.Assert(entryVM.answers["cancel"].Err.Code, quicktest.Equals, classifier.StoreBusy)
	c.Assert(entryVM.answers["cancel"].Err.RetryAfter > 0, quicktest.IsTrue)
	c.Assert(entryVM.journal, quicktest.HasLen, 0)
	entryVM.appendsRefused = false
	entryVM.withdraw("again", "a")
	entryVM.run(500 * time.Millisecond)
	c.Assert(entryVM.answers["again"].Err.Code, quicktest.Equals, classifier.UnknownJob)
	c.Assert(entryVM.journal, quicktest.DeepEquals, []messenger.JournalEntry{messenger.Tombstone{Job: "a", Workspace: "w"}})
}

// TestCancellationFromAnotherWorkspaceIsUnknown guards against a cancellation that reaches
// the job of another workspace because its submission has no outcome yet.
func TestCancellationFromAnotherWorkspaceIsUnknown(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newEntryVM(1)
	entryVM.run(300 * time.Millisecond)
	entryVM.submissionDelay = 5 * time.Second
	entryVM.submit("submit", "a")
	entryVM.run(300 * time.Millisecond)
	entryVM.step(messenger.WithdrawArrived{Request: "during", Job: "a", Queue: "q", Workspace: "other", Deadline: entryVM.now.Add(3 * time.Second)})
	entryVM.run(3200 * time.Millisecond)
	entryVM.step(messenger.WithdrawArrived{Request: "after", Job: "a", Queue: "q", Workspace: "other", Deadline: entryVM.now.Add(3 * time.Second)})
	entryVM.run(5 * time.Second)
	c.Assert(entryVM.answers["during"].Err.Code, quicktest.Equals, classifier.UnknownJob)
	c.Assert(entryVM.answers["after"].Err.Code, quicktest.Equals, classifier.UnknownJob)
	c.Assert(entryVM.has(messenger.Withdrawn{Job: "a"}), quicktest.IsFalse)
	c.Assert(entryVM.isCancelled("a"), quicktest.IsFalse)
}

// TestCancelledJobOfALateAppendNeverRuns guards against a job that runs although its
// cancellation was acknowledged: the cancellation reaches an entry VM that has not seen the
// submission, and the append of another one is carried out seconds later.
func TestCancelledJobOfALateAppendNeverRuns(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newEntryVM(1)
	entryVM.run(300 * time.Millisecond)
	entryVM.withdraw("cancel", "a")
	entryVM.run(500 * time.Millisecond)
	c.Assert(entryVM.answers["cancel"].Err.Code, quicktest.Equals, classifier.UnknownJob)
	entryVM.journal = append(entryVM.journal, messenger.Submitted{Job: jobNamed("a")}) // the late append of another entry VM
	entryVM.run(500 * time.Millisecond)
	answer := entryVM.registrar.View(entryVM.now, querier.Query{Kind: querier.JobState, Subject: "a", Workspace: jobNamed("a").Workspace})
	c.Assert(answer.Submitted, quicktest.HasLen, 1)
	c.Assert(answer.Submitted[0].State, quicktest.Equals, specifier.Cancelled)
	restarted := newEntryVM(2)
	restarted.journal = entryVM.journal
	restarted.run(500 * time.Millisecond)
	answer = restarted.registrar.View(restarted.now, querier.Query{Kind: querier.JobState, Subject: "a", Workspace: jobNamed("a").Workspace})
	c.Assert(answer.Submitted[0].State, quicktest.Equals, specifier.Cancelled)
}

// TestTombstoneOfAnotherWorkspaceCancelsNothing guards against a workspace that cancels the
// jobs of another one before they are submitted, or replaces its tombstones.
func TestTombstoneOfAnotherWorkspaceCancelsNothing(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newEntryVM(1)
	entryVM.run(300 * time.Millisecond)
	entryVM.step(messenger.WithdrawArrived{Request: "other", Job: "a", Queue: "q", Workspace: "other", Deadline: entryVM.now.Add(3 * time.Second)})
	entryVM.run(500 * time.Millisecond)
	entryVM.submit("submit", "a")
	entryVM.run(500 * time.Millisecond)
	c.Assert(entryVM.answers["submit"].Err == nil, quicktest.IsTrue)
	answer := entryVM.registrar.View(entryVM.now, querier.Query{Kind: querier.JobState, Subject: "a", Workspace: "w"})
	c.Assert(answer.Submitted[0].State, quicktest.Equals, specifier.Queued)
}

// TestCancellationsOfUnknownJobsAreBounded guards against callers that fill the journal with
// tombstones, and against a bound that outlives them.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	const maxTombstones = 4096
	c := quicktest.New(t)
	entryVM := newEntryVM(1)
	for number := range maxTombstones {
		entryVM.journal = append(entryVM.journal, messenger.Tombstone{Job: identifier.Job(fmt.Sprint(number)), Workspace: "w"})
	}
	entryVM.run(300 * time.Millisecond)
	entryVM.withdraw("refused", "a")
	entryVM.run(500 * time.Millisecond)
	c.Assert(entryVM.answers["refused"].Err.Code, quicktest.Equals, classifier.StoreBusy)
	c.Assert(entryVM.answers["refused"].Err.RetryAfter > 0, quicktest.IsTrue)
	entryVM.journal = append(entryVM.journal, messenger.TombstoneDeleted{Tombstone: messenger.Tombstone{Job: "0", Workspace: "w"}})
	entryVM.run(500 * time.Millisecond)
	entryVM.withdraw("taken", "a")
	entryVM.run(500 * time.Millisecond)
	c.Assert(entryVM.answers["taken"].Err.Code, quicktest.Equals, classifier.UnknownJob)
}

// TestCancellationOfJobFromAnotherEntry guards against a cancellation that is
// refused with UnknownJob because another entry VM has just accepted the job.
func TestCancellationOfJobFromAnotherEntry(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newEntryVM(1)
	entryVM.run(300 * time.Millisecond)
	entryVM.journal = append(entryVM.journal, messenger.Submitted{Job: specifier.Job{ID: "a", Queue: "q", Workspace: "w"}})
	entryVM.withdraw("cancel", "a")
	entryVM.withdraw("unknown", "b")
	entryVM.run(500 * time.Millisecond)
	c.Assert(entryVM.answers["cancel"].Err == nil, quicktest.IsTrue)
	c.Assert(entryVM.has(messenger.Withdrawn{Job: "a"}), quicktest.IsTrue)
	c.Assert(entryVM.answers["unknown"].Err.Code, quicktest.Equals, classifier.UnknownJob)
	answer := entryVM.registrar.View(entryVM.now, querier.Query{Kind: querier.JobState, Subject: "a", Workspace: "w"})
	c.Assert(answer.Submitted[0].State, quicktest.Equals, specifier.Cancelled)
	other := entryVM.registrar.View(entryVM.now, querier.Query{Kind: querier.JobState, Subject: "a", Workspace: "other"})
	c.Assert(other.Submitted, quicktest.HasLen, 0)
}
