package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// longestLease is the longest lease that a holder gives, by the minion's clock. A new
// holder waits for no longer one to expire.
const longestLease = 4500 * time.Millisecond

// TestUnconfirmedStartDoesNotMoveToNextIncarnation guards against a start that the
// holder repeats at the next incarnation of a minion. That one may be of another kind,
// and the start carried a longer lease than a new holder expects.
func TestUnconfirmedStartDoesNotMoveToNextIncarnation(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.minions["m01"].kind = "b"
	simulation.deliverAllReports()
	simulation.advance(time.Second)
	minion := simulation.minions["m00"]
	minion.faults.loses = func(order messenger.Order) bool {
		_, isStart := order.(messenger.StartRun)
		return isStart
	}
	step := specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute, Label: "a"}
	simulation.submit(jobOf("a", step))
	simulation.advance(500 * time.Millisecond)
	minion.crash()
	minion.start()
	minion.kind, minion.faults.loses = "b", nil
	simulation.deliverAllReports()
	simulation.advance(500 * time.Millisecond)
	c.Assert(len(minion.runs), quicktest.Equals, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	// The task starts on the next minion of its kind. No run there has a long lease.
	minion.crash()
	minion.start()
	minion.kind = "a"
	simulation.deliverAllReports()
	for range 30 {
		simulation.advance(100 * time.Millisecond)
		c.Assert(minion.lease-minion.clock() <= longestLease, quicktest.IsTrue, quicktest.Commentf("%s", minion.lease-minion.clock()))
	}
	c.Assert(simulation.countWorking("a"), quicktest.Equals, 1)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestLeaseAfterRestartIsNotLonger guards against a holder that gives the runs on a
// restarted minion a longer lease than a new holder waits for, because a start to the
// earlier incarnation may still arrive.
func TestLeaseAfterRestartIsNotLonger(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 1)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	minion := simulation.minions["m00"]
	minion.faults.loses = func(order messenger.Order) bool {
		_, isStart := order.(messenger.StartRun)
		return isStart
	}
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
	simulation.advance(500 * time.Millisecond)
	minion.crash()
	minion.start()
	minion.faults.loses = nil
	simulation.deliverAllReports()
	for range 30 {
		simulation.advance(100 * time.Millisecond)
		c.Assert(minion.lease-minion.clock() <= longestLease, quicktest.IsTrue, quicktest.Commentf("%s", minion.lease-minion.clock()))
	}
	c.Assert(simulation.countWorking(identifier.Job("a")), quicktest.Equals, 1)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
