package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// TestRefusedReportOfWaveIsRepeatedAfterDelay guards against a holder that repeats a
// refused report of a wave as fast as the store refuses it.
func TestRefusedReportOfWaveIsRepeatedAfterDelay(t *testing.T) {
	t.Parallel()
	const refusal = 2 * time.Second
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	reports := 0
	until := simulation.now.Add(10*time.Second + refusal)
	simulation.services.refuseReport = func() bool {
		reports++
		return simulation.now.Before(until)
	}
	simulation.requestWave(messenger.Wave{Wave: 1, VMs: []identifier.VM{"vm-m00"}, Duration: 20 * time.Second, MaxUnavailable: 1})
	for reports == 0 {
		simulation.advance(10 * time.Millisecond)
	}
	until = simulation.now.Add(refusal)
	simulation.advance(refusal + time.Second)
	c.Assert(simulation.services.isCompleted(1), quicktest.IsTrue)
	c.Assert(reports <= 20, quicktest.IsTrue, quicktest.Commentf("%d reports in %v", reports, refusal))
}
