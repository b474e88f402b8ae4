package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/planner"
	"corianderroad/specifier"
)

const (
	unevenMinions = 80
	unevenSpan    = 100 * time.Second
	// unevenLoad is the share of the capacity that the load needs.
	unevenLoad = 0.6
	// unevenFaultTime is how long a minion is faulty.
	unevenFaultTime = 20 * time.Second
)

// unevenFault is what is wrong with 15 % of the minions at a time.
type unevenFault struct {
	name  string
	begin func(run *loadRun, minion *fakeMinion)
	end   func(run *loadRun, minion *fakeMinion)
}

func speedFault(name string, speed float64) unevenFault {
	return unevenFault{
		name:  name,
		begin: func(run *loadRun, minion *fakeMinion) { run.speeds.set(minion, speed) },
		end:   func(run *loadRun, minion *fakeMinion) { run.speeds.set(minion, 1) },
	}
}

// failingFault lets 6 of 10 runs fail.
func failingFault() unevenFault {
	return unevenFault{
		name: "fail",
		begin: func(run *loadRun, minion *fakeMinion) {
			run.failing[minion] = true
			run.fails = func(fake *fakeRun) bool { return run.failing[fake.minion] && run.random.IntN(10) < 6 }
		},
		end: func(run *loadRun, minion *fakeMinion) { delete(run.failing, minion) },
	}
}

func unevenFaults() []unevenFault {
	return []unevenFault{speedFault("slow", 1.0/3), speedFault("stall", 0), failingFault()}
}

// newUnevenRun returns a load of the three kinds while minions are faulty in turn. The load and
// the faults are the same with and without the rule.
func newUnevenRun(seed uint64, load float64, fault unevenFault, profiles bool) *loadRun {
	run := &loadRun{simulation: newSimulation(seed, 0, unevenMinions), firstStarts: make(map[specifier.Task]time.Time), failing: make(map[*fakeMinion]bool)}
	run.features = planner.Features{MinionProfiles: profiles, LossAwareStops: true}
	run.speeds = newFakeSpeeds(run.simulation)
	run.checkpoints = &fakeCheckpoints{interval: time.Second, restartTime: 400 * time.Millisecond}
	run.workTime = run.noteRoughStart
	run.addNode("n0")
	run.makeHolder(run.nodes[0])
	random := rand.New(rand.NewPCG(seed, 3))
	for index := range loadKinds {
		run.scheduleKind(&loadKinds[index], load, random)
	}
	minions := run.sortedMinions()
	for at := 10 * time.Second; at < unevenSpan-unevenFaultTime; at += unevenFaultTime {
		for _, index := range random.Perm(unevenMinions)[:unevenMinions*15/100] {
			run.schedule(at, func() { fault.begin(run, minions[index]) })
			run.schedule(at+unevenFaultTime, func() { fault.end(run, minions[index]) })
		}
	}
	return run
}

// scheduleKind submits the jobs of a kind at drawn times.
func (loadRun *loadRun) scheduleKind(kind *loadKind, load float64, random *rand.Rand) {
	interval := float64(time.Second) / (kind.jobsPerMinion * unevenMinions * load)
	for at, number := time.Duration(0), 0; at < unevenSpan; number++ {
		job := specifier.Job{
			ID: identifier.Job(fmt.Sprintf("%s%04d", kind.name, number)), Queue: kind.queue,
			Steps: []specifier.Step{{
				Tasks: kind.tasks, EstimatedRunTime: kind.runTime, Gang: kind.gang,
				Request:     specifier.Resources{MilliCPU: kind.milliCPU, MemoryMB: 6000, Accelerators: kind.accelerators[random.IntN(len(kind.accelerators))]},
				Checkpoints: random.IntN(2) == 0, Redundant: !kind.gang && random.IntN(2) == 0,
			}},
		}
		loadRun.schedule(at, func() {
			loadRun.submit(job)
			loadRun.jobs = append(loadRun.jobs, &loadJob{kind: kind, spec: job, submittedAt: loadRun.now})
		})
		at += time.Duration(random.ExpFloat64() * interval)
	}
}

// noteRoughStart is as noteStart, for run times that are off by a factor: up to 1.4 for a job, 7 for 3
// of 100 jobs, and a fifth more or less for each task. All runs of a task need the same time.
func (loadRun *loadRun) noteRoughStart(run *fakeRun) time.Duration {
	loadRun.noteStart(run)
	ofJob := rand.New(rand.NewPCG(1, hashOfJob(run.task)))
	factor := 0.6 + 0.8*ofJob.Float64()
	if ofJob.IntN(100) < 3 {
		factor = 7
	}
	if !run.spec.Gang {
		factor *= 0.8 + 0.4*rand.New(rand.NewPCG(uint64(run.task.Index), hashOfJob(run.task))).Float64()
	}
	return time.Duration(factor * float64(run.spec.EstimatedRunTime))
}

// hashOfJob returns a number that is the same for all tasks of a job.
func hashOfJob(task specifier.Task) uint64 {
	hash := uint64(14695981039346656037)
	for _, char := range []byte(task.Job) {
		hash = (hash ^ uint64(char)) * 1099511628211
	}
	return hash
}

// unevenResult is the share of jobs on time, by kind and of all.
type unevenResult struct {
	onTime map[string]float64
	total  float64
}

func playUneven(t *testing.T, seed uint64, fault unevenFault, profiles bool) unevenResult {
	t.Helper()
	run := newUnevenRun(seed, unevenLoad, fault, profiles)
	run.play(unevenSpan + 20*time.Second)
	if len(run.violations) > 0 {
		t.Fatalf("%s, seed %d: %v", fault.name, seed, run.violations)
	}
	result := run.unevenResult()
	t.Logf("%s, seed %d, profiles %t: on time %.3f (large %.3f, small %.3f, wide %.3f); lost %.0f core-seconds; %v %v", fault.name, seed, profiles,
		result.total, result.onTime["large"], result.onTime["small"], result.onTime["wide"], run.lostCoreSeconds, run.countsOf("copies "), run.countsOf("moves "))
	return result
}

func (loadRun *loadRun) unevenResult() unevenResult {
	result, jobs := unevenResult{onTime: make(map[string]float64)}, 0
	for _, kind := range loadKinds {
		got := loadRun.result(kind.name)
		result.onTime[kind.name] = got.onTime
		result.total += got.onTime * float64(got.jobs)
		jobs += got.jobs
	}
	result.total /= float64(jobs)
	return result
}

// TestUnevenMinionsDelayFewerJobs guards against moves and copies that make more jobs late than
// they save, while 15 % of the minions work at a third of their speed, let tasks stall, or fail 6 of
// 10 tasks.
func TestUnevenMinionsDelayFewerJobs(t *testing.T) {
	t.Parallel()
	// Plays of the same load differ by up to 0.02 in the mean of three. A gain is expected with stalls only.
	minGain := map[string]float64{"slow": -0.02, "stall": 0.01, "fail": -0.02}
	for _, fault := range unevenFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			without, with := playUnevenSeeds(t, fault)
			t.Logf("%s: %.3f without, %.3f with", fault.name, without, with)
			quicktest.New(t).Assert(with >= without+minGain[fault.name], quicktest.IsTrue)
		})
	}
}

// playUnevenSeeds plays three loads side by side, each without and with profiles, and returns the
// means of the share on time.
func playUnevenSeeds(t *testing.T, fault unevenFault) (without, with float64) {
	t.Helper()
	const seeds = 3
	var withoutProfiles, withProfiles [seeds]float64
	t.Run("plays", func(t *testing.T) { // ends after its parallel subtests
		for index := range seeds {
			seed := uint64(index) + 1
			t.Run(fmt.Sprint("without, seed ", seed), func(t *testing.T) {
				t.Parallel()
				withoutProfiles[index] = playUneven(t, seed, fault, false).total
			})
			t.Run(fmt.Sprint("with, seed ", seed), func(t *testing.T) {
				t.Parallel()
				withProfiles[index] = playUneven(t, seed, fault, true).total
			})
		}
	})
	for index := range seeds {
		without += withoutProfiles[index] / seeds
		with += withProfiles[index] / seeds
	}
	return without, with
}
