package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/querier"
)

// TestExplainBehindSupersededStart guards against capacity that is never expected to be free
// because a run has ended without an order to stop: the answer to its start was lost, and the
// minion refused the repetition after the run's end.
func TestExplainBehindSupersededStart(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 1)
	simulation.makeHolder(simulation.nodes[0])
	minion, starts := simulation.minions["m00"], 0
	minion.faults.delays = func(order messenger.Order) time.Duration {
		if _, isStart := order.(messenger.StartRun); isStart && starts == 0 {
			starts++
			return time.Millisecond
		}
		return 0
	}
	minion.faults.loses = func(order messenger.Order) bool {
		_, isPoll := order.(messenger.PollRuns)
		return isPoll && starts > 0
	}
	simulation.submit(jobOf("a", wholeMinions(1, 100*time.Millisecond)))
	simulation.submit(jobOf("b", wholeMinions(1, 10*time.Second)))
	simulation.advance(850 * time.Millisecond)
	step := simulation.waitingSteps(c, simulation.nodes[0], "b")[0]
	c.Assert(step.Basis, quicktest.Equals, querier.RoomFreeAt)
	wait := step.ExpectedStart.Sub(simulation.now)
	c.Assert(wait >= 0 && wait < time.Second, quicktest.IsTrue, quicktest.Commentf("%s", wait))
}
