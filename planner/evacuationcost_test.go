package planner_test

import (
	"fmt"
	"testing"
	"time"

	"corianderroad/specifier"
)

// BenchmarkEvacuationWithoutCapacity measures the planner's time beside 352 minions and 1,056
// runs with checkpoints in six domains, of which one is evacuated and has no capacity elsewhere.
func BenchmarkEvacuationWithoutCapacity(b *testing.B) {
	for _, evacuates := range []bool{false, true} {
		b.Run(fmt.Sprint("evacuates=", evacuates), func(b *testing.B) {
			simulation := newEvacuationSimulation(1, 1, 352)
			for _, minion := range simulation.sortedMinions() {
				minion.rack /= 15
			}
			simulation.makeHolder(simulation.nodes[0])
			simulation.advance(time.Second)
			for index := range 1056 {
				step := specifier.Step{Tasks: 1, Request: taskOf(9000, 2), EstimatedRunTime: time.Hour, Checkpoints: true}
				simulation.submit(jobOf(fmt.Sprintf("j%d", index), step))
			}
			simulation.advance(30 * time.Second)
			if evacuates {
				simulation.evacuate("z0", true)
			}
			simulation.advance(time.Second)
			node, spent := simulation.nodes[0], time.Duration(0)
			for b.Loop() {
				before := node.stepTime
				simulation.advance(10 * time.Second)
				spent += node.stepTime - before
			}
			b.ReportMetric(float64(spent.Microseconds())/1000/10/float64(b.N), "ms/simulated-s")
		})
	}
}
