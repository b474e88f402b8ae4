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
	scheduler.Quarantine | scheduler.LargeGangReservation | scheduler.Migration

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
	{"without hold", scheduler.LargeGangReservation | scheduler.Migration, false},
	{"without migration", scheduler.Migration, false},
	{"all rules, broken worker", 0, true},
	{"without quarantine, broken worker", scheduler.Quarantine, true},
}

// metrics are the results of one run. Times are in minutes.
type metrics struct{ completion, p95, fragmentation, large, reclaim, light, moves, failed float64 }

// BenchmarkPolicies compares the placement rules with first fit on 48 workers, the
// size of a current deployment. It reports medians over the seeds of: the mean
// completion time and its 95th percentile, the fragmentation, the mean wait of
// large gangs, the longest wait of a guaranteed gang, the 95th percentile of the
// wait of small jobs of the workspaces that submit few jobs, the number of gangs
// started beyond one per job, and the number of jobs that ended as failed.
func BenchmarkPolicies(b *testing.B) {
	for _, load := range []float64{0.4, 0.5} {
		for _, policy := range policies {
			b.Run(fmt.Sprintf("%.1f jobs per minute, %s", load, policy.name), func(b *testing.B) {
				var runs []metrics
				for range b.N {
					runs = runs[:0]
					for seed := range uint64(15) {
						runs = append(runs, simulate(b, policy.without, policy.broken, load, seed))
					}
				}
				report := func(name string, metric func(metrics) float64) {
					values := make([]float64, len(runs))
					for i, run := range runs {
						values[i] = metric(run)
					}
					b.ReportMetric(quantile(values, 0.5), name)
				}
				report("completion-min", func(run metrics) float64 { return run.completion })
				report("completion-p95-min", func(run metrics) float64 { return run.p95 })
				report("fragmentation-%", func(run metrics) float64 { return run.fragmentation })
				report("large-wait-min", func(run metrics) float64 { return run.large })
				report("reclaim-max-min", func(run metrics) float64 { return run.reclaim })
				report("light-wait-p95-min", func(run metrics) float64 { return run.light })
				report("failed", func(run metrics) float64 { return run.failed })
				report("moves", func(run metrics) float64 { return run.moves })
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

// simulate submits jobs for 12 hours and runs until all have ended. Leases are
// longer than in production, which shortens the run and does not change the
// placement.
func simulate(b *testing.B, without scheduler.Rule, broken bool, load float64, seed uint64) metrics {
	simulation := newSimulation(b, seed)
	simulation.lease = 90 * time.Second
	holder := simulation.addNode(scheduler.Parameters{
		DisabledRules: without, Timing: leaser.Timing{Lease: simulation.lease}, RenewInterval: 30 * time.Second, PollInterval: 5 * time.Minute,
	})
	simulation.addWorkers(6, 8, 8)
	simulation.setMembers(holder)
	simulation.workers["w02-03"].broken = broken
	names := []identifier.Workspace{"a", "b", "c", "d"}
	guaranteed := commander.Shape{Members: 4, Accelerators: 8, Adjacency: commander.SameRack}
	var workspaces []messenger.WorkspaceSpec
	for _, name := range names {
		workspaces = append(workspaces, messenger.WorkspaceSpec{
			Workspace: name, Weight: 1, Guarantees: []messenger.Guarantee{{Region: "r", Shape: guaranteed}},
		})
	}
	simulation.configure(workspaces...)
	simulation.run(10 * time.Second)
	random := rand.New(rand.NewPCG(seed, 2))
	specs := make(map[identifier.Job]commander.JobSpec)
	var fragmentationSamples []float64
	var guaranteedJobs []identifier.Job
	for minute := range 12 * 60 {
		simulation.run(time.Minute)
		if minute%60 == 59 {
			// Once per hour a workspace without other jobs submits a job of the size
			// of its guarantee.
			spec := commander.JobSpec{Job: identifier.Job(fmt.Sprintf("guaranteed%d", minute)), Workspace: "d", Shape: guaranteed}
			guaranteedJobs = append(guaranteedJobs, spec.Job)
			specs[spec.Job] = spec
			simulation.submit(spec, behaviour{runTime: 20 * time.Minute})
		}
		fragmentationSamples = append(fragmentationSamples, holder.fragmentation())
		if random.Float64() < load {
			spec, runTime := drawJob(random, names[:3], len(specs))
			specs[spec.Job] = spec
			simulation.submit(spec, behaviour{runTime: runTime})
		}
	}
	result := simulation.measure(b, specs, guaranteedJobs)
	for _, sample := range fragmentationSamples {
		result.fragmentation += 100 * sample / float64(len(fragmentationSamples))
	}
	return result
}

// fragmentation returns the share of the free accelerators that are on partly
// occupied workers.
func (node *node) fragmentation() float64 {
	for _, gauge := range node.scheduler.View(node.simulation.now, querier.Query{Kind: querier.Status}).Gauges {
		if gauge.Name == "fragmentation-ratio" {
			return gauge.Value
		}
	}
	return 0
}

// drawJob draws one job. Most jobs are small, a few are large, and one workspace
// submits more than half of them. Declared run times are wrong by a factor of up
// to three, and one job in 20 is a straggler that runs five times longer.
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

func (simulation *simulation) measure(b *testing.B, specs map[identifier.Job]commander.JobSpec, guaranteedJobs []identifier.Job) metrics {
	var result metrics
	var completion, large, light, reclaim []float64
	for range 72 * 60 {
		if len(simulation.outcomes) == len(specs) {
			break
		}
		simulation.run(time.Minute)
	}
	for name, spec := range specs {
		ended, ok := simulation.ended[name]
		if !ok {
			b.Fatalf("job %s has not ended", name)
		}
		if simulation.outcomes[name].Code != classifier.OK {
			result.failed++
			continue
		}
		completion = append(completion, ended.Sub(simulation.accepted[name]).Minutes())
		wait := simulation.started[name].Sub(simulation.accepted[name]).Minutes()
		if spec.Shape.TotalAccelerators() >= 32 {
			large = append(large, wait)
		} else if spec.Workspace != "a" {
			light = append(light, wait)
		}
	}
	for _, name := range guaranteedJobs {
		reclaim = append(reclaim, simulation.started[name].Sub(simulation.accepted[name]).Minutes())
	}
	for _, minutes := range completion {
		result.completion += minutes / float64(len(completion))
	}
	result.p95 = quantile(completion, 0.95)
	result.light = quantile(light, 0.95)
	for _, minutes := range large {
		result.large += minutes / float64(len(large))
	}
	result.reclaim = quantile(reclaim, 1)
	result.moves = float64(len(simulation.gangs) - len(specs))
	return result
}
