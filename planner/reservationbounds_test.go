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
