package scheduler_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/scheduler"
)

// newDesignSizeSimulation returns a region with a holder, the given number of workers
// and the corresponding share of 17,000 tasks, in gangs of 1 to 128.
func newDesignSizeSimulation(b *testing.B, workers int) *simulation {
	simulation := newSimulation(b, 1)
	simulation.addNode(scheduler.Parameters{})
	for i := range workers {
		accelerators := 1
		if i%9 == 0 {
			accelerators = 8
		} else if i%22 == 1 {
			accelerators = 2
		}
		name := fmt.Sprintf("w%04d", i)
		simulation.vms = append(simulation.vms, messenger.VM{
			Name: name, Role: messenger.WorkerVM, Region: "r", Rack: identifier.Rack(fmt.Sprintf("rack%03d", i/8)), Accelerators: accelerators,
		})
		simulation.workers[identifier.Worker(name)] = &vm{simulation: simulation, name: identifier.Worker(name), accelerators: accelerators, up: true, bootedAt: simulation.now}
	}
	simulation.listVMs()
	simulation.setMembers(simulation.nodes...)
	var workspaces []messenger.WorkspaceSpec
	for i := range 150 {
		spec := messenger.WorkspaceSpec{Workspace: identifier.Workspace(fmt.Sprint(i)), Weight: 1, Quota: 1000}
		if i < workers/45 {
			spec.Guarantees = []messenger.Guarantee{{Region: "r", Shape: commander.Shape{Members: 16, Accelerators: 1}}}
		}
		workspaces = append(workspaces, spec)
	}
	simulation.configure(workspaces...)
	simulation.run(10 * time.Second)
	for tasks := 0; tasks < workers*17000/4500; {
		members := []int{1, 1, 2, 4, 8, 16, 32, 128}[len(simulation.behaviours)%8]
		accelerators := 0
		if len(simulation.behaviours)%3 == 0 {
			accelerators = 1
		}
		simulation.submit(commander.JobSpec{
			Job: identifier.Job(fmt.Sprintf("job%05d", len(simulation.behaviours))), Workspace: identifier.Workspace(fmt.Sprint(len(simulation.behaviours) % 150)),
			Shape: commander.Shape{Members: members, Accelerators: accelerators}, RunTime: 2 * time.Hour,
		}, behaviour{runTime: 2 * time.Hour})
		tasks += members
	}
	simulation.run(time.Minute)
	return simulation
}

// BenchmarkDesignSize measures the time per minute that the holder of a region
// spends in Step, with two submissions per minute; 3,400 a day are 2.4 per minute.
func BenchmarkDesignSize(b *testing.B) {
	for _, workers := range []int{1125, 2250, 4500} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			simulation := newDesignSizeSimulation(b, workers)
			running := 0
			for _, gang := range simulation.gangs {
				running += len(gang.running)
			}
			before, calls, minutes := simulation.decisionTime, simulation.callCount(), 0
			for b.Loop() {
				for range 2 {
					simulation.submit(commander.JobSpec{
						Job: identifier.Job(fmt.Sprintf("new%05d", len(simulation.behaviours))), Workspace: "1", Shape: commander.Shape{Members: 1},
					}, behaviour{runTime: time.Minute})
				}
				simulation.run(time.Minute)
				minutes++
			}
			runtime.GC()
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			b.ReportMetric(100*(simulation.decisionTime-before).Minutes()/float64(minutes), "core-%")
			b.ReportMetric(float64(simulation.callCount()-calls)/float64(60*minutes), "calls/s")
			b.ReportMetric(float64(running), "tasks")
			b.ReportMetric(float64(memory.HeapAlloc)/(1<<20), "heap-MiB-with-fakes")
		})
	}
}

// callCount returns the number of calls to workers.
func (simulation *simulation) callCount() int {
	sum := 0
	for _, calls := range simulation.calls {
		sum += calls
	}
	return sum
}

// BenchmarkPass measures one pass over waiting jobs none of which fits.
func BenchmarkPass(b *testing.B) {
	for _, waiting := range []int{1000, 5000, 10000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			simulation := newDesignSizeSimulation(b, 1500)
			for i := range waiting {
				simulation.submit(commander.JobSpec{
					Job: identifier.Job(fmt.Sprintf("wait%05d", i)), Workspace: identifier.Workspace(fmt.Sprint(i % 150)),
					Shape: commander.Shape{Members: 100 + i%28, Accelerators: 8},
				}, behaviour{})
			}
			simulation.run(30 * time.Second)
			for b.Loop() {
				simulation.nodes[0].scheduler.Step(simulation.now, messenger.ConfigurationChanged{Configuration: simulation.configuration})
				simulation.now = simulation.now.Add(time.Second)
				simulation.nodes[0].scheduler.Step(simulation.now, messenger.Tick{})
			}
		})
	}
}
