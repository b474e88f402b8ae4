package planner_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/planner"
)

// newSteadySimulation returns a simulation with one node, which is the holder all the while.
func newSteadySimulation(t *rapid.T) *simulation {
	simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), 0, livenessMinions)
	simulation.features = rapid.SampledFrom([]planner.Features{
		{GangReservations: true, LossAwareStops: true, EarlyRefusals: true, MinionProfiles: true, UrgentHeadroom: true},
		{LossAwareStops: true},
		{},
	}).Draw(t, "features")
	simulation.nodes = append(simulation.nodes, simulation.newNode("n0"))
	simulation.useLivenessPolicy()
	simulation.onDecision = simulation.checkLostRun
	rates := rapid.SampledFrom([][]float64{{0.98, 1.02}, {0.98}, {0.98, 0.99, 1, 1.01, 1.02}}).Draw(t, "clock-rates")
	for _, minion := range simulation.sortedMinions() {
		minion.clockRate = rates[simulation.random.IntN(len(rates))]
	}
	return simulation
}

// drawSteadyOutage schedules an outage of the store for all, faults of minions around it, and jobs that
// are submitted just before, during and just after it, so that many starts go out at its end. It returns
// when the outage ends.
func drawSteadyOutage(t *rapid.T, simulation *simulation, kinds []string, from time.Duration, number int) time.Duration {
	outage := storeOutage{downAt: from + drawMilliseconds(t, "down-at", 1500, 5000), downFor: drawMilliseconds(t, "down-for", 3000, 6000)}
	share := rapid.SampledFrom([]float64{0.5, 1, 0}).Draw(t, "lapsed-share")
	for _, minion := range simulation.sortedMinions() {
		if simulation.random.Float64() < share {
			outage.lapsed = append(outage.lapsed, minion)
		}
	}
	simulation.schedule(outage.downAt, func() { simulation.stopStore(outage.lapsed) })
	simulation.schedule(outage.downAt+outage.downFor, simulation.returnStore)
	faulty := rapid.SampledFrom([]int{livenessMinions, 3}).Draw(t, "faulty-minions") // few of them have several faults at once
	for _, fault := range rapid.SliceOfN(drawOutageFault(kinds, faulty, outage.downAt, outage.downFor), 0, 12).Draw(t, "faults") {
		minion := simulation.sortedMinions()[fault.minion]
		simulation.schedule(fault.at, func() {
			simulation.noteFault("minion-%s: %s for %s, extra %s, dark %t", minion.name, fault.kind, fault.span, fault.extra, fault.isDark)
			outageFaultKinds[fault.kind](simulation, minion, fault)
		})
	}
	for index := range rapid.IntRange(1, 6).Draw(t, "jobs") {
		at := outage.downAt + drawMilliseconds(t, "at", -1500, int(outage.downFor.Milliseconds())+500)
		job := drawOutageJob(t, fmt.Sprintf("j%d%d", number, index), simulation.now.Add(at))
		simulation.schedule(at, func() { simulation.submitUntilAccepted(job) })
	}
	return outage.downAt + outage.downFor
}

// TestInvariantsUnderOutagesWithOneHolder guards against two runs of a task at once, a start after a
// recorded end, and a run that the holder gives up while it goes on, when the store is down for 3 to
// 6 s and one holder keeps its claim. Entries lapse and come back one by one; meanwhile minions leave, start
// again, are cut off, refuse connections or starts, and answers are lost.
func TestInvariantsUnderOutagesWithOneHolder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSteadySimulation(t)
		simulation.lostAnswerShare = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "lost-answers")
		simulation.lateOrderShare = rapid.SampledFrom([]float64{0, 0, 0.05}).Draw(t, "late-orders")
		simulation.outdatedListShare = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "outdated-lists")
		simulation.delayVariation = rapid.SampledFrom([]time.Duration{0, 60 * time.Millisecond}).Draw(t, "delay-variation")
		factors := rapid.SampledFrom([][]float64{{1}, {0.3, 3}, {3}}).Draw(t, "run-time-factors")
		simulation.workTime = func(run *fakeRun) time.Duration {
			return time.Duration(float64(run.spec.EstimatedRunTime) * factors[int(run.number)%len(factors)])
		}
		simulation.makeHolder(simulation.nodes[0])
		from, kinds := time.Duration(0), kindsOfOutageFaults(simulation.lateOrderShare > 0)
		for number := range rapid.IntRange(1, 3).Draw(t, "outages") {
			from = drawSteadyOutage(t, simulation, kinds, from, number)
		}
		simulation.advance(outageTime)
		simulation.lostAnswerShare, simulation.lateOrderShare, simulation.delayVariation, simulation.outdatedListShare = 0, 0, 0, 0
		simulation.advance(completionTime)
		for range maxCompletionTimes {
			if simulation.hasUnendedJob() {
				simulation.advance(completionTime)
			}
		}
		simulation.checkAttempts()
		simulation.checkAllEnded()
		simulation.failOnViolations(t)
	})
}

// maxCompletionTimes is how often completionTime passes before a job counts as one that never ends. The
// widest ones need several, because a rack takes few of their tasks at once.
const maxCompletionTimes = 12

// hasUnendedJob reports whether a finite job has not ended.
func (simulation *simulation) hasUnendedJob() bool {
	for id, job := range simulation.jobs {
		if !job.IsLongRunning() && !simulation.recordedState(id).IsFinal() {
			return true
		}
	}
	return false
}
