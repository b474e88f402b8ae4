package planner_test

import (
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// newCutOffHolder returns a simulation with two nodes whose first one, the holder, has just
// been cut off from the store, but not from the minions. It has started a job on each of
// two minions. The entry of the one with job a, which is returned, is gone, so that the
// second node does not know it.
func newCutOffHolder(c *quicktest.C, minions int) (simulation *simulation, first, second *node, unlisted *fakeMinion) {
	simulation = newSimulation(1, 2, minions)
	first, second = simulation.nodes[0], simulation.nodes[1]
	simulation.makeHolder(first)
	simulation.advance(500 * time.Millisecond)
	for _, id := range []string{"a", "b"} {
		simulation.submit(jobOf(id, wholeMinions(1, 2*time.Minute)))
	}
	simulation.advance(time.Second)
	unlisted = simulation.runningOn(specifier.Task{Job: "a"})
	c.Assert(unlisted, quicktest.IsNotNil)
	first.token = 0
	simulation.store.unreachableFrom[first] = true
	unlisted.unregistered = true
	return simulation, first, second, unlisted
}
