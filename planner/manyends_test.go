package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// TestEndBeyondTheListIsNotLost guards against a run that counts as lost because its
// minion lists only so many ends at a time, and the end of the run is not among them.
// The task would be started again after its end.
func TestEndBeyondTheListIsNotLost(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 1)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 700, Request: taskOf(1000, 0), EstimatedRunTime: 200 * time.Millisecond}))
	simulation.advance(200 * time.Millisecond)
	simulation.lostRecordAnswerShare = 1 // no end is acknowledged
	simulation.advance(25 * time.Second)
	simulation.lostRecordAnswerShare = 0
	simulation.advance(15 * time.Second)
	for index := range 700 {
		task := simulation.taskState(specifier.Task{Job: "a", Index: index})
		c.Assert(task.startedRuns, quicktest.HasLen, 1)
	}
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
