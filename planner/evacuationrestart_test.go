package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// TestRunThatWouldWaitForItsRackIsNotMoved guards against a run that is stopped for an
// evacuation, and then waits for the rack of its data instead of using the capacity for which
// it was stopped.
func TestRunThatWouldWaitForItsRackIsNotMoved(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvacuationSimulation(1, 1, 12)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(100 * time.Millisecond)
	simulation.occupy("z1", "busy", time.Minute)
	near := wholeMinions(2, time.Minute)
	near.DataRack, near.Checkpoints = "r-1", true
	simulation.submit(jobOf("near", near))
	simulation.advance(4 * time.Second)
	c.Assert(simulation.runningIn("z0", "near"), quicktest.Equals, 2)
	simulation.evacuate("z0", true)
	simulation.advance(5 * time.Second)
	c.Assert(simulation.runningIn("z0", "near")+simulation.runningIn("z2", "near"), quicktest.Equals, 2)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestSameRackGangLeavesForAnotherRack guards against a gang that must stay together and is not
// moved, because one of its members is on a rack that does not hold all of them.
func TestSameRackGangLeavesForAnotherRack(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvacuationSimulation(1, 1, 12)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(100 * time.Millisecond)
	simulation.occupy("z2", "busy", 4*time.Second)
	simulation.minions["m00"].unregistered, simulation.minions["m05"].unregistered = true, true
	simulation.deliverAllReports()
	gang := wholeMinions(4, time.Minute)
	gang.Gang, gang.SameRack, gang.Checkpoints = true, true, true
	simulation.submit(jobOf("a", gang))
	simulation.advance(3 * time.Second)
	c.Assert(simulation.runningIn("z0", "a"), quicktest.Equals, 3)
	c.Assert(simulation.runningIn("z1", "a"), quicktest.Equals, 1)
	simulation.evacuate("z0", true)
	simulation.advance(5 * time.Second)
	c.Assert(simulation.runningIn("z2", "a"), quicktest.Equals, 4)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestCapacityOfLaterMovedRunStaysReserved guards against a run that is stopped for an
// evacuation and finds its capacity taken, because another run of its step has ended and
// started again earlier.
func TestCapacityOfLaterMovedRunStaysReserved(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newOccupiedSimulation(500 * time.Millisecond)
	step := wholeMinions(2, time.Minute)
	step.Checkpoints = true
	simulation.submit(jobOf("a", step))
	simulation.advance(2 * time.Second)
	c.Assert(simulation.runningIn("z0", "a"), quicktest.Equals, 2)
	simulation.minions["m01"].faults.delay = 150 * time.Millisecond
	simulation.evacuate("z0", true)
	for simulation.runningIn("z1", "a") == 0 {
		simulation.advance(time.Millisecond)
	}
	simulation.submit(jobOf("b", wholeMinions(4, 30*time.Second)))
	simulation.advance(2 * time.Second)
	c.Assert(simulation.runningIn("z1", "a"), quicktest.Equals, 2)
	c.Assert(simulation.runningIn("z1", "b"), quicktest.Equals, 2)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestGangWithLimitPerMinionIsMoved guards against a gang that is not moved because its own
// members, which end with it, count against the limit of its tasks per minion.
func TestGangWithLimitPerMinionIsMoved(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newOccupiedSimulation(time.Second)
	gang := specifier.Step{
		Tasks: 4, Request: taskOf(10000, 1), EstimatedRunTime: time.Minute, Gang: true, Checkpoints: true, MaxPerMinion: 1,
	}
	simulation.minions["m00"].unregistered = true
	simulation.deliverAllReports()
	simulation.submit(jobOf("a", gang))
	simulation.advance(3 * time.Second)
	c.Assert(simulation.runningIn("z0", "a"), quicktest.Equals, 3)
	c.Assert(simulation.runningIn("z1", "a"), quicktest.Equals, 1)
	simulation.evacuate("z0", true)
	simulation.advance(3 * time.Second)
	c.Assert(simulation.runningIn("z1", "a"), quicktest.Equals, 4)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestWaitingStepsComeBeforeMoves guards against a move that takes capacity from a step that has
// waited for it, because a run has ended since the last pass.
func TestWaitingStepsComeBeforeMoves(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newOccupiedSimulation(3 * time.Second)
	step := wholeMinions(4, time.Hour)
	step.Checkpoints = true
	simulation.submit(jobOf("a", step))
	simulation.advance(time.Second)
	for number := range 700 { // so many that a pass is not due with each end of a run
		simulation.submit(jobOf(fmt.Sprintf("w%03d", number), wholeMinions(1, 300*time.Millisecond)))
	}
	simulation.evacuate("z0", true)
	simulation.advance(20 * time.Second)
	c.Assert(simulation.linesWith("rule=evacuation"), quicktest.HasLen, 0)
	c.Assert(simulation.runningIn("z0", "a"), quicktest.Equals, 4)
}

// TestMovedRunsKeepTheirCapacityUntilTheyAreRecorded guards against runs that are stopped for an
// evacuation and find their capacity taken, because the store needs longer for the record of
// their next start than the reservation lasts.
func TestMovedRunsKeepTheirCapacityUntilTheyAreRecorded(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newOccupiedSimulation(500 * time.Millisecond)
	step := wholeMinions(4, time.Minute)
	step.Checkpoints = true
	simulation.submit(jobOf("a", step))
	simulation.advance(2 * time.Second)
	simulation.store.addedAppendTime = 2 * time.Second
	for number := range 12 {
		simulation.schedule(time.Duration(number)*400*time.Millisecond, func() {
			simulation.submit(jobOf(fmt.Sprintf("b%d", number), wholeMinions(1, time.Second)))
		})
	}
	simulation.evacuate("z0", true)
	simulation.advance(4500 * time.Millisecond) // two records, one after the other
	c.Assert(simulation.runningIn("z1", "a"), quicktest.Equals, 4)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestMoveLeavesRoomReservedForGang guards against a run that is stopped for an evacuation, and
// then may not use the capacity elsewhere because it is reserved for a gang that waits.
func TestMoveLeavesRoomReservedForGang(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 0, 8)
	simulation.features.GangReservations = true
	simulation.addEvacuations(1)
	simulation.workTime = func(run *fakeRun) time.Duration {
		if run.minion.name == "m04" {
			return 4 * time.Second
		}
		return run.spec.EstimatedRunTime
	}
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(100 * time.Millisecond)
	simulation.occupy("z1", "busy", 10*time.Second)
	step := wholeMinions(1, time.Hour)
	step.Checkpoints = true
	simulation.submit(jobOf("a", step))
	simulation.advance(time.Second)
	simulation.evacuate("z0", true)
	simulation.advance(100 * time.Millisecond)
	gang := wholeMinions(4, time.Second)
	gang.Gang = true
	simulation.submit(jobOf("gang", gang))
	simulation.advance(2 * time.Second)
	c.Assert(simulation.linesWith("gang reservation-made"), quicktest.HasLen, 1)
	simulation.advance(4 * time.Second)
	c.Assert(simulation.runningIn("z0", "a"), quicktest.Equals, 1)
	simulation.advance(5 * time.Second)
	c.Assert(simulation.runningIn("z1", "a"), quicktest.Equals, 1)
	c.Assert(simulation.recordedState("gang"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
