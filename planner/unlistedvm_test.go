package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// TestWaveWaitsForVMMissingInOneList guards against a wave that is reported as
// completed because one list of VMs lacks a VM that stays and has not had its
// maintenance.
func TestWaveWaitsForVMMissingInOneList(t *testing.T) {
	t.Parallel()
	for name, vms := range map[string][]identifier.VM{"one of two": {"vm-m00", "vm-m01"}, "the only one": {"vm-m01"}} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, 4)
			simulation.makeHolder(simulation.nodes[0])
			simulation.advance(time.Second)
			simulation.services.omits = func(vm identifier.VM) bool { return vm == "vm-m01" && simulation.services.lists == 1 }
			simulation.requestWave(messenger.Wave{Wave: 1, VMs: vms, Duration: 20 * time.Second, MaxUnavailable: 2})
			for !simulation.services.isCompleted(1) && simulation.now.Before(time.Unix(1_000_030, 0)) {
				simulation.advance(10 * time.Millisecond)
			}
			c.Assert(simulation.services.isCompleted(1), quicktest.IsTrue)
			c.Assert(simulation.services.maintained, quicktest.HasLen, len(vms))
			c.Assert(simulation.violations, quicktest.HasLen, 0)
		})
	}
}

// TestWaveEndsWithoutVMThatHasLeft guards against a wave that never ends because one
// of its VMs has left the pools.
func TestWaveEndsWithoutVMThatHasLeft(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.services.omits = func(vm identifier.VM) bool { return vm == "vm-m01" }
	simulation.requestWave(messenger.Wave{Wave: 1, VMs: []identifier.VM{"vm-m00", "vm-m01"}, Duration: 20 * time.Second, MaxUnavailable: 2})
	simulation.advance(20 * time.Second)
	c.Assert(simulation.services.isCompleted(1), quicktest.IsTrue)
	c.Assert(simulation.services.maintained, quicktest.DeepEquals, []identifier.VM{"vm-m00"})
}

// TestVMMissingInOneListKeepsItsRuns guards against maintenance of a VM that is not empty
// yet, because one list lacks the VM and so does not name its minion.
func TestVMMissingInOneListKeepsItsRuns(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(6 * time.Second) // no former holder matters any more
	simulation.submit(jobOf("a", wholeMinions(1, 4*time.Second)))
	simulation.advance(time.Second)
	simulation.services.omits = func(vm identifier.VM) bool { return vm == "vm-m00" && simulation.services.lists == 2 }
	simulation.requestWave(messenger.Wave{Wave: 1, VMs: []identifier.VM{"vm-m00"}, Duration: 20 * time.Second, MaxUnavailable: 1})
	simulation.advance(20 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	c.Assert(simulation.services.isCompleted(1), quicktest.IsTrue)
}
