package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/querier"
	"corianderroad/specifier"
)

// newFullPool returns a simulation whose pool is full of tasks of priority 2, with a gang
// that has a reservation.
func newFullPool(c *quicktest.C, nodes int) *simulation {
	simulation := newReservingSimulation(1, nodes, 8, true)
	simulation.makeHolder(simulation.nodes[0])
	simulation.fill(8, time.Minute)
	simulation.advance(15 * time.Second)
	simulation.submit(jobOf("gang", wholeMinionGang(4, 3*time.Second)))
	simulation.advance(time.Second)
	c.Assert(simulation.hasDecision("gang reservation-made"), quicktest.IsTrue)
	return simulation
}

// assertGangStarts checks that the gang starts within a time from now, and ends.
func (simulation *simulation) assertGangStarts(c *quicktest.C, limit time.Duration) {
	waited, started := simulation.startOf("gang", limit)
	c.Assert(started, quicktest.IsTrue, quicktest.Commentf("%s", simulation.decisionsAbout("gang")))
	c.Logf("started after %s", waited)
	simulation.advance(10 * time.Second)
	c.Assert(simulation.recordedState("gang"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// takeoverTime is the time until a new holder knows what runs after a takeover.
const takeoverTime = maxLease + 2*time.Second

// TestReservationIsPlannedAnewAfterTakeover guards against a gang that waits without bound
// because its reservation was in the memory of a holder that has died.
func TestReservationIsPlannedAnewAfterTakeover(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newFullPool(c, 2)
	simulation.nodes[0].alive = false
	simulation.makeHolder(simulation.nodes[1])
	simulation.assertGangStarts(c, takeoverTime+maxGangWait)
	c.Assert(simulation.hasDecision("n1 gang reservation-met"), quicktest.IsTrue)
}

// TestReservationOutlivesItsMinions guards against a reservation on minions that have died or
// are leaving, which would never be met and hold room on the others.
func TestReservationOutlivesItsMinions(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]func(simulation *simulation, minion *fakeMinion){
		"die": func(_ *simulation, minion *fakeMinion) {
			minion.crash()
			minion.unregistered = true
		},
		"drain": func(_ *simulation, minion *fakeMinion) {
			minion.faults.draining, minion.faults.remaining = true, time.Minute
		},
		"shrink": func(_ *simulation, minion *fakeMinion) { minion.capacity.Accelerators = 4 },
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			givenUp := 0
			for _, half := range [][]identifier.Minion{{"m00", "m01", "m02", "m03"}, {"m04", "m05", "m06", "m07"}} {
				simulation := newFullPool(c, 1)
				for _, minion := range half {
					fail(simulation, simulation.minions[minion])
				}
				simulation.deliverAllReports()
				simulation.assertGangStarts(c, takeoverTime+maxGangWait)
				if simulation.hasDecision("gang reservation-given-up: minion-gone") {
					givenUp++
				}
			}
			c.Assert(givenUp > 0, quicktest.IsTrue) // the reservation was on one of the halves
		})
	}
}

// TestReservationOfACancelledGangHoldsNoRoom guards against room that is held for a gang
// that will never start.
func TestReservationOfACancelledGangHoldsNoRoom(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newFullPool(c, 1)
	simulation.cancel("gang")
	simulation.advance(time.Second)
	c.Assert(simulation.hasDecision("gang reservation-given-up: step-gone"), quicktest.IsTrue)
	c.Assert(simulation.reservationGauge(0), quicktest.Equals, 0.0)
}

// TestExplainNamesGangReservation guards against a start that seems unknown, or as early as the
// first capacity, although the gang has a reservation.
func TestExplainNamesGangReservation(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newFullPool(c, 1)
	step := simulation.waitingSteps(c, simulation.nodes[0], "gang")[0]
	c.Assert(step.Basis, quicktest.Equals, querier.Reservation)
	expected := step.ExpectedStart.Sub(simulation.now)
	waited, started := simulation.startOf("gang", maxGangWait)
	c.Assert(started && (waited-expected).Abs() < 2*time.Second, quicktest.IsTrue, quicktest.Commentf("%s instead of %s", waited, expected))
}

// reservationGauge returns the number of reservations that a node shows.
func (simulation *simulation) reservationGauge(node int) float64 {
	answer := simulation.nodes[node].planner.View(simulation.now, querier.Query{Kind: querier.Status})
	for _, gauge := range answer.Gauges {
		if gauge.Name == "gang-reservations" {
			return gauge.Value
		}
	}
	return -1
}
