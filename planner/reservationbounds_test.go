package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestLongRunningTaskStartsBesideWaitingGangs guards against a long-running task that waits for
// as long as gangs have reservations, because it ends after each of them begins.
func TestLongRunningTaskStartsBesideWaitingGangs(t *testing.T) {
	t.Parallel()
	for _, reserves := range []bool{false, true} {
		t.Run(fmt.Sprint("reserves=", reserves), func(t *testing.T) {
			c := quicktest.New(t)
			const minions = 4
			simulation := newReservingSimulation(1, 1, minions, reserves)
			simulation.makeHolder(simulation.nodes[0])
			for number := range 60 {
				simulation.schedule(time.Duration(number)*time.Second, func() {
					simulation.submit(jobOf(fmt.Sprintf("g%02d", number), wholeMinionGang(minions, 2*time.Second)))
				})
			}
			simulation.advance(10 * time.Second)
			service := wholeMinions(1, time.Second)
			service.LongRunning = true
			simulation.submit(jobOf("service", service))
			waited, started := simulation.startOf("service", 20*time.Second)
			c.Assert(started && waited <= 5*time.Second, quicktest.IsTrue, quicktest.Commentf("%v %s", started, waited))
		})
	}
}

// TestReservationsOutliveOutdatedEvacuations guards against reservations, and the times that they
// promise, that are lost while the evacuations are not read in time.
func TestReservationsOutliveOutdatedEvacuations(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 0, 8)
	simulation.features.GangReservations = true
	simulation.addEvacuations(1)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(100 * time.Millisecond)
	simulation.occupy("z1", "busy", 20*time.Second)
	simulation.occupy("z0", "busy-too", 20*time.Second)
	simulation.advance(time.Second)
	simulation.submit(jobOf("gang", wholeMinionGang(4, time.Second)))
	simulation.advance(2 * time.Second)
	c.Assert(simulation.linesWith("gang reservation-made"), quicktest.HasLen, 1)
	simulation.operator.unreadableFrom[simulation.nodes[0]] = true
	simulation.advance(10 * time.Second)
	simulation.operator.unreadableFrom[simulation.nodes[0]] = false
	simulation.advance(time.Second)
	c.Assert(simulation.linesWith("gang reservation-given-up"), quicktest.HasLen, 0)
}

// TestNewHolderReservesAtOnce guards against a gang that has no reservation for seconds after a
// takeover, because its first plan saw only the minions that had answered by then.
func TestNewHolderReservesAtOnce(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newReservingSimulation(1, 2, 4, true)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(100 * time.Millisecond)
	simulation.submit(jobOf("occupied", wholeMinions(2, 6*time.Second)))
	simulation.advance(300 * time.Millisecond)
	simulation.submit(jobOf("gang", wholeMinionGang(4, time.Second)))
	simulation.advance(time.Second)
	c.Assert(simulation.linesWith("n0 gang reservation-made"), quicktest.HasLen, 1)
	simulation.nodes[0].alive = false
	simulation.makeHolder(simulation.nodes[1])
	simulation.advance(time.Second)
	c.Assert(simulation.linesWith("n1 gang reservation-made"), quicktest.HasLen, 1)
}
