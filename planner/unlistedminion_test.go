package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// runningOn returns the minion that runs a task, nil if none does.
func (simulation *simulation) runningOn(task specifier.Task) *fakeMinion {
	for run := range simulation.taskState(task).running {
		return run.minion
	}
	return nil
}

// TestEndOfEarlierRunDoesNotRestartTask guards against two runs of a task at the same
// time: a new holder hears the end of an earlier run and starts the task, while its
// latest run continues on a minion that is missing in the list of minions.
func TestEndOfEarlierRunDoesNotRestartTask(t *testing.T) {
	t.Parallel()
	for name, storeFails := range map[string]bool{"restart-recorded": false, "store-unavailable": true} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 2, 4)
			first, second := simulation.nodes[0], simulation.nodes[1]
			task := specifier.Task{Job: "a"}
			state := simulation.taskState(task)
			simulation.workTime = func(*fakeRun) time.Duration {
				if len(state.startedRuns) <= 1 {
					return time.Second
				}
				return 20 * time.Second
			}
			simulation.fails = func(*fakeRun) bool { return len(state.startedRuns) == 1 }
			simulation.makeHolder(first)
			simulation.advance(500 * time.Millisecond)
			simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
			simulation.advance(500 * time.Millisecond)
			earlier := simulation.runningOn(task)
			if storeFails {
				simulation.store.notDoneShare = 1
			}
			// The first run fails. Its minion never hears that the end is recorded.
			earlier.faults.loses = func(order messenger.Order) bool { return acknowledgesEnds(order) }
			simulation.advance(1200 * time.Millisecond)

			first.alive = false
			if latest := simulation.runningOn(task); latest != nil {
				latest.unregistered = true
				simulation.schedule(2*time.Second, func() {
					latest.unregistered = false
					simulation.deliverAllReports()
				})
			}
			earlier.faults.loses = nil
			simulation.store.endLosses()
			simulation.makeHolder(second)
			simulation.advance(8 * time.Second)
			c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
			c.Assert(state.running, quicktest.HasLen, 1)
			simulation.advance(20 * time.Second)
			c.Assert(simulation.violations, quicktest.HasLen, 0)
			c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
		})
	}
}

// acknowledgesEnds reports whether an order lets its minion discard ends.
func acknowledgesEnds(order messenger.Order) bool {
	poll, ok := order.(messenger.PollRuns)
	return ok && poll.AcknowledgedEnd > 0
}
