package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// TestRestartIsRecordedBesideBusyJobs guards against a task that waits for the record of
// its run number while jobs with lower IDs have new progress for each record. The store
// answers, but needs a second for each append.
func TestRestartIsRecordedBesideBusyJobs(t *testing.T) {
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(500 * time.Millisecond)
	var steps []specifier.Step
	for number := range 30 {
		step := specifier.Step{Tasks: 1, Request: taskOf(1000, 0), EstimatedRunTime: 500 * time.Millisecond}
		if number > 0 {
			step.DependsOn = []int{number - 1}
		}
		steps = append(steps, step)
	}
	for number := range 60 {
		simulation.submit(jobOf(fmt.Sprintf("b%02d", number), steps...))
	}
	simulation.submit(jobOf("z", specifier.Step{Tasks: 1, Request: taskOf(1000, 0), EstimatedRunTime: time.Second}))
	task := simulation.taskState(specifier.Task{Job: "z"})
	simulation.fails = func(run *fakeRun) bool { return run.task.Job == "z" && len(task.startedRuns) == 1 }
	for len(task.startedRuns) == 0 {
		simulation.advance(10 * time.Millisecond)
	}
	simulation.store.addedAppendTime = time.Second
	simulation.advance(8 * time.Second)
	c.Assert(task.startedRuns, quicktest.HasLen, 2, quicktest.Commentf("%s", simulation.decisionsAbout("z")))
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
