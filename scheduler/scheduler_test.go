package scheduler_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/messenger"
	"corianderroad/scheduler"
)

// TestJobRunsToItsOutcome guards against a break in the path from the accepted
// submission over the gang protocol to the outcome.
func TestJobRunsToItsOutcome(t *testing.T) {
	world := newWorld(t, 1)
	holder := world.addNode(scheduler.Parameters{})
	world.addWorkers(2, 4, 8)
	world.members(holder)
	world.submit(commander.JobSpec{Job: "draw", Workspace: "lawns", Shape: commander.Shape{
		Members: 4, Accelerators: 8, Adjacency: commander.SameRack,
	}}, behaviour{runTime: time.Minute})
	world.run(2 * time.Minute)
	quicktest.Assert(t, world.outcomes["draw"], quicktest.Equals, messenger.Outcome{Job: "draw", Code: classifier.OK})
	for _, worker := range world.workers {
		quicktest.Assert(t, worker.tasks, quicktest.HasLen, 0)
	}
}
