package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestTombstoneCancelsALateSubmission guards against a job that runs although its cancellation
// was acknowledged before its append was carried out, against tombstones that stay in the
// journal, and against one that goes before the end of its job is there.
func TestTombstoneCancelsALateSubmission(t *testing.T) {
	t.Parallel()
	for name, takesOver := range map[string]bool{"same-holder": false, "next-holder": true} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 2, 2)
			simulation.makeHolder(simulation.nodes[0])
			simulation.advance(time.Second)
			tombstone := messenger.Tombstone{Job: "a"}
			simulation.appendEntry(tombstone)
			simulation.advance(6 * time.Second)
			if takesOver {
				simulation.nodes[0].alive = false
				simulation.makeHolder(simulation.nodes[1])
				simulation.advance(time.Second)
			}
			simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Second}))
			simulation.submit(jobOf("b", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Second}))
			simulation.advance(10 * time.Second)
			c.Assert(simulation.taskState(specifier.Task{Job: "a"}).startedRuns, quicktest.HasLen, 0)
			c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Cancelled)
			c.Assert(simulation.recordedState("b"), quicktest.Equals, specifier.Completed)
			simulation.advance(messenger.MaxAppendDelay)
			c.Assert(simulation.journal[len(simulation.journal)-1], quicktest.Equals, messenger.JournalEntry(messenger.TombstoneDeleted{Tombstone: tombstone}))
			simulation.submit(jobOf("c", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Second}))
			simulation.advance(5 * time.Second)
			c.Assert(simulation.recordedState("c"), quicktest.Equals, specifier.Completed)
		})
	}
}
