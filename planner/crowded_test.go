package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// maxCrowdedWait is how long a long-running task may have nothing running, however
// full the pool is, if there is room for it twice over.
const maxCrowdedWait = 7 * time.Second

// TestLongRunningTaskLeavesDataRackInCrowdedPool guards against a long-running task
// that waits for ever for its full data rack while another rack is idle.
func TestLongRunningTaskLeavesDataRackInCrowdedPool(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 12) // three racks of four
	simulation.makeHolder(simulation.nodes[0])
	setDraining := func(draining bool) {
		for _, name := range []identifier.Minion{"m00", "m01", "m02", "m03"} {
			simulation.minions[name].faults.draining = draining
		}
		simulation.deliverAllReports()
	}
	setDraining(true)
	simulation.submit(jobOf("filler", wholeMinions(8, time.Hour))) // fills the racks r-1 and r-2
	simulation.advance(2 * time.Second)
	setDraining(false)
	simulation.advance(time.Second)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(4000, 1), LongRunning: true, DataRack: "r-1"}))
	simulation.advance(maxCrowdedWait)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).running, quicktest.HasLen, 1, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
}

// TestLongRunningTaskUsesQuarantinedMinionInCrowdedPool guards against a long-running
// task that has nothing running while the only room of a crowded pool is on minions
// that another job's failures put in quarantine.
func TestLongRunningTaskUsesQuarantinedMinionInCrowdedPool(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 12)
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("filler", wholeMinions(8, time.Hour)))
	simulation.advance(2 * time.Second)
	simulation.fails = func(run *fakeRun) bool { return run.task.Job != "filler" }
	for _, id := range []string{"bad0", "bad1", "bad2", "bad3"} { // each doubles the quarantine
		simulation.submit(jobOf(id, wholeMinions(4, 100*time.Millisecond)))
		simulation.advance(10 * time.Second)
	}
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(4000, 1), LongRunning: true}))
	simulation.advance(maxCrowdedWait)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).running, quicktest.HasLen, 1, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
}
