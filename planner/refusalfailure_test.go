package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/planner"
)

// maxFigureTime is the time for which figures may be used after the holder or the store has failed, with the
// time from their computation to their use.
const maxFigureTime = 2 * time.Second

// countRefusedWithin returns how many jobs were refused in a span of time.
func (run *refusalRun) countRefusedWithin(from, until time.Time) int {
	count := 0
	for _, job := range run.refused {
		if !job.submittedAt.Before(from) && job.submittedAt.Before(until) {
			count++
		}
	}
	return count
}

// newRefusingRun returns a load of three times the capacity in whose last 3 s many jobs were refused.
func newRefusingRun(c *quicktest.C) *refusalRun {
	run := newRefusalRun(1, refusalTestMinions, 3, 4*time.Minute, planner.Features{GangReservations: true, EarlyRefusals: true})
	run.advance(90 * time.Second)
	for limit := run.now.Add(time.Minute); run.countRefusedWithin(run.now.Add(-3*time.Second), run.now) < 4; run.advance(100 * time.Millisecond) {
		c.Assert(run.now.Before(limit), quicktest.IsTrue)
	}
	return run
}

// TestNothingIsRefusedWithoutAHolder guards against refusals by the figures of a holder that has ended, and by
// those of a new one that does not know yet what runs. The rule must work again afterwards.
func TestNothingIsRefusedWithoutAHolder(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	run := newRefusingRun(c)
	run.addNode("n1")
	run.advance(time.Second)
	endedAt := run.now
	run.nodes[0].alive = false
	run.advance(4 * time.Second) // longer than a takeover usually takes
	run.makeHolder(run.nodes[1])
	for limit := run.now.Add(15 * time.Second); run.nodes[1].waitsComputed == 0; run.advance(20 * time.Millisecond) {
		c.Assert(run.now.Before(limit), quicktest.IsTrue)
	}
	computedAt := run.now
	c.Assert(computedAt.Sub(endedAt) > maxFigureTime, quicktest.IsTrue)
	run.advance(time.Minute)
	c.Check(run.countRefusedWithin(endedAt.Add(maxFigureTime), computedAt), quicktest.Equals, 0)
	c.Check(run.countRefusedWithin(computedAt, run.now) > 0, quicktest.IsTrue)
	c.Check(run.violations, quicktest.HasLen, 0)
}

// TestNothingIsRefusedWithoutTheStore guards against refusals by figures from before an outage of 5 s.
func TestNothingIsRefusedWithoutTheStore(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	run := newRefusingRun(c)
	downAt := run.now
	run.store.down = true
	run.advance(5 * time.Second)
	run.store.down = false
	upAt := run.now
	run.advance(time.Minute)
	c.Check(run.countRefusedWithin(downAt.Add(maxFigureTime), upAt), quicktest.Equals, 0)
	c.Check(run.countRefusedWithin(upAt, run.now) > 0, quicktest.IsTrue)
	c.Check(run.violations, quicktest.HasLen, 0)
}
