package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// TestTaskLeavesMinionThatRefusesConnections guards against a task that waits for the
// end of a lease although its start was certainly never sent.
func TestTaskLeavesMinionThatRefusesConnections(t *testing.T) {
	t.Parallel()
	const maxIdle = 3 * time.Second // for which nothing of a job may run although there is room
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.minions["m00"].faults.refusesConnections = true
	simulation.submit(jobOf("a", wholeMinions(1, time.Minute)))
	simulation.advance(maxIdle)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).running, quicktest.HasLen, 1, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
}
