package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestFrozenHolderRenewsNoLease guards against a former holder that renews the leases on
// its minions at the moment when it continues after a suspension, before it can know that
// another node has claimed. The new holder does not know one of the minions, and waits
// only for the leases from before its claim.
func TestFrozenHolderRenewsNoLease(t *testing.T) {
	t.Parallel()
	const suspension = 3200 * time.Millisecond // shorter than a lease
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 2)
	first, second := simulation.nodes[0], simulation.nodes[1]
	simulation.makeHolder(first)
	simulation.advance(time.Second)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
	simulation.advance(time.Second)
	minion := simulation.minions["m00"]
	c.Assert(minion.runs, quicktest.HasLen, 1)
	first.token, first.frozen = 0, true
	minion.unregistered = true
	simulation.schedule(claimTimeout, func() { simulation.makeHolder(second) })
	simulation.schedule(suspension, func() { simulation.thaw(first) })
	simulation.schedule(suspension+100*time.Millisecond, func() { simulation.step(first, messenger.HolderChanged{}) })
	simulation.advance(20 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).startedRuns, quicktest.HasLen, 2)
}

// TestHolderContinuesAfterSuspension guards against a holder that renews no lease any more
// after a suspension in which no other node has claimed.
func TestHolderContinuesAfterSuspension(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 2)
	node := simulation.nodes[0]
	simulation.makeHolder(node)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 10 * time.Second}))
	simulation.advance(2 * time.Second)
	node.frozen = true
	simulation.schedule(2*time.Second, func() { simulation.thaw(node) })
	simulation.advance(15 * time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).startedRuns, quicktest.HasLen, 1)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
