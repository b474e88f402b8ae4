package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// shortTask is a task of which eight fit on a minion.
func shortTask(runTime time.Duration) specifier.Step {
	return specifier.Step{Tasks: 1, Request: specifier.Resources{MilliCPU: 2800, MemoryMB: 6000, Accelerators: 1}, EstimatedRunTime: runTime}
}

// lateStepStarts returns how long after its submission the second step of a job starts, which
// needs a whole minion and is late because of the first one. Small steps of its priority that
// can be on time are more than the minions can run.
func lateStepStarts(reserves bool) (time.Duration, bool) {
	const minions, limit = 4, time.Minute
	simulation := newReservingSimulation(1, 1, minions, reserves)
	simulation.workTime = func(run *fakeRun) time.Duration {
		if run.task.Job == "late" && run.task.Step == 0 {
			return 12 * time.Second
		}
		return run.spec.EstimatedRunTime * time.Duration(75+run.number%51) / 100 // so that few end at a time
	}
	simulation.makeHolder(simulation.nodes[0])
	second := wholeMinions(1, time.Second)
	second.DependsOn = []int{0}
	simulation.submit(jobOf("late", shortTask(time.Second), second))
	submittedAt := simulation.now
	interval := time.Second * 10 / (8 * minions * 15)
	for number := range int(limit / interval) {
		simulation.schedule(time.Second+time.Duration(number)*interval, func() {
			simulation.submit(jobOf(fmt.Sprintf("j%05d", number), shortTask(time.Second)))
		})
	}
	for simulation.now.Sub(submittedAt) < limit {
		simulation.advance(20 * time.Millisecond)
		if len(simulation.taskState(specifier.Task{Job: "late", Step: 1}).startedRuns) > 0 {
			return simulation.now.Sub(submittedAt), true
		}
	}
	return 0, false
}

// TestLateStepStartsBesideTimelyOnes guards against a late step with a large task that waits
// for as long as there are small steps of its priority that can be on time. Its job's
// objective is 7 s, so that the step is aged after 21 s.
func TestLateStepStartsBesideTimelyOnes(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	waited, started := lateStepStarts(true)
	c.Assert(started && waited < 24*time.Second, quicktest.IsTrue, quicktest.Commentf("%v %s", started, waited))
	_, started = lateStepStarts(false)
	c.Assert(started, quicktest.IsFalse) // otherwise the load is no test of the rule
}
