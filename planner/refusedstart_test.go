package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestRefusedFirstStartNeedsNoRecord guards against a task that has certainly never been
// started and waits for the record of a run number, because a minion has refused its start.
func TestRefusedFirstStartNeedsNoRecord(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	refused := false
	for _, minion := range simulation.sortedMinions() {
		minion.faults.refuse = func(order messenger.Order) classifier.Code {
			if _, isStart := order.(messenger.StartRun); !isStart || refused {
				return classifier.OK
			}
			refused = true
			simulation.store.notDoneShare = 1 // the job is recorded as begun, later appends fail
			return classifier.MinionBusy
		}
	}
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
	simulation.advance(maxIdleTime)
	c.Assert(refused, quicktest.IsTrue)
	c.Assert(simulation.countWorking("a"), quicktest.Equals, 1, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
