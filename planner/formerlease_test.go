package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// TestFormerHolderMayRenewUntilMinionsAreFenced guards against two runs of a task at the
// same time: a new holder counts the leases of the former one from its claim, although
// the former one, cut off from the store, renews them until a minion that the new one
// has polled refuses its token.
func TestFormerHolderMayRenewUntilMinionsAreFenced(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 3)
	first, second := simulation.nodes[0], simulation.nodes[1]
	simulation.makeHolder(first)
	simulation.advance(500 * time.Millisecond)
	simulation.submit(jobOf("a", wholeMinions(1, time.Minute)))
	simulation.submit(jobOf("b", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 2 * time.Minute}))
	simulation.advance(2 * time.Second)
	task := specifier.Task{Job: "a"}
	minion := simulation.runningOn(task)
	c.Assert(simulation.runningOn(specifier.Task{Job: "b"}), quicktest.Not(quicktest.Equals), minion)

	first.token = 0
	simulation.store.unreachableFrom[first] = true
	minion.unregistered = true
	simulation.advance(claimTimeout)
	simulation.store.notDoneShare = 1 // the fence of the journal is delayed
	simulation.makeHolder(second)
	simulation.advance(2 * time.Second)
	simulation.store.endLosses()
	simulation.advance(10 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.taskState(task).running, quicktest.HasLen, 1)
}
