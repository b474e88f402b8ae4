package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestLateStartOfEndedRunIsStopped guards against a run that starts after its recorded end: the
// first attempt to start it is carried out late, by the next incarnation of its minion, after
// the second attempt has run and its end was acknowledged.
func TestLateStartOfEndedRunIsStopped(t *testing.T) {
	t.Parallel()
	for name, restarts := range map[string]int{"restart": 1, "two-restarts": 2} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, 1)
			simulation.makeHolder(simulation.nodes[0])
			simulation.advance(time.Second)
			minion := simulation.minions["m00"]
			simulation.lateOrderShare = 1
			simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 200 * time.Millisecond}))
			simulation.advance(300 * time.Millisecond)
			simulation.lateOrderShare = 0
			simulation.advance(1200 * time.Millisecond)
			c.Assert(simulation.taskState(specifier.Task{Job: "a"}).endRecorded, quicktest.IsTrue)
			for range restarts {
				minion.crash()
				minion.start()
				stops := 0
				minion.faults.loses = func(order messenger.Order) bool { // the first stop is lost
					if _, isStop := order.(messenger.StopRun); isStop {
						stops++
					}
					return stops == 1
				}
				simulation.deliverAllReports()
				simulation.advance(1200 * time.Millisecond)
			}
			simulation.advance(10 * time.Second)
			c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
			simulation.submit(jobOf("b", wholeMinions(1, time.Second)))
			simulation.advance(3 * time.Second)
			c.Assert(simulation.recordedState("b"), quicktest.Equals, specifier.Completed)
		})
	}
}
