package applier

import (
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// TestRefusedEntryIsReported guards against an odd entry that is ignored without a
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
