package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// lastingJob is the job of a lastingStep.
const lastingJob = identifier.Job("lasting")

// lastingStep returns a step of tasks that last, of which 60 fit on a minion.
func lastingStep(tasks int) specifier.Step {
	return specifier.Step{Tasks: tasks, Request: taskOf(500, 0), EstimatedRunTime: time.Second, LongRunning: true}
}

// TestCrashingTasksThatLastAreGivenUp guards against tasks that last and crash minion after
// minion (BUDGET) because others of their step hide them, or because trials end too early to
// show it, whether one of the step does so, two do or all.
func TestCrashingTasksThatLastAreGivenUp(t *testing.T) {
	t.Parallel()
	scenes := []struct{ tasks, crashing int }{{1, 1}, {4, 1}, {4, 2}, {4, 4}, {60, 1}, {60, 2}, {60, 60}}
	for _, delay := range append([]time.Duration{1800 * time.Millisecond}, crashDelays...) {
		for _, scene := range scenes {
			for _, takeovers := range []bool{false, true} {
				t.Run(fmt.Sprintf("delay=%s,tasks=%d,crashing=%d,takeovers=%t", delay, scene.tasks, scene.crashing, takeovers), func(t *testing.T) {
					checkCrashingLastingStep(t, delay, scene.tasks, scene.crashing, takeovers)
				})
			}
		}
	}
}

// checkCrashingLastingStep checks that the job of a step is given up of which some tasks, spread
// evenly, crash their minions, and how many minions it costs.
func checkCrashingLastingStep(t *testing.T, delay time.Duration, tasks, crashing int, takeovers bool) {
	const changes = 4
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 8)
	simulation.jobsCrash(string(lastingJob), delay)
	simulation.crashing.contains = func(task specifier.Task) bool { return (tasks-1-task.Index)%(tasks/crashing) == 0 }
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf(string(lastingJob), lastingStep(tasks)))
	for round := range changes {
		if takeovers {
			simulation.schedule(time.Duration(round+1)*7*time.Second, func() { simulation.changeHolder(round%2, 1-round%2) })
		}
	}
	begin := simulation.now
	for simulation.recordedState(lastingJob) != specifier.Failed && simulation.now.Sub(begin) < 10*time.Minute {
		simulation.advance(100 * time.Millisecond)
	}
	t.Logf("%d crashes, %s, %s", simulation.crashing.crashes, simulation.now.Sub(begin), simulation.recordedReason(lastingJob))
	c.Check(simulation.violations, quicktest.HasLen, 0)
	c.Check(simulation.crashing.crashes <= maxLastingCrashes(tasks, crashing), quicktest.IsTrue)
	c.Assert(simulation.recordedState(lastingJob), quicktest.Equals, specifier.Failed)
}

// maxLastingCrashes returns how many minions a step may cost: as many as one job with a crashing
// task if all its tasks do the same, or for each that does.
func maxLastingCrashes(tasks, crashing int) int {
	if crashing == tasks {
		return maxCrashesPerJob
	}
	return crashing * maxCrashesPerJob
}
