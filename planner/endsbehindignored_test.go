package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// TestEndsBehindAnIgnoredEndAreHeard guards against a minion on which runs never end as
// far as the holder knows: one end there must not be acknowledged, so that the minion
// lists no end beyond the next 499.
func TestEndsBehindAnIgnoredEndAreHeard(t *testing.T) {
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(500 * time.Millisecond)
	minion := supersedeEnd(c, simulation, "a")
	for _, other := range simulation.sortedMinions() {
		other.unregistered = other != minion
	}
	simulation.deliverAllReports()
	simulation.submit(jobOf("b", specifier.Step{Tasks: 700, Request: taskOf(1000, 0), EstimatedRunTime: 200 * time.Millisecond}))
	simulation.advance(2 * time.Minute)
	c.Assert(simulation.recordedState("b"), quicktest.Equals, specifier.Completed, quicktest.Commentf("ends listed: %d", len(minion.ends)))
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
