package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/planner"
)

// TestHolderWithoutClaimDoesNotSpin guards against a holder that becomes active when its
// claim is no longer confirmed, and asks for its next event at once, again and again.
func TestHolderWithoutClaimDoesNotSpin(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	now := time.Unix(1_000_000, 0)
	holder := planner.New("n", planner.Bounds{MaxLease: maxLease}, planner.Features{})
	holder.Step(now, messenger.HolderChanged{Token: 1, ConfirmedAt: now})
	holder.Step(now, messenger.ProgressRead{Complete: true})
	now = now.Add(2 * time.Second) // the fence is answered late
	holder.Step(now, messenger.JournalFenced{Token: 1})
	end := now.Add(time.Second)
	events := 0
	for ; now.Before(end); events++ {
		now = holder.Next()
		holder.Step(now, messenger.Tick{})
		c.Assert(events < 1000, quicktest.IsTrue, quicktest.Commentf("%s before the end", end.Sub(now)))
	}
}
