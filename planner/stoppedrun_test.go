package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestRunBelowRecordedNumberEndsBeforeTheNext guards against two runs of a task at the
// same time: a new holder stops a run because a later one may exist, renews its lease
// meanwhile, and starts the task once the former leases have expired, although the stop
// has not been carried out.
func TestRunBelowRecordedNumberEndsBeforeTheNext(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
	simulation.advance(time.Second)
	task := specifier.Task{Job: "a"}
	earlier := simulation.runningOn(task)
	simulation.nodes[0].alive = false
	simulation.progress = append(simulation.progress, messenger.Progressed{Job: "a", Progress: specifier.Progress{
		State: specifier.Running, Restarts: []specifier.TaskRestart{{LatestRun: earlier.runs[task].number + 1}},
	}})
	earlier.faults.loses = func(order messenger.Order) bool {
		_, isStop := order.(messenger.StopRun)
		return isStop
	}
	simulation.advance(time.Second)
	simulation.makeHolder(simulation.nodes[1])
	simulation.advance(10 * time.Second)
	earlier.faults.loses = nil
	simulation.advance(10 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.taskState(task).running, quicktest.HasLen, 1)
}
