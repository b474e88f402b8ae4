package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestAdoptedRunKeepsTheFormerLease guards against a new holder that takes the runs
// on a minion for expired because it has sent no lease itself yet. The lease of the
// former holder still lasts, so that the tasks would run twice at the same time.
func TestAdoptedRunKeepsTheFormerLease(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 2)
	first, second := simulation.nodes[0], simulation.nodes[1]
	simulation.workTime = func(run *fakeRun) time.Duration {
		if run.task.Job == "failing" {
			return 1500 * time.Millisecond
		}
		return time.Minute
	}
	simulation.fails = func(run *fakeRun) bool { return run.task.Job == "failing" }
	simulation.makeHolder(first)
	simulation.advance(time.Second)
	small := specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}
	for _, id := range []string{"kept", "cancelled", "failing"} {
		simulation.submit(jobOf(id, small))
	}
	simulation.advance(time.Second)
	minion := simulation.minions["m00"]
	c.Assert(minion.runs, quicktest.HasLen, 3)
	first.alive = false
	simulation.cancel("cancelled")
	simulation.advance(time.Second)
	// The store answers no record at first, so that the end of the failed run delays the
	// next poll. The minion answers the first poll alone.
	simulation.lostRecordAnswerShare = 1
	simulation.schedule(time.Second, func() { simulation.lostRecordAnswerShare = 0 })
	// Its entry lapses then, because it is cut off.
	simulation.schedule(3*time.Second, func() {
		minion.unregistered = true
		simulation.deliverAllReports()
	})
	polls := 0
	minion.faults.loses = func(order messenger.Order) bool {
		if _, isPoll := order.(messenger.PollRuns); isPoll {
			polls++
			return polls > 1
		}
		return true
	}
	simulation.makeHolder(second)
	simulation.advance(10 * time.Second)
	c.Assert(polls > 1, quicktest.IsTrue)
	c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("kept.")))
	c.Assert(simulation.taskState(specifier.Task{Job: "kept"}).startedRuns, quicktest.HasLen, 2)
}
