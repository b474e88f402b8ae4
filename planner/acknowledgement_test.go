package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// TestEndsAreAcknowledgedOnIdleMinions guards against an end that stays listed on a minion
// without runs: its record is answered while a poll of the minion is pending, and no further
// poll is scheduled.
func TestEndsAreAcknowledgedOnIdleMinions(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 1)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 2 * time.Second}))
	simulation.advance(time.Second)
	simulation.store.addedAppendTime = 896 * time.Millisecond // about unrecordedPollDelay
	simulation.advance(20 * time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.minions["m00"].ends, quicktest.HasLen, 0)
}
