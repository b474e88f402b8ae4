package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestLateFailureWithoutQueueIsNotRecorded guards against the record of a last failure of
// a task that has been started again since, because no configuration has the job's queue
// and the holder does not know how many attempts it allows.
func TestLateFailureWithoutQueueIsNotRecorded(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	node := simulation.nodes[0]
	simulation.makeHolder(node)
	simulation.advance(500 * time.Millisecond)
	task := specifier.Task{Job: "a"}
	state := simulation.taskState(task)
	simulation.fails = func(*fakeRun) bool { return len(state.startedRuns) <= attempts }
	simulation.workTime = func(*fakeRun) time.Duration {
		if len(state.startedRuns) <= attempts {
			return time.Second
		}
		return time.Minute
	}
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Second}))
	for len(state.startedRuns) < attempts {
		simulation.advance(10 * time.Millisecond)
	}
	minion := simulation.runningOn(task)
	simulation.cutOff(true, minion.name) // the last attempt fails there unheard
	simulation.advance(10 * time.Second)
	c.Assert(state.startedRuns, quicktest.HasLen, attempts+1)
	simulation.step(node, messenger.PolicyRead{Policy: policyWithout(normalQueue, 2), SentAt: simulation.now})
	simulation.cutOff(false, minion.name)
	simulation.advance(5 * time.Second)
	simulation.checkAttempts()
	c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
}
