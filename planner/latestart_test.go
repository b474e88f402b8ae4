package planner_test

import (
	"fmt"
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

// delayFirstStart lets a minion carry out the first order to start a run after the given time and
// without an answer. The order is also carried out by a next life of the minion.
func delayFirstStart(minion *fakeMinion, delay time.Duration) {
	starts := 0
	minion.faults.delays = func(order messenger.Order) time.Duration {
		if !isStart(order) || starts > 0 {
			return 0
		}
		starts++
		return delay
	}
}

// TestLateStartAfterRestartOfIdleMinionIsRefused guards against a run that starts after its recorded
// end: its minion restarts while it is idle and its entry is not written, so that no poll noticed.
func TestLateStartAfterRestartOfIdleMinionIsRefused(t *testing.T) {
	t.Parallel()
	for restarts, crashes := range map[int][]time.Duration{
		1: {2 * time.Second, 3300 * time.Millisecond, 4500 * time.Millisecond},
		2: {2 * time.Second, 3300 * time.Millisecond},
	} {
		for _, crashAt := range crashes {
			t.Run(fmt.Sprintf("%d-%s", restarts, crashAt), func(t *testing.T) {
				c := quicktest.New(t)
				simulation := newSimulation(1, 1, 1)
				simulation.makeHolder(simulation.nodes[0])
				simulation.advance(time.Second)
				minion := simulation.minions["m00"]
				delayFirstStart(minion, 6*time.Second)
				simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 200 * time.Millisecond}))
				simulation.advance(crashAt)
				c.Assert(simulation.taskState(specifier.Task{Job: "a"}).endRecorded, quicktest.IsTrue)
				entry := minion.report()
				minion.formerEntry = &entry
				for range restarts {
					minion.crash()
					simulation.advance(300 * time.Millisecond)
					minion.start()
					simulation.advance(400 * time.Millisecond)
				}
				simulation.advance(10 * time.Second)
				c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
			})
		}
	}
}
