package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestMaintenanceWaitsForUnknownRuns guards against maintenance of a VM whose minion
// has not reported its runs to a new holder. The holder knows of no run there, and
// the maintenance would end all of them.
func TestMaintenanceWaitsForUnknownRuns(t *testing.T) {
	t.Parallel()
	for name, hide := range map[string]func(*fakeMinion, *node){
		"not listed":      func(minion *fakeMinion, _ *node) { minion.unregistered = true },
		"does not answer": func(minion *fakeMinion, node *node) { minion.unreachableFrom[node] = true },
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 2, 4)
			first, second := simulation.nodes[0], simulation.nodes[1]
			simulation.makeHolder(first)
			simulation.advance(40 * time.Second) // lives that began lately may have longer leases
			simulation.submit(jobOf("a", specifier.Step{Tasks: 2, Request: taskOf(30000, 8), LongRunning: true, MaxUnavailable: 1}))
			simulation.advance(time.Second)
			minion := simulation.minions["m00"]
			c.Assert(minion.runs, quicktest.HasLen, 1)
			first.alive = false
			hide(minion, second)
			simulation.makeHolder(second)
			simulation.requestWave(messenger.Wave{Wave: 1, VMs: []identifier.VM{"vm-m00"}, Duration: 20 * time.Second, MaxUnavailable: 1})
			// A lease later the run has expired, and the VM may have its maintenance.
			simulation.advance(15 * time.Second)
			c.Assert(simulation.violations, quicktest.HasLen, 0)
			c.Assert(simulation.services.isCompleted(1), quicktest.IsTrue)
		})
	}
}
