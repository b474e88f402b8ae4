package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// lateStartSeed is a seed with which the late start arrives before its lease ends.
const lateStartSeed = 1

// TestRefusedStartMayHaveArrivedBefore guards against a task that runs twice at a
// time because its first start was not answered, the repeated one was refused, and
// the minion carried out the first one later.
func TestRefusedStartMayHaveArrivedBefore(t *testing.T) {
	t.Parallel()
	for _, code := range []classifier.Code{classifier.MinionBusy, classifier.NoCapacity} {
		t.Run(code.Name(), func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(lateStartSeed, 1, 2)
			simulation.makeHolder(simulation.nodes[0])
			simulation.advance(time.Second)
			simulation.lateOrderShare = 1
			simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 10 * time.Second}))
			simulation.advance(500 * time.Millisecond)
			simulation.lateOrderShare = 0
			first := simulation.minions["m00"]
			first.faults.refuse = func(messenger.Order) classifier.Code { return code }
			simulation.advance(time.Second)
			first.faults.refuse = nil
			simulation.advance(10 * time.Second)
			c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
		})
	}
}
