package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// TestMaintenanceOfFormerHolderCounts guards against more VMs in maintenance at a time
// than a wave allows because a new holder begins that of one VM while the request of
// the former holder for another is still on its way.
func TestMaintenanceOfFormerHolderCounts(t *testing.T) {
	t.Parallel()
	for name, onTheWay := range map[string]time.Duration{"fast": 500 * time.Millisecond, "slow": 1400 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 2, 4)
			first, second := simulation.nodes[0], simulation.nodes[1]
			simulation.makeHolder(first)
			simulation.advance(time.Second)
			simulation.services.listDelay = 200 * time.Millisecond
			simulation.services.maintenanceDelay = func(node *node) time.Duration {
				if node == first {
					return onTheWay
				}
				return latency
			}
			simulation.requestWave(messenger.Wave{
				Wave: 1, VMs: []identifier.VM{"vm-m00", "vm-m01", "vm-m02"}, Duration: 25 * time.Second, MaxUnavailable: 1,
			})
			for simulation.services.maintenanceRequests == 0 {
				simulation.advance(time.Millisecond)
			}
			// The first holder stops and releases its claim. The second one starts a short
			// run on m00, so that another VM has less load when it lists the VMs.
			first.token = 0
			simulation.step(first, messenger.HolderChanged{})
			simulation.submit(jobOf("short", wholeMinions(1, 250*time.Millisecond)))
			simulation.makeHolder(second)
			simulation.advance(25 * time.Second)
			c.Assert(simulation.services.maxUnavailable, quicktest.Equals, 1)
			c.Assert(simulation.services.isCompleted(1), quicktest.IsTrue)
			c.Assert(simulation.services.maintained, quicktest.HasLen, 3)
		})
	}
}

// TestMaintenanceOfAnotherWaveDoesNotCount guards against a wave that is reported as
// completed because a list shows one of its VMs in the maintenance of another wave.
func TestMaintenanceOfAnotherWaveDoesNotCount(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(6 * time.Second)
	for wave := range identifier.Wave(2) {
		simulation.requestWave(messenger.Wave{Wave: wave + 1, VMs: []identifier.VM{"vm-m00"}, Duration: 20 * time.Second, MaxUnavailable: 1})
		simulation.advance(maintenanceTime / 2)
	}
	c.Assert(simulation.services.maintained, quicktest.HasLen, 1)
	simulation.advance(20 * time.Second)
	c.Assert(simulation.services.isCompleted(1), quicktest.IsTrue)
	c.Assert(simulation.services.isCompleted(2), quicktest.IsTrue)
	c.Assert(simulation.services.maintained, quicktest.HasLen, 2)
}
