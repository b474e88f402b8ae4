package scheduler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/leaser"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/scheduler"
)

const allRules = scheduler.BestFit | scheduler.FairOrder | scheduler.Guarantees | scheduler.Preemption |
	scheduler.Quarantine | scheduler.LargeHold | scheduler.Migration

var policies = []struct {
	name    string
	without scheduler.Rule
	broken  bool
}{
	{"all rules", 0, false},
	{"first fit in arrival order", allRules, false},
	{"without best fit", scheduler.BestFit, false},
	{"without fair order", scheduler.FairOrder, false},
	{"without guarantees", scheduler.Guarantees, false},
	{"without preemption", scheduler.Preemption, false},
	{"without hold", scheduler.LargeHold | scheduler.Migration, false},
	{"without migration", scheduler.Migration, false},
	{"all rules, broken worker", 0, true},
	{"without quarantine, broken worker", scheduler.Quarantine, true},
}

// figures are the results of one run, times in minutes.
type figures struct{ completion, tail, fragmentation, large, reclaim, light, moves, failed float64 }

// BenchmarkPolicies measures the rules of placement against first fit on the 48
// workers of a deployment of today: medians over seeds of the mean completion
// time, its 95th percentile, the fragmentation, the mean wait of large gangs,
// the longest wait of a guaranteed gang, the wait of small jobs of the
// workspaces that submit little (95th percentile), the gangs that were started
// beyond one per job, and the jobs that ended as failed.
func BenchmarkPolicies(b *testing.B) {
	for _, load := range []float64{0.4, 0.5} {
		for _, policy := range policies {
			b.Run(fmt.Sprintf("%.1f jobs per minute, %s", load, policy.name), func(b *testing.B) {
				var runs []figures
				for range b.N {
					runs = runs[:0]
					for seed := range uint64(15) {
						runs = append(runs, simulate(b, policy.without, policy.broken, load, seed))
					}
				}
				report := func(name string, of func(figures) float64) {
					values := make([]float64, len(runs))
					for i, run := range runs {
						values[i] = of(run)
					}
					b.ReportMetric(quantile(values, 0.5), name)
				}
				report("completion-min", func(run figures) float64 { return run.completion })
				report("completion-p95-min", func(run figures) float64 { return run.tail })
				report("fragmentation-%", func(run figures) float64 { return run.fragmentation })
				report("large-wait-min", func(run figures) float64 { return run.large })
				report("reclaim-max-min", func(run figures) float64 { return run.reclaim })
				report("light-wait-p95-min", func(run figures) float64 { return run.light })
				report("failed", func(run figures) float64 { return run.failed })
				report("moves", func(run figures) float64 { return run.moves })
			})
		}
	}
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// simulate runs 12 hours of submissions to their end. Leases are longer than
// in production, which shortens the run and does not change the placement.
func simulate(b *testing.B, without scheduler.Rule, broken bool, load float64, seed uint64) figures {
	world := newWorld(b, seed)
	world.lease = 90 * time.Second
	holder := world.addNode(scheduler.Parameters{
		Without: without, Timing: leaser.Timing{Lease: world.lease}, RenewEvery: 30 * time.Second, PollEvery: 5 * time.Minute,
	})
	world.addWorkers(6, 8, 8)
	world.members(holder)
	world.workers["w02-03"].broken = broken
	names := []identifier.Workspace{"a", "b", "c", "d"}
	guaranteed := commander.Shape{Members: 4, Accelerators: 8, Adjacency: commander.SameRack}
	var workspaces []messenger.WorkspaceSpec
	for _, name := range names {
		workspaces = append(workspaces, messenger.WorkspaceSpec{
			Workspace: name, Weight: 1, Guarantees: []messenger.Guarantee{{Region: "r", Shape: guaranteed}},
		})
	}
	world.configure(workspaces...)
	world.run(10 * time.Second)
	random := rand.New(rand.NewPCG(seed, 2))
	specs := make(map[identifier.Job]commander.JobSpec)
	var fragmented []float64
	var entitled []identifier.Job
	for minute := range 12 * 60 {
		world.run(time.Minute)
		if minute%60 == 59 {
			// Once per hour a workspace with nothing else asks for its guarantee.
			spec := commander.JobSpec{Job: identifier.Job(fmt.Sprintf("guaranteed%d", minute)), Workspace: "d", Shape: guaranteed}
			entitled = append(entitled, spec.Job)
			specs[spec.Job] = spec
			world.submit(spec, behaviour{runTime: 20 * time.Minute})
		}
		fragmented = append(fragmented, holder.fragmentation())
		if random.Float64() < load {
			spec, runTime := drawJob(random, names[:3], len(specs))
			specs[spec.Job] = spec
			world.submit(spec, behaviour{runTime: runTime})
		}
	}
	result := world.measure(b, specs, entitled)
	for _, sample := range fragmented {
		result.fragmentation += 100 * sample / float64(len(fragmented))
	}
	return result
}

// fragmentation returns the part of the free accelerators that lie on partly
// occupied workers.
func (node *node) fragmentation() float64 {
	for _, gauge := range node.scheduler.View(node.world.now, querier.Query{Kind: querier.Status}).Gauges {
		if gauge.Name == "fragmentation-ratio" {
			return gauge.Value
		}
	}
	return 0
}

// drawJob draws one job: many small, a few large ones; one workspace submits
// more than half; declarations are off by up to three times, and one job in 20
// is a straggler that runs five times longer.
func drawJob(random *rand.Rand, names []identifier.Workspace, serial int) (commander.JobSpec, time.Duration) {
	spec := commander.JobSpec{Job: identifier.Job(fmt.Sprintf("job%04d", serial)), Workspace: names[max(0, random.IntN(5)-2)]}
	var runTime float64
	switch kind := random.Float64(); {
	case kind < 0.65:
		spec.Shape = commander.Shape{Members: 1, Accelerators: 1 << random.IntN(3)}
		runTime = 10 + 50*random.Float64()
	case kind < 0.9:
		spec.Shape = commander.Shape{Members: 1 + random.IntN(4), Accelerators: 4 + 4*random.IntN(2)}
		runTime = 30 + 60*random.Float64()
	default:
		spec.Shape = commander.Shape{Members: 4 << random.IntN(2), Accelerators: 8, Adjacency: commander.SameRack}
		runTime = 60 + 60*random.Float64()
	}
	spec.RunTime = time.Duration(runTime * math.Pow(3, 2*random.Float64()-1) * float64(time.Minute))
	if random.IntN(20) == 0 {
		runTime *= 5
	}
	return spec, time.Duration(runTime * float64(time.Minute))
}

func (world *world) measure(b *testing.B, specs map[identifier.Job]commander.JobSpec, entitled []identifier.Job) figures {
	var result figures
	var completion, large, light, reclaim []float64
	for range 72 * 60 {
		if len(world.outcomes) == len(specs) {
			break
		}
		world.run(time.Minute)
	}
	for name, spec := range specs {
		ended, ok := world.ended[name]
		if !ok {
			b.Fatalf("job %s did not end", name)
		}
		if world.outcomes[name].Code != classifier.OK {
			result.failed++
			continue
		}
		completion = append(completion, ended.Sub(world.accepted[name]).Minutes())
		wait := world.started[name].Sub(world.accepted[name]).Minutes()
		if spec.Shape.TotalAccelerators() >= 32 {
			large = append(large, wait)
		} else if spec.Workspace != "a" {
			light = append(light, wait)
		}
	}
	for _, name := range entitled {
		reclaim = append(reclaim, world.started[name].Sub(world.accepted[name]).Minutes())
	}
	for _, minutes := range completion {
		result.completion += minutes / float64(len(completion))
	}
	result.tail = quantile(completion, 0.95)
	result.light = quantile(light, 0.95)
	for _, minutes := range large {
		result.large += minutes / float64(len(large))
	}
	result.reclaim = quantile(reclaim, 1)
	result.moves = float64(len(world.gangs) - len(specs))
	return result
}
