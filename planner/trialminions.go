package planner

import (
	"cmp"
	"slices"
	"time"
)

// minionsForTrial returns minions for the tasks of a trial, in their order: for all members of a
// gang, or for as many other tasks as fit on the minions that the trial may use.
func (planner *Planner) minionsForTrial(now time.Time, waitingStep *waitingStep, pool *pool) []*minion {
	idle := pool.filtered(func(minion *minion) bool { return len(minion.runs) == 0 })
	allowed := planner.trialLimit(pool, idle) - countTrials(pool)
	if allowed <= 0 {
		return nil
	}
	if waitingStep.step.spec.Gang {
		return planner.minionsForGang(now, waitingStep, pool, idle)
	}
	allowed = min(allowed, waitingStep.step.trialMinions())
	return planner.minionsForTasks(now, waitingStep, pool, idle, allowed)
}

// trialLimit returns how many minions of a pool may have a trial.
func (planner *Planner) trialLimit(pool, idle *pool) int {
	share := trialShare
	if !planner.hasWaitingSteps {
		share = undisputedTrialShare
	}
	return max(1, len(pool.registered)/share, (len(idle.available)+countTrials(pool))/idleTrialShare)
}

// countTrials returns the number of minions of a pool that have a trial, but for those whose
// runs have all passed. The minions of a gang count as one.
func countTrials(pool *pool) int {
	count, gangs := 0, make(map[*step]bool)
	for _, minion := range pool.registered {
		step := minion.trial
		if step == nil || gangs[step] || (step.trial == nil && minion.hasOnlyPassedRuns()) {
			continue
		}
		count++
		gangs[step] = step.spec.Gang
	}
	return count
}

func (minion *minion) hasOnlyPassedRuns() bool {
	for _, run := range minion.runs {
		if run.onTrial && !run.hasPassed {
			return false
		}
	}
	return true
}

func (planner *Planner) minionsForGang(now time.Time, waitingStep *waitingStep, pool, idle *pool) []*minion {
	chosen := planner.chooseMinions(waitingStep, idle, false)
	if len(chosen) < waitingStep.taskCount && waitingStep.step.hasWaitedForIdleMinion(now) {
		chosen = planner.chooseMinions(waitingStep, pool, false)
	}
	if len(chosen) < waitingStep.taskCount {
		return nil
	}
	return chosen
}

// minionsForTasks returns minions for as many of the tasks as fit on a number of minions: on
// those without runs, on those with runs of the step itself if some of its tasks have passed, or
// after a while on one with other runs.
func (planner *Planner) minionsForTasks(now time.Time, waitingStep *waitingStep, pool, idle *pool, allowed int) []*minion {
	step := waitingStep.step
	chosen := planner.chooseMinions(waitingStep, idle, false)
	if len(chosen) == 0 && step.passedTrials > 0 {
		chosen = planner.chooseMinions(waitingStep, pool.filtered(step.hasForItself), false)
	}
	if len(chosen) == 0 && step.hasWaitedForIdleMinion(now) {
		return planner.chooseByLoss(now, waitingStep, pool)
	}
	chosen = firstMinions(chosen, allowed)
	if step.spec.LongRunning && step.mostCrashes() > 1 { // one of the tasks may differ from the others
		return planner.spreadEvenly(waitingStep, idle, chosen, allowed)
	}
	return chosen
}

// spreadEvenly spreads as many tasks as there are chosen minions for evenly over the allowed
// number of idle minions. If one crashes, the tasks on the others are not suspect of that. If the
// tasks do not fit so, it returns the chosen minions.
func (planner *Planner) spreadEvenly(waitingStep *waitingStep, idle *pool, chosen []*minion, allowed int) []*minion {
	step, usable := waitingStep.step, 0
	for _, minion := range idle.available {
		if planner.taskCapacity(step, minion) > 0 {
			usable++
		}
	}
	limit := min(allowed, usable)
	if limit == 0 {
		return chosen
	}
	step.maxTrialTasks = (len(chosen) + limit - 1) / limit
	spread := firstMinions(planner.chooseMinions(waitingStep, idle, false), limit)
	step.maxTrialTasks = 0
	if len(spread) < len(chosen) {
		return chosen
	}
	return spread
}

// firstMinions returns the longest prefix with at most a number of different minions.
func firstMinions(chosen []*minion, limit int) []*minion {
	different := make(map[*minion]bool)
	for index, minion := range chosen {
		different[minion] = true
		if len(different) > limit {
			return chosen[:index]
		}
	}
	return chosen
}

// hasWaitedForIdleMinion reports whether the step has waited long enough for a minion without
// runs.
func (step *step) hasWaitedForIdleMinion(now time.Time) bool {
	return now.Sub(step.trialWantedSince) >= idleMinionWait
}

// hasForItself reports whether all runs of a minion are of the step.
func (step *step) hasForItself(minion *minion) bool {
	for _, run := range minion.runs {
		if run.step != step {
			return false
		}
	}
	return true
}

// chooseByLoss chooses among minions that have runs the one where a crash would lose least
// work, for as many of the tasks as fit there.
func (planner *Planner) chooseByLoss(now time.Time, waitingStep *waitingStep, pool *pool) []*minion {
	byLoss := slices.Clone(pool.available)
	slices.SortStableFunc(byLoss, func(one, other *minion) int { return cmp.Compare(one.workAtStake(now), other.workAtStake(now)) })
	for _, candidate := range byLoss {
		single := pool.filtered(func(minion *minion) bool { return minion == candidate })
		if chosen := planner.chooseMinions(waitingStep, single, false); len(chosen) > 0 {
			return chosen
		}
	}
	return nil
}

// workAtStake returns the core-seconds that a crash of the minion would lose.
func (minion *minion) workAtStake(now time.Time) float64 {
	sum := 0.0
	for _, run := range minion.runs {
		sum += run.lostWork(now)
	}
	return sum
}
