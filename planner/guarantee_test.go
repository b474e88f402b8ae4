package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// startDelay returns how long after its submission a short job of priority 0
// for 8 accelerators starts while expensive work fills all minions, zero if it
// does not start. Its workspace is guaranteed the given accelerators.
func startDelay(c *quicktest.C, guaranteed int) time.Duration {
	simulation := newSimulation(1, 1, 2)
	newPolicy := testPolicy()
	newPolicy.Version = 2
	newPolicy.Workspaces = []specifier.Workspace{{Name: "w", Guaranteed: guaranteed}}
	simulation.step(simulation.nodes[0], messenger.PolicyRead{Policy: newPolicy, SentAt: simulation.now})
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("long", specifier.Step{Tasks: 2, Request: taskOf(2000, 8), EstimatedRunTime: 30 * time.Second}))
	simulation.advance(2 * time.Second)
	submittedAt := simulation.now
	simulation.submit(specifier.Job{
		ID: "short", Queue: urgentQueue, Workspace: "w",
		Steps: []specifier.Step{{Tasks: 1, Request: taskOf(2000, 8), EstimatedRunTime: 100 * time.Millisecond}},
	})
	for simulation.now.Sub(submittedAt) < 8*time.Second {
		simulation.advance(10 * time.Millisecond)
		if len(simulation.taskState(specifier.Task{Job: identifier.Job("short")}).startedRuns) > 0 {
			c.Assert(simulation.violations, quicktest.HasLen, 0)
			return simulation.now.Sub(submittedAt)
		}
	}
	return 0
}

// TestGuaranteedWorkStartsInTime guards against work within its workspace's
// guarantee that waits longer than the reclaim bound of 3 s because the work
// that it would stop is worth more.
func TestGuaranteedWorkStartsInTime(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	started := startDelay(c, 8)
	c.Assert(started > 0 && started <= 3*time.Second, quicktest.IsTrue, quicktest.Commentf("%s", started))
}

// TestWorkBeyondGuaranteeWaits guards against stopping expensive work for cheap
// work without a guarantee.
func TestWorkBeyondGuaranteeWaits(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	c.Assert(startDelay(c, 7), quicktest.Equals, time.Duration(0))
}
