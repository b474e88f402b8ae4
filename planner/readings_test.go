package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// TestEntryThatLapsedInAShortOutageEndsNoRun guards against a second run of a task whose minion has
// announced its departure and goes on beyond the announced time. Its entry lapses in an outage of the
// store that is shorter than maxReportAge, and connections to it are refused for a moment before
// the entry is back.
func TestEntryThatLapsedInAShortOutageEndsNoRun(t *testing.T) {
	t.Parallel()
	for _, outage := range []time.Duration{1700 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second} {
		c := quicktest.New(t)
		simulation := newEvictionSimulation(1, 2)
		simulation.onDecision = simulation.checkLostRun
		simulation.hidesProgress = true // the run might end in time, so that it is not stopped before
		simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 12 * time.Second}))
		simulation.advance(3 * time.Second)
		draining := simulation.sortedMinions()[0]
		draining.faults.draining, draining.faults.remaining = true, 100*time.Millisecond
		simulation.deliverAllReports()
		simulation.advance(500 * time.Millisecond)
		simulation.stopStore([]*fakeMinion{draining})
		simulation.advance(outage - 500*time.Millisecond)
		simulation.refuseConnections(draining, 1200*time.Millisecond)
		simulation.advance(500 * time.Millisecond)
		simulation.returnStore()
		simulation.advance(15 * time.Second)
		comment := quicktest.Commentf("outage of %s\n%s", outage, strings.Join(simulation.decisions, "\n"))
		c.Check(simulation.violations, quicktest.HasLen, 0, comment)
		c.Check(simulation.taskState(specifier.Task{Job: "a"}).startedRuns, quicktest.HasLen, 1, comment)
	}
}
