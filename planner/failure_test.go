package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// TestFailedJobTellsItsFailedRuns guards against a caller, and an operator, who can't tell which
// task ended a job as failed, and by which runs.
func TestFailedJobTellsItsFailedRuns(t *testing.T) {
	t.Parallel()
	for name, gang := range map[string]bool{"plain": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, 8)
			simulation.fails = func(run *fakeRun) bool { return gang || run.task.Index == 1 }
			simulation.makeHolder(simulation.nodes[0])
			step := smallStep(3, time.Second)
			step.Gang = gang
			simulation.submit(jobOf("bad", step))
			simulation.advance(time.Minute)
			c.Assert(simulation.recordedState("bad"), quicktest.Equals, specifier.Failed)
			c.Assert(simulation.recordedReason("bad"), quicktest.Matches,
				`a task has used all its attempts: (bad\.0\.0\.[0-2] in run [0-9]+( and [0-9]+)*(, )?)+`)
		})
	}
}
