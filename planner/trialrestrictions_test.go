package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// TestTrialIgnoresFormerRestrictions guards against a trial that leaves room for a gang of lower
// priority, because the reservation that restricted the step before its minion crashed is over
// and another one has taken its place.
func TestTrialIgnoresFormerRestrictions(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newReservingSimulation(1, 1, 5, true)
	for _, minion := range simulation.sortedMinions()[:4] {
		minion.kind = "g"
	}
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(100 * time.Millisecond)
	occupied, gang := wholeMinions(1, time.Second), wholeMinionGang(4, 100*time.Millisecond)
	occupied.Label, gang.Label = "g", "g"
	simulation.submit(jobOf("occupied", occupied))
	simulation.advance(300 * time.Millisecond)
	simulation.submit(jobOf("first", gang))
	simulation.advance(300 * time.Millisecond)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
	simulation.advance(900 * time.Millisecond) // the gang has ended
	occupied.EstimatedRunTime = 30 * time.Second
	simulation.submit(jobOf("occupied-again", occupied))
	simulation.advance(300 * time.Millisecond)
	second := jobOf("second", gang)
	second.Queue = wideQueue
	simulation.submit(second)
	simulation.advance(300 * time.Millisecond)
	simulation.minions["m04"].crash()
	simulation.schedule(500*time.Millisecond, func() {
		minion := simulation.minions["m04"]
		minion.capacity = specifier.Resources{} // no task fits there
		simulation.restart(minion)
	})
	simulation.advance(2 * time.Second)
	started := simulation.taskState(specifier.Task{Job: "a"}).startedRuns
	c.Assert(started, quicktest.HasLen, 2, quicktest.Commentf("%s", simulation.decisionsAbout("")))
}
