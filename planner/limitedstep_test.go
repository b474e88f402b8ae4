package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// fillKind submits tasks of priority 1 for one accelerator of the minions of a kind from now on,
// more than one minion can run.
func (simulation *simulation) fillKind(kind string, runTime, span time.Duration) {
	step := shortTask(runTime)
	step.Label = kind
	interval := runTime * 10 / (8 * 13)
	for number := range int(span / interval) {
		simulation.schedule(time.Duration(number)*interval, func() { simulation.submit(jobOf(fmt.Sprintf("%s%05d", kind, number), step)) })
	}
}

// TestReservationIsWhereTheStepMayRun guards against a reservation for an aged step on a minion
// that already runs as many of its tasks as are allowed there, so that the step never starts.
func TestReservationIsWhereTheStepMayRun(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newReservingSimulation(1, 1, 2, true)
	simulation.workTime = func(run *fakeRun) time.Duration {
		if run.task.Job == "limited" {
			return 2 * time.Minute
		}
		return run.spec.EstimatedRunTime * time.Duration(75+run.number%51) / 100
	}
	for index, minion := range simulation.sortedMinions() {
		minion.kind = fmt.Sprint("kind", index)
	}
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(100 * time.Millisecond)
	simulation.fillKind("kind1", 4*time.Second, 90*time.Second)
	simulation.advance(8 * time.Second)
	simulation.submit(jobOf("limited", specifier.Step{Tasks: 2, Request: taskOf(12000, 4), EstimatedRunTime: time.Second, MaxPerMinion: 1}))
	simulation.advance(100 * time.Millisecond)
	simulation.fillKind("kind0", time.Second, 80*time.Second) // has room for the second task first
	simulation.advance(45 * time.Second)
	for index, name := range []identifier.Minion{"m00", "m01"} {
		c.Assert(simulation.taskState(specifier.Task{Job: "limited", Index: index}).startedRuns, quicktest.HasLen, 1,
			quicktest.Commentf("%s: %s", name, simulation.decisionsAbout("limited")))
	}
}
