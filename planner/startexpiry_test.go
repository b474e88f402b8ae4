package planner

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
)

// TestStartExpiresWithItsReading guards against an order to start a run that waits in its ring,
// or is sent again on a new connection, until the bound on starts in an evacuated domain has
// passed. Without evacuations nothing changes.
func TestStartExpiresWithItsReading(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	readAt := time.Unix(1000, 0)
	planner := New("n", Bounds{EvacuationTime: 5 * time.Second}, Features{})
	planner.Step(readAt.Add(time.Second), messenger.EvacuationsRead{SentAt: readAt})
	for _, age := range []time.Duration{0, time.Second, 3500 * time.Millisecond, 4 * time.Second} {
		now := readAt.Add(age)
		c.Assert(planner.hasCurrentEvacuations(now), quicktest.IsTrue)
		latestArrival := planner.startExpiry(now).Add(answerTimeout)
		c.Assert(latestArrival.After(readAt.Add(5*time.Second)), quicktest.IsFalse, quicktest.Commentf("age %s", age))
		c.Assert(planner.startExpiry(now).After(now), quicktest.IsTrue)
	}
	c.Assert(planner.hasCurrentEvacuations(readAt.Add(4*time.Second+1)), quicktest.IsFalse)
	unbounded := New("n", Bounds{}, Features{})
	c.Assert(unbounded.hasCurrentEvacuations(readAt), quicktest.IsTrue)
	c.Assert(unbounded.startExpiry(readAt), quicktest.Equals, readAt.Add(orderLifetime))
}
