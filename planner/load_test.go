package planner_test

import (
	"fmt"
	"testing"
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// benchmarkTime is the virtual time of one run of the benchmarks.
const benchmarkTime = 30 * time.Second

// benchmarkJob returns a job of the mix in the users' deployments: wide gangs
// on one rack, narrow urgent gangs, and many small tasks.
func benchmarkJob(simulation *simulation, number int) specifier.Job {
	accelerators := []int{1, 2, 4, 8, 8}[simulation.random.IntN(5)]
	width := 1 + simulation.random.IntN(9)
	job := specifier.Job{ID: identifier.Job(fmt.Sprintf("j%05d", number))}
	switch simulation.random.IntN(7) {
	case 0:
		job.Queue = normalQueue
		job.Steps = []specifier.Step{{
			Tasks: 2 * width, Request: specifier.Resources{MilliCPU: 13000, MemoryMB: 30000, Accelerators: accelerators},
			EstimatedRunTime: 5800 * time.Millisecond, Gang: true, SameRack: width <= 4,
		}}
	case 1:
		job.Queue = normalQueue
		job.Steps = []specifier.Step{{
			Tasks: 8 * width, Request: specifier.Resources{MilliCPU: 2800, MemoryMB: 6000, Accelerators: 1},
			EstimatedRunTime: 6 * time.Second, Checkpoints: simulation.random.IntN(2) == 0,
		}}
	default:
		job.Queue = urgentQueue
		job.Steps = []specifier.Step{{
			Tasks: width, Request: specifier.Resources{MilliCPU: 3700, MemoryMB: 6000, Accelerators: accelerators},
			EstimatedRunTime: 2100 * time.Millisecond, Gang: true, SameRack: simulation.random.IntN(5) > 0,
		}}
	}
	return job
}

// BenchmarkLoadedFleet measures the decisions of a holder whose minions are
// nearly all in use, and of one with twice the work that its minions can do.
// The time includes the simulated minions.
func BenchmarkLoadedFleet(b *testing.B) { benchmarkLoadedFleet(b, false) }

// BenchmarkLoadedFleetWithReservations measures the same with reservations.
func BenchmarkLoadedFleetWithReservations(b *testing.B) { benchmarkLoadedFleet(b, true) }

func benchmarkLoadedFleet(b *testing.B, reserves bool) {
	b.Helper()
	for _, minions := range []int{48, 350, 1000} {
		for _, load := range []float64{0.8, 2} {
			b.Run(fmt.Sprintf("minions=%d/load=%v", minions, load), func(b *testing.B) {
				for b.Loop() {
					measureDecisions(b, minions, load, reserves)
				}
			})
		}
	}
}

// jobsPerMinion is how many jobs of benchmarkJob per second use a minion fully.
const jobsPerMinion = 0.07

func measureDecisions(b *testing.B, minions int, load float64, reserves bool) {
	b.Helper()
	simulation := newReservingSimulation(1, 1, minions, reserves)
	simulation.makeHolder(simulation.nodes[0])
	count := int(float64(minions) * jobsPerMinion * load * benchmarkTime.Seconds())
	for number := range count {
		simulation.schedule(time.Duration(number)*benchmarkTime/time.Duration(count), func() { simulation.submit(benchmarkJob(simulation, number)) })
	}
	simulation.advance(benchmarkTime)
	starts, ends := 0, 0
	for _, taskState := range simulation.tasks {
		starts += len(taskState.startedRuns)
		if taskState.done {
			ends++
		}
	}
	b.ReportMetric(simulation.nodes[0].stepTime.Seconds()/benchmarkTime.Seconds()*100, "%core")
	b.ReportMetric(float64(starts), "starts")
	b.ReportMetric(float64(ends), "ends")
}
