package tailer

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
)

// TestCoverageAdvancesWhileTheTopicGrows guards against a node that never counts as up to
// date because records arrive faster than single reads reach the end of the topic.
func TestCoverageAdvancesWhileTheTopicGrows(t *testing.T) {
	c := quicktest.New(t)
	begun := time.Unix(1_000_000, 0)
	covered := coverage{until: begun}
	for read := range 10 {
		sentAt := begun.Add(time.Duration(read+1) * time.Second)
		next := Batch{Next: 10 * identifier.Offset(read+1), End: 10*identifier.Offset(read+1) + 5}
		covered.add(next, sentAt)
		c.Assert(covered.until.After(sentAt), quicktest.IsFalse)
		c.Assert(sentAt.Sub(covered.until) <= time.Second, quicktest.IsTrue)
	}
}
