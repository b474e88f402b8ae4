package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestConfirmationOfAnotherStartEndsNoRunOfTheNextLife guards against a run that counts as ended with the life of its
// minion although its start is still on its way to the next life: the answer that confirmed it was that of another
// order. The task would start elsewhere while the next life carries the start out.
func TestConfirmationOfAnotherStartEndsNoRunOfTheNextLife(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	var restarted *fakeMinion
	for _, minion := range simulation.sortedMinions() {
		minion.faults = confirmationsOfOthers(func(order messenger.Order) time.Duration {
			if !isSecondTask(order) || restarted != nil {
				return 0
			}
			restarted = minion
			return 900 * time.Millisecond
		})
	}
	// The first task is on a minion of its own, so that the job has begun and only the second one is affected.
	simulation.submit(jobOf("a", specifier.Step{Tasks: 2, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute, MaxPerMinion: 1}))
	for restarted == nil {
		simulation.advance(time.Millisecond)
	}
	simulation.advance(100 * time.Millisecond)
	restarted.crash()
	restarted.start()
	restarted.faults.loses = func(messenger.Order) bool { return true }
	simulation.schedule(time.Second, func() { restarted.faults.loses = nil })
	simulation.deliverAllReports()
	simulation.advance(10 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.countWorking("a"), quicktest.Equals, 2, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
}
