package applier

import (
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// TestUnreadJobIsNotUnknown guards against a job that another node has accepted and whose
// cancellation this node refuses as unknown because it has not read the submission yet.
func TestUnreadJobIsNotUnknown(t *testing.T) {
	c := quicktest.New(t)
	accepting, lagging := newFixture(testParameters).catchUpAll(), newFixture(testParameters).catchUpAll()
	accepting.command(commander.Submit{Workspace: "clubs", Job: job("a")})
	answered, ok := find[messenger.CommandAnswered](accepting.readWithID(
		identifier.Jobs, "command/node-b/7/1", messenger.Submission{Spec: job("a")}))
	c.Assert(ok && answered.Err == nil, quicktest.IsTrue)
	answered, ok = lagging.command(commander.Cancel{Workspace: "clubs", Job: "a"})
	c.Assert(ok && classifier.CodeOf(asError(answered.Err)) == classifier.UnknownJob, quicktest.IsFalse)
}

// TestLogDecidesOnCancellationOfUnreadJob guards against a cancellation of a job that this
// node has not read yet and that is not answered by its record: the job is cancelled in
// its own workspace, is not in another one, and is unknown if the log has no submission.
func TestLogDecidesOnCancellationOfUnreadJob(t *testing.T) {
	for workspace, expected := range map[identifier.Workspace]classifier.Code{"clubs": classifier.OK, "other": classifier.Forbidden} {
		c := quicktest.New(t)
		lagging := newFixture(testParameters).catchUpAll()
		cancel := commander.Cancel{Workspace: workspace, Job: "a"}
		requested, ok := find[messenger.AppendRecord](lagging.Step(lagging.now, messenger.CommandArrived{Request: "r", Command: cancel}))
		c.Assert(ok, quicktest.IsTrue)
		lagging.read(identifier.Jobs, messenger.Submission{Spec: job("a")})
		answered, ok := find[messenger.CommandAnswered](lagging.readWithID(identifier.Jobs, requested.Entry.ID, requested.Entry.Record))
		c.Assert(ok, quicktest.IsTrue)
		c.Assert(classifier.CodeOf(asError(answered.Err)), quicktest.Equals, expected)
		c.Assert(lagging.jobs.job("a").CancelledAt > 0, quicktest.Equals, expected == classifier.OK)
	}
	c := quicktest.New(t)
	current := newFixture(testParameters).catchUpAll()
	cancel := commander.Cancel{Workspace: "clubs", Job: "a"}
	requested, _ := find[messenger.AppendRecord](current.Step(current.now, messenger.CommandArrived{Request: "r", Command: cancel}))
	answered, _ := find[messenger.CommandAnswered](current.readWithID(identifier.Jobs, requested.Entry.ID, requested.Entry.Record))
	c.Assert(classifier.CodeOf(asError(answered.Err)), quicktest.Equals, classifier.UnknownJob)
}
