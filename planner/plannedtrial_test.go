package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// hasLostRun reports whether the holder has given up a run of a task on a minion since a decision.
func (simulation *simulation) hasLostRun(since int, task specifier.Task) bool {
	for _, decision := range simulation.decisions[since:] {
		if strings.Contains(decision, task.String()+" run-lost") {
			return true
		}
	}
	return false
}

// TestPlannedTrialOfGivenUpTaskDoesNotStart guards against a task that is started once more
// (BUDGET) although its fourth crash is known: its trial was planned after the lease of its run
// had expired, and before the next life of the minion showed the crash.
func TestPlannedTrialOfGivenUpTaskDoesNotStart(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 8)
	simulation.jobsCrash(string(lastingJob), 0)
	simulation.crashing.downTime = time.Second
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf(string(lastingJob), lastingStep(1)))
	task := specifier.Task{Job: lastingJob}
	const crashes = 4
	for simulation.crashing.crashes < crashes-1 {
		simulation.advance(time.Millisecond)
	}
	simulation.advance(500 * time.Millisecond)
	simulation.crashing.downTime = time.Hour
	for simulation.crashing.crashes < crashes {
		simulation.advance(time.Millisecond)
	}
	crashed := simulation.deadMinion()
	entry := crashed.report()
	crashed.formerEntry = &entry // the entry outlives the lease
	known := len(simulation.decisions)
	for until := simulation.now.Add(20 * time.Second); simulation.now.Before(until) && !simulation.hasLostRun(known, task); {
		simulation.advance(time.Millisecond)
	}
	c.Assert(simulation.hasLostRun(known, task), quicktest.IsTrue, quicktest.Commentf("%s", simulation.decisionsAbout("lasting")))
	crashed.formerEntry = nil
	simulation.bringBack(crashed)
	simulation.advance(30 * time.Second)
	comment := quicktest.Commentf("%s", simulation.decisionsAbout("lasting"))
	c.Check(simulation.crashing.crashes, quicktest.Equals, crashes, comment)
	c.Check(simulation.violations, quicktest.HasLen, 0)
	c.Assert(simulation.recordedState(lastingJob), quicktest.Equals, specifier.Failed, comment)
}

// deadMinion returns a minion that has crashed and is not back, nil if there is none.
func (simulation *simulation) deadMinion() *fakeMinion {
	for _, minion := range simulation.sortedMinions() {
		if !minion.alive && minion.replacedBy == nil {
			return minion
		}
	}
	return nil
}
