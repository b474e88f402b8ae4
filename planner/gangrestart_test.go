package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestEndOfEarlierGangDoesNotRestartGang guards against two runs of a gang at the same time:
// a new holder hears the ends of its earlier run, while the latest one continues on minions
// that are missing in the list of minions.
func TestEndOfEarlierGangDoesNotRestartGang(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 9)
	first, second := simulation.nodes[0], simulation.nodes[1]
	state := simulation.taskState(specifier.Task{Job: "a"})
	simulation.workTime = func(*fakeRun) time.Duration {
		if len(state.startedRuns) <= 1 {
			return time.Second
		}
		return 12 * time.Second
	}
	simulation.fails = func(*fakeRun) bool { return len(state.startedRuns) == 1 }
	simulation.makeHolder(first)
	simulation.advance(500 * time.Millisecond)
	gang := wholeMinions(3, time.Minute)
	gang.Gang = true
	simulation.submit(jobOf("a", gang))
	simulation.advance(500 * time.Millisecond)
	var earlier []*fakeMinion
	for index := range 3 { // the next run gets other minions, and these ends stay listed
		minion := simulation.runningOn(specifier.Task{Job: "a", Index: index})
		minion.faults.loses = func(order messenger.Order) bool { return acknowledgesEnds(order) }
		minion.unregistered = true
		earlier = append(earlier, minion)
	}
	simulation.deliverAllReports()
	simulation.advance(1500 * time.Millisecond)
	c.Assert(state.running, quicktest.HasLen, 1)
	first.alive = false
	for index := range 3 {
		latest := simulation.runningOn(specifier.Task{Job: "a", Index: index})
		latest.unregistered = true
		simulation.schedule(2500*time.Millisecond, func() {
			latest.unregistered = false
			simulation.deliverAllReports()
		})
	}
	for _, minion := range earlier {
		minion.unregistered, minion.faults.loses = false, nil
	}
	simulation.makeHolder(second)
	simulation.advance(30 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
}
