package accountant_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/accountant"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// at returns a time as seconds of the test.
func at(seconds int) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(seconds) * time.Second)
}

// twelveCores is an amount that counts as 12 cores.
var twelveCores = specifier.Resources{MilliCPU: 4000, Accelerators: 1}

// A gang breaks because the minion of one member has ended; the ends of the others follow.
func Example() {
	var run accountant.Run
	run.NoteStart(at(0))
	run.NoteCheckpoint(at(8), "own", "")
	lost, isLoss := run.Loss(at(11), twelveCores, run.Cause(accountant.EndMinionGone))
	fmt.Println(lost.Rule, lost.CoreSeconds, isLoss)

	var breakage accountant.Breakage
	fmt.Println(breakage.Note(5, 0, accountant.EndGangBroken), breakage.Describe(5))
	fmt.Println(breakage.Note(5, 2, accountant.EndMinionGone), breakage.Describe(5))
	// Output:
	// minion-gone 36 true
	// false broken-by=unknown
	// true broken-by=2:minion-gone
}

// TestUnsavedTime guards against a loss that counts work before the newest checkpoint, or that
// does not count it because the checkpoint is the one from which the run resumed.
func TestUnsavedTime(t *testing.T) {
	c := quicktest.New(t)
	var run accountant.Run
	c.Assert(run.UnsavedTime(at(5)), quicktest.Equals, time.Duration(0))
	run.NoteStart(at(1))
	run.NoteStart(at(3)) // a later confirmation of the same start
	run.NoteCheckpoint(at(4), "former", "former")
	run.NoteCheckpoint(at(4), "", "former")
	c.Assert(run.UnsavedTime(at(5)), quicktest.Equals, 4*time.Second)
	run.NoteCheckpoint(at(4), "own", "former")
	c.Assert(run.UnsavedTime(at(5)), quicktest.Equals, time.Second)
}

// TestLossOfRunWithoutWork guards against losses of starts that were never confirmed.
func TestLossOfRunWithoutWork(t *testing.T) {
	c := quicktest.New(t)
	var run accountant.Run
	_, isLoss := run.Loss(at(5), twelveCores, accountant.EndUnreported)
	c.Assert(isLoss, quicktest.IsFalse)
	run.NoteStart(at(5))
	_, isLoss = run.Loss(at(5), twelveCores, accountant.EndUnreported)
	c.Assert(isLoss, quicktest.IsFalse)
}

// TestCauseOfStoppedRun guards against a stop whose loss is counted for the end that follows from
// it, and against a broken gang that hides the end by which it was broken.
func TestCauseOfStoppedRun(t *testing.T) {
	for _, test := range []struct {
		rule          accountant.Rule
		end, expected accountant.Cause
	}{
		{accountant.StopForPreemption, accountant.EndStopped, accountant.Cause(accountant.StopForPreemption)},
		{accountant.StopForPreemption, accountant.EndFailed, accountant.Cause(accountant.StopForPreemption)},
		{accountant.StopForPreemption, accountant.EndMinionGone, accountant.Cause(accountant.StopForPreemption)},
		{accountant.StopForBrokenGang, accountant.EndStopped, accountant.Cause(accountant.StopForBrokenGang)},
		{accountant.StopForBrokenGang, accountant.EndUnreported, accountant.Cause(accountant.StopForBrokenGang)},
		{accountant.StopForBrokenGang, accountant.EndGangBroken, accountant.Cause(accountant.StopForBrokenGang)},
		{accountant.StopForBrokenGang, accountant.EndFailed, accountant.EndFailed},
		{accountant.StopForBrokenGang, accountant.EndLeaseExpired, accountant.EndLeaseExpired},
	} {
		t.Run(test.rule.String()+" "+test.end.String(), func(t *testing.T) {
			var run accountant.Run
			c := quicktest.New(t)
			c.Assert(run.Cause(test.end), quicktest.Equals, test.end)
			run.NoteStop(at(1), test.rule)
			c.Assert(run.Cause(test.end), quicktest.Equals, test.expected)
		})
	}
}

// TestBreakageOfGang guards against a gang that is counted twice, for an end that follows from
// another one, or for the cause of an earlier run.
func TestBreakageOfGang(t *testing.T) {
	c := quicktest.New(t)
	var breakage accountant.Breakage
	c.Assert(breakage.Describe(1), quicktest.Equals, "")
	c.Assert(breakage.NoteEnd(1), quicktest.IsFalse) // no member has ended before its tasks were done
	c.Assert(breakage.Note(1, 3, accountant.EndFailed), quicktest.IsTrue)
	c.Assert(breakage.Note(1, 0, accountant.EndMinionGone), quicktest.IsFalse)
	c.Assert(breakage.NoteEnd(1), quicktest.IsFalse)
	c.Assert(breakage.Describe(1), quicktest.Equals, "broken-by=3:failed")
	c.Assert(breakage.Note(2, 1, accountant.Cause(accountant.StopForBrokenGang)), quicktest.IsFalse)
	c.Assert(breakage.Describe(1), quicktest.Equals, "")
	c.Assert(breakage.Describe(2), quicktest.Equals, "broken-by=unknown")
	c.Assert(breakage.NoteEnd(2), quicktest.IsTrue)
	c.Assert(breakage.NoteEnd(2), quicktest.IsFalse)
	c.Assert(breakage.Note(2, 1, accountant.EndFailed), quicktest.IsFalse)
}

// TestNamesAreUnique guards against two rules or kinds of end that share a label, and against a
// name that is missing.
func TestNamesAreUnique(t *testing.T) {
	c := quicktest.New(t)
	causes := make(map[string]accountant.Cause)
	for cause := range accountant.EndUnknown + 1 {
		known, isUsed := causes[cause.String()]
		c.Assert(isUsed, quicktest.IsFalse, quicktest.Commentf("%d and %d", known, cause))
		c.Assert(cause.String(), quicktest.Not(quicktest.Equals), "")
		causes[cause.String()] = cause
	}
}

// TestCauseOfListedEnd guards against ends that are counted as another kind of end.
func TestCauseOfListedEnd(t *testing.T) {
	c := quicktest.New(t)
	for kind, expected := range map[messenger.EndKind]accountant.Cause{
		messenger.EndDone: accountant.EndDone, messenger.EndFailed: accountant.EndFailed, messenger.EndStopped: accountant.EndStopped,
		messenger.EndLeaseExpired: accountant.EndLeaseExpired, messenger.EndGangBroken: accountant.EndGangBroken,
		messenger.EndGangIncomplete: accountant.EndGangIncomplete, messenger.EndUnknown: accountant.EndUnknown,
	} {
		c.Assert(accountant.CauseOf(kind), quicktest.Equals, expected)
	}
}

// TestInterruptedTasks guards against tasks whose stop is held against them although they need
// not run again.
func TestInterruptedTasks(t *testing.T) {
	c := quicktest.New(t)
	c.Assert(accountant.StopForPreemption.Interrupts(), quicktest.IsTrue)
	for _, rule := range []accountant.Rule{accountant.StopForJobEnd, accountant.StopForTaskEnd, accountant.StopForLaterRun, accountant.StopForAbandonedStart} {
		c.Assert(rule.Interrupts(), quicktest.IsFalse, quicktest.Commentf("%s", rule))
	}
}
