package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestOtherClockDeletesNoJob guards against a job that is deleted, and unknown to its caller,
// right after it has ended: the holder that ended it had a clock that was behind that of the
// next holder by more than the time for which states stay readable.
func TestOtherClockDeletesNoJob(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(500 * time.Millisecond)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Second}))
	simulation.store.unreachableFrom[simulation.nodes[1]] = true
	simulation.advance(5 * time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	for index, entry := range simulation.journal {
		if progressed, ok := entry.(messenger.Progressed); ok && progressed.Progress.State.IsFinal() {
			progressed.Progress.EndedAt = progressed.Progress.EndedAt.Add(-2 * time.Hour)
			simulation.journal[index] = progressed
		}
	}
	delete(simulation.store.unreachableFrom, simulation.nodes[1])
	simulation.deliverJournal(simulation.nodes[1])
	simulation.nodes[0].alive = false
	simulation.advance(claimTimeout)
	simulation.makeHolder(simulation.nodes[1])
	simulation.advance(time.Minute)
	_, isDeleted := simulation.journal[len(simulation.journal)-1].(messenger.Deleted)
	c.Assert(isDeleted, quicktest.IsFalse)
}
