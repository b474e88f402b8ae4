package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestRunBelowRecordedNumberIsStopped guards against two runs of a task at the same
// time: a new holder adopts a run although the journal allows a later one, which may
// exist on a minion that has not reported.
func TestRunBelowRecordedNumberIsStopped(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
	simulation.advance(time.Second)
	task := specifier.Task{Job: "a"}
	earlier := simulation.runningOn(task)
	c.Assert(earlier, quicktest.IsNotNil)
	simulation.nodes[0].alive = false
	simulation.progress = append(simulation.progress, messenger.Progressed{Job: "a", Progress: specifier.Progress{
		State: specifier.Running, Restarts: []specifier.TaskRestart{{LatestRun: earlier.runs[task].number + 1}},
	}})
	simulation.advance(time.Second)
	simulation.makeHolder(simulation.nodes[1])
	simulation.advance(time.Second)
	c.Assert(simulation.taskState(task).running, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	simulation.advance(8 * time.Second)
	c.Assert(simulation.taskState(task).running, quicktest.HasLen, 1)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
