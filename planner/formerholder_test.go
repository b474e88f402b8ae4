package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestFormerHolderWithoutStoreEndsItsLeases guards against a former holder that can't
// reach the store and renews the leases on a minion that the new holder does not know,
// for longer than the new holder waits before it starts the tasks again.
func TestFormerHolderWithoutStoreEndsItsLeases(t *testing.T) {
	t.Parallel()
	for name, learnsAfter := range map[string]time.Duration{"reads late": 2 * time.Second, "cut off": 12 * time.Second} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 2, 2)
			first, second := simulation.nodes[0], simulation.nodes[1]
			simulation.makeHolder(first)
			simulation.advance(time.Second)
			simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
			simulation.advance(time.Second)
			minion := simulation.minions["m00"]
			c.Assert(minion.runs, quicktest.HasLen, 1)
			first.token = 0 // its renewals end without its knowledge
			minion.unregistered = true
			simulation.advance(claimTimeout)
			simulation.makeHolder(second)
			simulation.schedule(learnsAfter, func() { simulation.step(first, messenger.HolderChanged{}) })
			simulation.advance(20 * time.Second)
			c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
		})
	}
}
