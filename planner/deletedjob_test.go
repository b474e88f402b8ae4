package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// supersedeEnd runs a job with one task and makes its first run end where the holder does
// not hear of it, so that the task is started again elsewhere. It returns the minion that
// lists the end of the first run, which must not be acknowledged.
func supersedeEnd(c *quicktest.C, simulation *simulation, id string) *fakeMinion {
	simulation.submit(jobOf(id, specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 2 * time.Second}))
	simulation.advance(500 * time.Millisecond)
	task := specifier.Task{Job: identifier.Job(id)}
	state := simulation.taskState(task)
	minion := simulation.runningOn(task)
	simulation.cutOff(true, minion.name)
	simulation.advance(12 * time.Second)
	c.Assert(state.startedRuns, quicktest.HasLen, 2)
	simulation.cutOff(false, minion.name)
	simulation.advance(5 * time.Second)
	c.Assert(minion.ends, quicktest.HasLen, 1)
	return minion
}

// TestIgnoredEndOutlivesItsJob guards against an end that must not be acknowledged, because
// its task was started again, and that is acknowledged once the job has been deleted and
// another holder does not know it any more.
func TestIgnoredEndOutlivesItsJob(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(500 * time.Millisecond)
	minion := supersedeEnd(c, simulation, "a")
	simulation.advance(time.Hour + 5*time.Second) // the state of the job expires
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	simulation.nodes[0].alive = false
	simulation.advance(claimTimeout)
	simulation.makeHolder(simulation.nodes[1])
	simulation.submit(jobOf("b", wholeMinions(2, time.Second)))
	simulation.advance(10 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(minion.ends, quicktest.Not(quicktest.HasLen), 0)
}

// TestIgnoredEndOutlivesTheProgressOfItsJob guards against the same after the progress of
// the ended job has expired: the next holder knows the job, but not the numbers of its runs.
func TestIgnoredEndOutlivesTheProgressOfItsJob(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(500 * time.Millisecond)
	minion := supersedeEnd(c, simulation, "a")
	simulation.advance(20 * time.Second)
	c.Assert(isDeletion(simulation.progress[len(simulation.progress)-1]), quicktest.IsTrue)
	simulation.nodes[0].alive = false
	simulation.advance(claimTimeout)
	simulation.makeHolder(simulation.nodes[1])
	simulation.submit(jobOf("b", wholeMinions(2, time.Second)))
	simulation.advance(10 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(minion.ends, quicktest.Not(quicktest.HasLen), 0)
}
