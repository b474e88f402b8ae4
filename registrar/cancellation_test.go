package registrar_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/messenger"
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

// TestCancellationOfRefusedSubmissionIsUnknown guards against a cancellation that waits, or
// leaves a record in the journal, because of a submission that was certainly not accepted.
func TestCancellationOfRefusedSubmissionIsUnknown(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newEntryVM(1)
	entryVM.run(300 * time.Millisecond)
	entryVM.appendsRefused = true
	entryVM.submit("submit", "a")
	entryVM.withdraw("cancel", "a")
	entryVM.run(500 * time.Millisecond)
	c.Assert(entryVM.answers["submit"].Err.Code, quicktest.Equals, classifier.StoreBusy)
	c.Assert(entryVM.answers["cancel"].Err.Code, quicktest.Equals, classifier.UnknownJob)
	c.Assert(entryVM.journal, quicktest.HasLen, 0)
}

// TestCancellationFromAnotherWorkspaceIsUnknown guards against a cancellation that reaches
// the job of another workspace because its submission has no outcome yet.
func TestCancellationFromAnotherWorkspaceIsUnknown(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newEntryVM(1)
	entryVM.run(300 * time.Millisecond)
	entryVM.appendDelay = 5 * time.Second
	entryVM.submit("submit", "a")
	entryVM.run(300 * time.Millisecond)
	entryVM.step(messenger.WithdrawArrived{Request: "during", Job: "a", Queue: "q", Workspace: "other", Deadline: entryVM.now.Add(3 * time.Second)})
	entryVM.run(3200 * time.Millisecond)
	entryVM.step(messenger.WithdrawArrived{Request: "after", Job: "a", Queue: "q", Workspace: "other", Deadline: entryVM.now.Add(3 * time.Second)})
	entryVM.run(5 * time.Second)
	c.Assert(entryVM.answers["during"].Err.Code, quicktest.Equals, classifier.UnknownJob)
	c.Assert(entryVM.answers["after"].Err.Code, quicktest.Equals, classifier.UnknownJob)
	c.Assert(entryVM.has(messenger.Withdrawn{Job: "a"}), quicktest.IsFalse)
}
