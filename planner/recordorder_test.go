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
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(500 * time.Millisecond)
	simulation.submitBusyJobs(60)
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

// TestEndsAreAcknowledgedBesideBusyJobs guards against ends that are never acknowledged,
// because more jobs have new progress all the time than one record holds.
func TestEndsAreAcknowledgedBesideBusyJobs(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(500 * time.Millisecond)
	simulation.submitBusyJobs(120)
	simulation.advance(time.Second)
	simulation.store.addedAppendTime = time.Second
	simulation.advance(10 * time.Second)
	before := simulation.acknowledgedEnds()
	simulation.advance(5 * time.Second)
	c.Assert(simulation.acknowledgedEnds() > before, quicktest.IsTrue)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// acknowledgedEnds returns the number of ends that minions have discarded.
func (simulation *simulation) acknowledgedEnds() uint64 {
	acknowledged := uint64(0)
	for _, minion := range simulation.minions {
		acknowledged += minion.lastEnd - uint64(len(minion.ends))
	}
	return acknowledged
}

// submitBusyJobs submits more jobs than one record holds. Each has new progress for about
// every record.
func (simulation *simulation) submitBusyJobs(count int) {
	var steps []specifier.Step
	for number := range 30 {
		step := specifier.Step{Tasks: 1, Request: taskOf(1000, 0), EstimatedRunTime: 500 * time.Millisecond}
		if number > 0 {
			step.DependsOn = []int{number - 1}
		}
		steps = append(steps, step)
	}
	for number := range count {
		simulation.submit(jobOf(fmt.Sprintf("b%03d", number), steps...))
	}
}
