package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// newMixedLoad returns a simulation in which a backfill task works at full speed beside a
// serving task, and its run.
func newMixedLoad(c *quicktest.C) (*simulation, *fakeRun) {
	simulation := newSimulation(1, 2, 1)
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("serving", specifier.Step{Tasks: 1, Request: taskOf(8000, 1), LongRunning: true, LatencyTarget: 200 * time.Millisecond}))
	simulation.submit(jobOf("backfill", specifier.Step{Tasks: 1, Request: taskOf(16000, 1), EstimatedRunTime: time.Minute, Backfill: true}))
	simulation.advance(3 * time.Second)
	run := simulation.minions["m00"].runs[specifier.Task{Job: "backfill"}]
	c.Assert(run.pacePercent, quicktest.Equals, 100)
	return simulation, run
}

// TestPaceOfAdoptedRunIsUnknown guards against a new holder that takes a backfill run for
// paused although it works at full speed, and so does not pause it while the serving task
// beside it is over its latency target.
func TestPaceOfAdoptedRunIsUnknown(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation, run := newMixedLoad(c)
	simulation.nodes[0].alive = false
	simulation.minions["m00"].faults.addedLatency = 100
	simulation.makeHolder(simulation.nodes[1])
	simulation.advance(2 * time.Second)
	c.Assert(run.ended, quicktest.IsFalse)
	c.Assert(run.pacePercent, quicktest.Equals, 0)
}

// TestLostPaceIsRepeated guards against a backfill run that works on beside a serving task
// over its latency target because the order to pause it did not arrive.
func TestLostPaceIsRepeated(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation, run := newMixedLoad(c)
	minion := simulation.minions["m00"]
	lost := 0
	minion.faults.loses = func(order messenger.Order) bool {
		_, isPace := order.(messenger.PaceRun)
		if isPace {
			lost++
		}
		return isPace && lost == 1
	}
	minion.faults.addedLatency = 100
	simulation.advance(4 * time.Second)
	c.Assert(lost > 0, quicktest.IsTrue)
	c.Assert(run.pacePercent, quicktest.Equals, 0)
}
