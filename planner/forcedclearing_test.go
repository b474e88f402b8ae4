package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestLateWaveKeepsTasksAvailable guards against a wave that is about to be late and
// stops a long-running task while as many others of its step are away as may be.
func TestLateWaveKeepsTasksAvailable(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 3)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf("lasting", specifier.Step{Tasks: 2, Request: taskOf(30000, 8), LongRunning: true, MaxUnavailable: 1}))
	simulation.advance(time.Second)
	simulation.submit(jobOf("filler", wholeMinions(1, time.Hour)))
	simulation.advance(time.Second)
	kept, lost := simulation.minions["m00"], simulation.minions["m01"]
	c.Assert(kept.runs, quicktest.HasLen, 1)
	lost.crash()
	lost.unregistered = true
	simulation.deliverAllReports()
	simulation.advance(leaseTime + time.Second) // the holder knows that the task is away
	simulation.requestWave(messenger.Wave{Wave: 1, VMs: []identifier.VM{"vm-m00"}, Duration: 12 * time.Second, MaxUnavailable: 1})
	simulation.advance(15 * time.Second)
	c.Assert(kept.runs, quicktest.HasLen, 1, quicktest.Commentf("%s", simulation.decisionsAbout("lasting.")))
	c.Assert(simulation.services.maintained, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("lasting.")))
	// Once the other task is at work again, the wave goes on.
	simulation.cancel("filler")
	simulation.advance(10 * time.Second)
	c.Assert(simulation.services.isCompleted(1), quicktest.IsTrue)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
