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
