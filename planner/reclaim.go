package planner

import (
	"fmt"
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// Reclaiming of capacity for urgent steps.
const (
	// stopOrderSlack covers the polls and orders around the stop of a run.
	stopOrderSlack = 500 * time.Millisecond
	// reservationSlack is how long reserved capacity is withheld beyond the time
	// for stopping the victims.
	reservationSlack = time.Second
	// reclaimRetryDelay is the time before a step that found no capacity to
	// reclaim tries again.
	reclaimRetryDelay = 150 * time.Millisecond
	// maxWasteFactor bounds the work lost for a step that has no guarantee to
	// start now, in multiples of its own work.
	maxWasteFactor = 2.0
)

// reclaim frees capacity for a step of priority 0 by stopping work of lower
// priority. It waits as long as the step's job can still be on time or its
// workspace's guarantee can still be met, because capacity may become free
// without stopping any run.
func (planner *Planner) reclaim(now time.Time, waitingStep *waitingStep, pool *pool, guarantees *guarantees) {
	step := waitingStep.step
	if waitingStep.queue.Priority != 0 || step.spec.LongRunning || now.Before(step.nextReclaimAt) || planner.reservations.has(step) {
		return
	}
	stopTime := planner.bounds.StopTimeout + stopOrderSlack
	guaranteed := !now.Before(step.occurrence.dueAt.Add(planner.bounds.ReclaimTime-stopTime)) && guarantees.covers(step.occurrence.job)
	dueAt := waitingStep.latestStart.Add(-stopTime)
	isDue := !now.Before(dueAt)
	if !guaranteed && (waitingStep.late || !(isDue || planner.mayEvictEarly(now, step))) {
		return
	}
	if planner.stops != nil {
		planner.reclaimByLoss(now, waitingStep, pool, guaranteed, dueAt)
		return
	}
	maxCost := maxWasteFactor * step.estimatedWork(waitingStep.taskCount)
	preemption := planner.planPreemption(now, waitingStep, pool)
	if preemption == nil || (!guaranteed && preemption.cost > maxCost) {
		step.nextReclaimAt = now.Add(reclaimRetryDelay)
		return
	}
	planner.reservations.add(step, preemption.reservedCapacity, now.Add(planner.bounds.StopTimeout+reservationSlack))
	if len(preemption.runs) > 0 {
		planner.emitReclaimDecision(now, waitingStep, preemption, guaranteed)
	}
	for _, run := range preemption.runs {
		planner.stopRun(now, run, stopForPreemption, "preempted for "+string(step.occurrence.job.spec.ID))
	}
}

func (planner *Planner) emitReclaimDecision(now time.Time, waitingStep *waitingStep, preemption *preemption, guaranteed bool) {
	step := waitingStep.step
	reason := "needed for its objective"
	if guaranteed {
		reason = "needed for the guarantee of its workspace"
	}
	planner.emitDecision(string(step.occurrence.job.spec.ID), "reclaim", reason,
		fmt.Sprintf("step=%d tasks=%d stops=%d lost-core-seconds=%.0f own-core-seconds=%.0f", step.number, waitingStep.taskCount,
			len(preemption.runs), preemption.cost, step.estimatedWork(waitingStep.taskCount)), now.Sub(step.occurrence.dueAt))
}

// estimatedWork returns the estimated core-seconds of a number of the step's
// tasks.
func (step *step) estimatedWork(count int) float64 {
	return step.spec.EstimatedRunTime.Seconds() * float64(step.spec.Request.Times(count).Weight()) / specifier.MilliPerCore
}

// planPreemption returns where a step fits once the victims have ended, at the
// lowest cost that a greedy choice finds. It returns nil if it fits nowhere.
func (planner *Planner) planPreemption(now time.Time, waitingStep *waitingStep, pool *pool) *preemption {
	step := waitingStep.step
	if !step.spec.SameRack || !pool.fitsOnRack(step) {
		available := pool.available
		if step.spec.DataRack != "" && pool.fitsOnRack(step) {
			available = pool.availableOnRack(step.spec.DataRack)
		}
		return planner.planPreemptionOn(now, waitingStep, available)
	}
	var best *preemption
	for _, rack := range pool.racks {
		if step.spec.DataRack != "" && rack.name != step.spec.DataRack {
			continue
		}
		preemption := planner.planPreemptionOn(now, waitingStep, rack.available)
		if preemption != nil && (best == nil || preemption.cost < best.cost) {
			best = preemption
		}
	}
	return best
}

// preemption is the capacity for a step with the runs that must be stopped for
// it.
type preemption struct {
	reservedCapacity map[*minion]specifier.Resources
	runs             []*run
	// cost is the work that is lost, in core-seconds.
	cost float64
}

// planPreemptionOn finds capacity on the given minions, for each task where it
// costs least.
func (planner *Planner) planPreemptionOn(now time.Time, waitingStep *waitingStep, available []*minion) *preemption {
	candidates := planner.reclaimCandidates(now, waitingStep, available)
	planned := &preemption{reservedCapacity: make(map[*minion]specifier.Resources)}
	request := requiredCapacity(waitingStep.step.spec)
	for range waitingStep.taskCount {
		best := cheapest(candidates)
		if best == nil {
			return nil
		}
		planned.cost += best.cost
		planned.reservedCapacity[best.minion] = planned.reservedCapacity[best.minion].Add(request)
		for _, victim := range best.selected {
			planned.runs = append(planned.runs, victim.runs...)
			for _, candidate := range candidates {
				candidate.markStopped(victim)
			}
		}
		best.assignTask(request)
	}
	return planned
}

func cheapest(candidates []*reclaimCandidate) *reclaimCandidate {
	var best *reclaimCandidate
	for _, candidate := range candidates {
		if candidate.feasible && (best == nil || candidate.cost < best.cost) {
			best = candidate
		}
	}
	return best
}

// reclaimCandidates returns each minion with the cost of placing one task of
// the step there.
func (planner *Planner) reclaimCandidates(now time.Time, waitingStep *waitingStep, available []*minion) []*reclaimCandidate {
	request := requiredCapacity(waitingStep.step.spec)
	gangs := make(map[gangRunKey]*victim)
	candidates := make([]*reclaimCandidate, 0, len(available))
	for _, minion := range available {
		if !waitingStep.step.canRunOn(minion) {
			continue
		}
		candidate := &reclaimCandidate{
			minion: minion, remainingTasks: waitingStep.step.maxPerMinion(),
			free:    planner.reservations.freeCapacity(waitingStep.step, minion).Add(minion.stoppingCapacity()),
			victims: planner.victims(now, minion, gangs),
		}
		candidate.selectVictims(request)
		candidates = append(candidates, candidate)
	}
	return candidates
}

// stoppingCapacity returns what the runs that are being stopped will free.
func (minion *minion) stoppingCapacity() specifier.Resources {
	var sum specifier.Resources
	for _, run := range minion.runs {
		if run.state == stopping {
			sum = sum.Add(requiredCapacity(run.step.spec))
		}
	}
	return sum
}

// gangRunKey identifies one run of a gang.
type gangRunKey struct {
	job        identifier.Job
	occurrence int
	step       int
	number     uint64
}
