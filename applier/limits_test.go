package applier

import (
	"math"
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// TestRefusedEntryIsReported guards against an invalid entry that is ignored without a
// trace, and against one that hides its neighbours in the same append.
func TestRefusedEntryIsReported(t *testing.T) {
	c := quicktest.New(t)
	fixture := newFixture(testParameters).catchUpAll()
	actions := fixture.Step(fixture.now, messenger.AppendRead{
		Stream: identifier.Jobs, Offset: 1, AppendedAt: fixture.now,
		Entries: []messenger.Entry{{ID: "1", Record: messenger.Submission{Spec: job("a")}}},
		Refused: []error{classifier.New(classifier.BadFrame, "entry 1 of 2")},
	})
	accepted, _ := find[messenger.JobAccepted](actions)
	c.Assert(accepted.Spec.Job, quicktest.Equals, identifier.Job("a"))
	reported, _ := find[messenger.Transition](actions)
	c.Assert(reported.Subject, quicktest.Equals, "stream jobs")
	c.Assert(reported.Reason, quicktest.Equals, "record-unreadable")
	c.Assert(reported.Detail, quicktest.Contains, "offset=1 ")
	fixture.offsets[identifier.Jobs] = 1
	_, ok := find[messenger.JobAccepted](fixture.read(identifier.Jobs, messenger.Submission{Spec: job("b")}))
	c.Assert(ok, quicktest.IsTrue)
}

// TestInvalidSnapshotDoesNotHideOthers guards against a node that never becomes ready,
// because a part of a snapshot that claims to cover a later offset than its own
// makes it ignore all real ones.
func TestInvalidSnapshotDoesNotHideOthers(t *testing.T) {
	c := quicktest.New(t)
	writer := newFixture(testParameters).catchUpAll()
	for _, name := range []identifier.Job{"a", "b", "c"} {
		writer.read(identifier.Jobs, messenger.Submission{Spec: job(name)})
	}
	parts := writer.stream(identifier.Jobs).snapshotParts()
	c.Assert(parts, quicktest.HasLen, 1)

	reader := newFixture(testParameters)
	reader.offsets[identifier.Jobs] = 3
	deliver := func(part messenger.Snapshot, reset bool) {
		reader.offsets[identifier.Jobs]++
		reader.Step(reader.now, messenger.AppendRead{
			Stream: identifier.Jobs, Offset: reader.offsets[identifier.Jobs], AppendedAt: reader.now, Reset: reset,
			Entries: []messenger.Entry{{ID: "snapshot", Record: part}},
		})
	}
	for index, covered := range []identifier.Offset{4, math.MaxUint64, 1000} {
		deliver(messenger.Snapshot{Covered: covered, Parts: 2, State: messenger.JobsState{}}, index == 0)
	}
	deliver(parts[0], false)
	c.Assert(reader.stream(identifier.Jobs).applied, quicktest.Equals, identifier.Offset(3))
	c.Assert(reader.jobs.job("a"), quicktest.IsNotNil)
}
