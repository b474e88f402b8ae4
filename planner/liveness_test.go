package planner_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

const (
	// livenessMinions is the number of minions, in four racks of four. Every other
	// rack is of kind b.
	livenessMinions = 16
	// faultTime is the time in which faults begin and end.
	faultTime = 14 * time.Second
	// completionTime is the time in which the finite jobs end after the faults. All
	// of their work would need less than a third of it.
	completionTime = 60 * time.Second
)

// stepKinds are the kinds of steps that the property covers, by name.
var stepKinds = map[string]specifier.Step{
	"single":           {Tasks: 2, Request: taskOf(2000, 1)},
	"gang":             {Tasks: 4, Request: taskOf(4000, 2), Gang: true},
	"gang-half":        {Tasks: livenessMinions / 2, Request: taskOf(28000, 8), Gang: true},
	"gang-half-label":  {Tasks: livenessMinions / 4, Request: taskOf(28000, 8), Gang: true, Label: "b"},
	"same-rack":        {Tasks: 6, Request: taskOf(4000, 1), SameRack: true},
	"same-rack-wide":   {Tasks: 40, Request: taskOf(13000, 1), SameRack: true},
	"same-rack-gang":   {Tasks: 3, Request: taskOf(16000, 4), SameRack: true, Gang: true},
	"data-rack":        {Tasks: 3, Request: taskOf(4000, 2), DataRack: "r-1"},
	"data-rack-gang":   {Tasks: 3, Request: taskOf(16000, 4), DataRack: "r-1", Gang: true},
	"data-rack-large":  {Tasks: 5, Request: taskOf(30000, 8), DataRack: "r-1", Gang: true},
	"data-rack-absent": {Tasks: 2, Request: taskOf(4000, 1), DataRack: "r-9"},
	"both-racks":       {Tasks: 3, Request: taskOf(8000, 2), SameRack: true, DataRack: "r-2"},
	"both-racks-gang":  {Tasks: 5, Request: taskOf(20000, 5), SameRack: true, DataRack: "r-2", Gang: true},
	"label":            {Tasks: 3, Request: taskOf(4000, 1), Label: "b"},
	"spread":           {Tasks: 4, Request: taskOf(2000, 1), MaxPerMinion: 1},
	"spread-gang":      {Tasks: 5, Request: taskOf(2000, 1), MaxPerMinion: 1, Gang: true},
	"checkpoints":      {Tasks: 3, Request: taskOf(3000, 1), Checkpoints: true},
	"backfill":         {Tasks: 4, Request: taskOf(16000, 0), Backfill: true},
	"long-running":     {Tasks: 3, Request: taskOf(1000, 0), LongRunning: true, MaxUnavailable: 1},
}

// jobKinds are the kinds of jobs that set more than their steps.
var jobKinds = []string{"plain", "plain", "advised", "scheduled", "urgent", "guaranteed"}

// drawJob returns a job of one or two steps of random kinds.
func drawJob(t *rapid.T, id string, now time.Time) specifier.Job {
	kinds := rapid.SliceOfN(rapid.SampledFrom(sortedKinds()), 1, 2).Draw(t, "step-kinds")
	if kinds[0] == "long-running" {
		kinds = kinds[:1]
	}
	job := jobOf(id)
	for index, kind := range kinds {
		if index > 0 && kind == "long-running" {
			break
		}
		step := stepKinds[kind]
		step.EstimatedRunTime = time.Duration(rapid.IntRange(300, 3000).Draw(t, "run-time")) * time.Millisecond
		if index > 0 {
			step.DependsOn = []int{index - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	switch kind := rapid.SampledFrom(jobKinds).Draw(t, "job-kind"); {
	case job.IsLongRunning() || kind == "plain":
	case kind == "advised":
		job.Queue = adviceQueue
	case kind == "scheduled":
		job.Schedule = &specifier.Schedule{Occurrences: 2, First: now.Add(time.Second), Interval: 2 * time.Second}
	case kind == "urgent":
		job.Queue = urgentQueue
	case kind == "guaranteed":
		job.Queue, job.Workspace = urgentQueue, "w"
	}
	return job
}

func sortedKinds() []string {
	return slices.Sorted(maps.Keys(stepKinds))
}

// minionFaultKinds begin a fault of a minion and return what ends it.
var minionFaultKinds = map[string]func(*simulation, *fakeMinion) func(){
	"unreachable": func(simulation *simulation, minion *fakeMinion) func() {
		simulation.setReachable(false, minion.name)
		return func() { simulation.setReachable(true, minion.name) }
	},
	"gone-and-back": func(simulation *simulation, minion *fakeMinion) func() {
		simulation.setReachable(false, minion.name)
		minion.unregistered = true
		simulation.deliverAllReports()
		return func() {
			simulation.setReachable(true, minion.name)
			minion.unregistered = false
			simulation.deliverAllReports()
		}
	},
	"unregistered": func(simulation *simulation, minion *fakeMinion) func() {
		minion.unregistered = true
		simulation.deliverAllReports()
		return func() {
			minion.unregistered = false
			simulation.deliverAllReports()
		}
	},
	"crash": func(simulation *simulation, minion *fakeMinion) func() {
		minion.crash()
		return func() { simulation.restart(minion) }
	},
	"restart-under-its-name": func(simulation *simulation, minion *fakeMinion) func() {
		minion.crash()
		minion.start() // its report follows when the fault ends
		return simulation.deliverAllReports
	},
	"busy": func(_ *simulation, minion *fakeMinion) func() {
		return minion.refuseAll(func(messenger.Order) classifier.Code { return classifier.MinionBusy })
	},
	"no-room": func(_ *simulation, minion *fakeMinion) func() {
		return minion.refuseAll(func(order messenger.Order) classifier.Code {
			if _, isStart := order.(messenger.StartRun); isStart {
				return classifier.NoCapacity
			}
			return classifier.OK
		})
	},
	"other-minion-at-its-address": func(simulation *simulation, minion *fakeMinion) func() {
		minion.crash()
		minion.start()
		end := minion.refuseAll(func(messenger.Order) classifier.Code { return classifier.UnknownNode })
		return func() {
			end()
			simulation.deliverAllReports()
		}
	},
	"older-incarnation-answers": func(simulation *simulation, minion *fakeMinion) func() {
		minion.crash()
		simulation.restart(minion)
		minion.faults.answersAs = minion.incarnation - 1
		return func() { minion.faults.answersAs = 0 }
	},
	"draining-cancelled": func(simulation *simulation, minion *fakeMinion) func() {
		minion.faults.draining, minion.faults.remaining = true, 2*time.Second
		simulation.deliverAllReports()
		return func() {
			minion.faults.draining = false
			simulation.deliverAllReports()
		}
	},
	"replaced": func(simulation *simulation, minion *fakeMinion) func() {
		minion.faults.draining, minion.faults.remaining = true, 2*time.Second
		simulation.deliverAllReports()
		return func() {
			minion.faults.draining = false
			minion.crash()
			simulation.restart(minion)
		}
	},
}

// refuseAll makes the minion refuse orders until the returned function is called.
func (minion *fakeMinion) refuseAll(refuse func(messenger.Order) classifier.Code) func() {
	minion.faults.refuse = refuse
	return func() { minion.faults.refuse = nil }
}

// restart starts a crashed minion and delivers its report.
func (simulation *simulation) restart(minion *fakeMinion) {
	if !minion.alive {
		minion.start()
	}
	simulation.deliverAllReports()
}

// drawMinionFaults schedules faults that befall a group of minions at the same
// time, such as a link or a rack would. The groups are disjoint. All faults have
// ended after faultTime.
func drawMinionFaults(t *rapid.T, simulation *simulation) {
	kinds := slices.Sorted(maps.Keys(minionFaultKinds))
	healthy := drawOrder(t, simulation.sortedMinions())
	for range rapid.IntRange(0, 3).Draw(t, "groups") {
		size := min(rapid.SampledFrom([]int{1, 4, 10}).Draw(t, "group"), len(healthy))
		group := healthy[:size]
		healthy = healthy[size:]
		kind := rapid.SampledFrom(kinds).Draw(t, "minion-fault")
		at := time.Duration(rapid.IntRange(100, 5500).Draw(t, "minion-fault-at")) * time.Millisecond
		span := time.Duration(rapid.IntRange(50, 8000).Draw(t, "minion-fault-for")) * time.Millisecond
		simulation.schedule(at, func() {
			for _, minion := range group {
				simulation.schedule(span, minionFaultKinds[kind](simulation, minion))
			}
		})
	}
}

// drawOrder returns the minions in a random order.
func drawOrder(t *rapid.T, minions []*fakeMinion) []*fakeMinion {
	indexes := make([]int, len(minions))
	for index := range indexes {
		indexes[index] = index
	}
	var ordered []*fakeMinion
	for _, index := range rapid.Permutation(indexes).Draw(t, "order-of-minions") {
		ordered = append(ordered, minions[index])
	}
	return ordered
}

// drawWave schedules a wave of maintenance whose requests the platform may refuse.
func drawWave(t *rapid.T, simulation *simulation) {
	if !rapid.Bool().Draw(t, "wave") {
		return
	}
	code := rapid.SampledFrom([]classifier.Code{classifier.OK, classifier.Infeasible, classifier.UnknownNode, classifier.MinionBusy}).Draw(t, "refusal")
	refused := rapid.IntRange(1, livenessMinions).Draw(t, "refused-vms")
	vms := rapid.SliceOfNDistinct(rapid.IntRange(0, livenessMinions-1), refused, -1, rapid.ID[int]).Draw(t, "vms")
	wave := messenger.Wave{Wave: 1, Duration: faultTime, MaxUnavailable: max(1, len(vms)/2)}
	for _, index := range vms {
		wave.VMs = append(wave.VMs, vmName(simulation.sortedMinions()[index]))
	}
	until := simulation.now.Add(faultTime)
	simulation.services.refuseMaintenance = func(vm identifier.VM) *classifier.Error {
		if code == classifier.OK || !slices.Contains(wave.VMs[:refused], vm) || (code == classifier.MinionBusy && simulation.now.After(until)) {
			return nil
		}
		return classifier.New(code, "refused")
	}
	simulation.schedule(time.Duration(rapid.IntRange(0, 6000).Draw(t, "wave-at"))*time.Millisecond, func() { simulation.requestWave(wave) })
}

// drawOrderFaults sets the faults of orders, records and advice. It returns a
// function that ends them, and how long their effects may last by the stated
// bounds.
func drawOrderFaults(t *rapid.T, simulation *simulation) (end func(), after time.Duration) {
	simulation.lostAnswerShare = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "lost-answers")
	simulation.lateOrderShare = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "late-orders")
	simulation.lostRecordAnswerShare = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lost-record-answers")
	simulation.delayVariation = rapid.SampledFrom([]time.Duration{0, 60 * time.Millisecond, 400 * time.Millisecond}).Draw(t, "delay-variation")
	failures := rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "failures")
	simulation.fails = func(*fakeRun) bool { return simulation.random.Float64() < failures }
	adviceFailures := rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "advice-failures")
	simulation.services.failAdvice = func() bool { return simulation.random.Float64() < adviceFailures }
	refusesUnknownStop := rapid.Bool().Draw(t, "refuses-unknown-stops")
	for _, minion := range simulation.sortedMinions() {
		minion.clockRate = 0.98 + 0.04*simulation.random.Float64()
		minion.faults.refusesUnknownStop = refusesUnknownStop
	}
	after = leaseTime + stopTime
	if simulation.lateOrderShare > 0 {
		after += lateOrderTime
	}
	return func() {
		simulation.lostAnswerShare, simulation.lateOrderShare, simulation.lostRecordAnswerShare = 0, 0, 0
		simulation.delayVariation, failures, adviceFailures = 0, 0, 0
	}, after
}

// newLivenessSimulation returns a simulation with two kinds of minions and a
// workspace with a guarantee.
func newLivenessSimulation(seed uint64) *simulation {
	simulation := newSimulation(seed, 3, livenessMinions)
	simulation.useLivenessPolicy()
	return simulation
}

// useLivenessPolicy sets the kinds of the minions, the policy and the advice to those that the
// step kinds need.
func (simulation *simulation) useLivenessPolicy() {
	for _, minion := range simulation.sortedMinions() {
		if minion.rack%2 == 1 {
			minion.kind = "b"
		}
	}
	for _, node := range simulation.nodes {
		simulation.step(node, messenger.PolicyRead{Policy: livenessPolicy(), SentAt: simulation.now})
	}
	simulation.services.isApproved = func(minion identifier.Minion) bool { return minion == "m04" || minion >= "m08" }
}

// livenessPolicy returns a policy with the workspace's guarantee.
func livenessPolicy() *specifier.Policy {
	policy := testPolicy()
	policy.Version = 2
	policy.Workspaces = []specifier.Workspace{{Name: "w", Guaranteed: 8 * livenessMinions}}
	return policy
}

// TestStepsRunOnceFaultsEnd guards against a step of an accepted job that has
// nothing running for longer than the rule LOST allows, or never ends, because a
// fault has left a sound minion excluded or a task held back.
func TestStepsRunOnceFaultsEnd(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		simulation := newLivenessSimulation(rapid.Uint64().Draw(t, "seed"))
		endFaults, after := drawOrderFaults(t, simulation)
		simulation.makeHolder(simulation.nodes[0])
		for number := range rapid.IntRange(0, 8).Draw(t, "early-jobs") {
			at := time.Duration(rapid.IntRange(0, int(faultTime.Milliseconds())).Draw(t, "at")) * time.Millisecond
			job := drawJob(t, fmt.Sprintf("early%d", number), simulation.now.Add(at))
			simulation.schedule(at, func() { simulation.submit(job) })
			if rapid.IntRange(0, 5).Draw(t, "cancelled") == 0 {
				simulation.schedule(faultTime, func() { simulation.cancel(job.ID) })
			}
		}
		injectFaults(t, simulation)
		drawMinionFaults(t, simulation)
		drawWave(t, simulation)
		simulation.advance(faultTime)
		endFaults()
		simulation.advance(after)
		for number := range rapid.IntRange(1, 8).Draw(t, "late-jobs") {
			at := time.Duration(rapid.IntRange(0, 8000).Draw(t, "late-at")) * time.Millisecond
			job := drawJob(t, fmt.Sprintf("late%d", number), simulation.now.Add(at))
			simulation.schedule(at, func() { simulation.submit(job) })
		}
		for index, kind := range []string{"gang-half", "gang-half-label", "data-rack-large"} {
			simulation.schedule(20*time.Second+time.Duration(index)*4*time.Second, func() { simulation.submitProbe(kind) })
		}
		check := newLivenessCheck(simulation)
		check.observe(completionTime)
		check.verify(t)
	})
}

// submitProbe submits a gang that needs half of the minions that it may use, so that
// it shows whether minions are excluded.
func (simulation *simulation) submitProbe(kind string) {
	step := stepKinds[kind]
	step.EstimatedRunTime = time.Second
	simulation.submit(jobOf("probe-"+kind, step))
}

// verify fails if a step was idle for too long, if a finite job has not ended, or if
// a wave is not complete.
func (livenessCheck *livenessCheck) verify(t *rapid.T) {
	simulation := livenessCheck.simulation
	for id, job := range simulation.jobs {
		state := simulation.recordedState(id)
		if !job.IsLongRunning() && !state.IsFinal() {
			livenessCheck.failures = append(livenessCheck.failures, fmt.Sprintf("at the end %s is %s", id, state))
		}
	}
	for number := range simulation.services.waves {
		if !simulation.services.isCompleted(number) {
			livenessCheck.failures = append(livenessCheck.failures, fmt.Sprintf("at the end wave-%d is not complete", number))
		}
	}
	if len(livenessCheck.failures) > 0 {
		job, _, _ := strings.Cut(strings.Fields(livenessCheck.failures[0])[3], ".")
		t.Fatalf("%s\n%s", strings.Join(livenessCheck.failures, "\n"), simulation.decisionsAbout(job))
	}
}
