package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// TestEndsAreAcknowledgedWhileAMinionIsSilent guards against a minion that answers
// nothing, though it stays registered, and so keeps the ends of all minions with a run
// of the former holder from being recorded for ever.
func TestEndsAreAcknowledgedWhileAMinionIsSilent(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 4)
	first, second := simulation.nodes[0], simulation.nodes[1]
	simulation.makeHolder(first)
	simulation.advance(time.Second)
	simulation.submit(jobOf("a", wholeMinions(3, 2*time.Second)))
	simulation.advance(time.Second)
	first.alive = false
	simulation.minions["m03"].unreachableFrom[second] = true
	simulation.advance(2 * time.Second) // the runs end between the two holders
	simulation.makeHolder(second)
	simulation.advance(10 * time.Second)
	simulation.submit(jobOf("b", specifier.Step{Tasks: 60, Request: taskOf(2000, 1), EstimatedRunTime: time.Second}))
	simulation.advance(30 * time.Second)
	c.Assert(simulation.recordedState("b"), quicktest.Equals, specifier.Completed)
	unacknowledged := 0
	for _, minion := range simulation.sortedMinions() {
		unacknowledged += len(minion.ends)
	}
	c.Assert(unacknowledged, quicktest.Equals, 0, quicktest.Commentf("ends of 63"))
}
