package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// startShortTask starts a job with one task of 2 s and returns the minion that runs it.
func startShortTask(c *quicktest.C, simulation *simulation, job string) *fakeMinion {
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(500 * time.Millisecond)
	simulation.submit(jobOf(job, specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 2 * time.Second}))
	simulation.advance(500 * time.Millisecond)
	minion := simulation.runningOn(specifier.Task{Job: identifier.Job(job)})
	c.Assert(minion, quicktest.IsNotNil)
	return minion
}

// TestRunOnSilentMinionIsNotRepeated guards against work that is done and starts again
// elsewhere, because its minion was silent for longer than the lease although it was alive
// and listed in the store all the time.
func TestRunOnSilentMinionIsNotRepeated(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 2)
	minion := startShortTask(c, simulation, "a")
	simulation.setReachable(false, minion.name)
	simulation.advance(9 * time.Second)
	simulation.setReachable(true, minion.name)
	simulation.advance(3 * time.Second)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).startedRuns, quicktest.HasLen, 1)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
}

// TestRunOnLostMinionIsRepeated guards against work that waits for a minion that has left:
// its entry in the store has lapsed.
func TestRunOnLostMinionIsRepeated(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 2)
	minion := startShortTask(c, simulation, "a")
	minion.crash()
	minion.unregistered = true
	simulation.advance(4500 * time.Millisecond) // three heartbeats
	simulation.deliverAllReports()
	simulation.advance(5 * time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
}
