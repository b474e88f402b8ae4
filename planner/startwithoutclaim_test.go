package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestStartIsNotRepeatedWithoutClaim guards against a holder that repeats a start, with a
// new lease, when its claim is no longer valid. The lease can last longer than a new holder
// waits from its claim on.
func TestStartIsNotRepeatedWithoutClaim(t *testing.T) {
	t.Parallel()
	const claimValidity = 1100 * time.Millisecond
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 1)
	node := simulation.nodes[0]
	simulation.makeHolder(node)
	simulation.advance(8 * time.Second)
	renewedAt := simulation.now
	node.token = 0 // its renewals end without its knowledge
	var lastStart time.Time
	simulation.minions["m00"].faults.loses = func(order messenger.Order) bool {
		_, isStart := order.(messenger.StartRun)
		if isStart {
			lastStart = simulation.now
		}
		return isStart
	}
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
	simulation.advance(5 * time.Second)
	c.Assert(lastStart.IsZero(), quicktest.IsFalse)
	c.Assert(lastStart.Sub(renewedAt) <= claimValidity, quicktest.IsTrue, quicktest.Commentf("%s", lastStart.Sub(renewedAt)))
}
