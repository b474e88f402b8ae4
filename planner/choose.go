package planner

import (
	"cmp"
	"slices"
	"time"

	"corianderroad/identifier"
)

// rackWait is how long a step waits for its rack while less than half of the
// pool is in use.
const rackWait = 2 * time.Second

// chooseMinions returns a minion with free capacity for each waiting task of
// the step, up to the first task that does not fit.
func (planner *Planner) chooseMinions(waitingStep *waitingStep, pool *pool, rackRequired bool) []*minion {
	step := waitingStep.step
	if step.spec.SameRack {
		if chosen := planner.chooseOnOneRack(step, waitingStep.taskIndexes, pool, rackRequired); chosen != nil || rackRequired {
			return chosen
		}
	}
	available := pool.available
	if step.spec.DataRack != "" && rackRequired && !step.spec.SameRack {
		available = pool.availableOnRack(step.spec.DataRack)
	}
	return planner.assignTasks(step, waitingStep.taskIndexes, pool, available)
}

func (pool *pool) availableOnRack(name identifier.Rack) []*minion {
	if rack := pool.byRack[name]; rack != nil {
		return rack.available
	}
	return nil
}

// canRunOn reports whether the step may run on a minion, whatever its free
// capacity.
func (step *step) canRunOn(minion *minion) bool {
	return (step.spec.Label == "" || minion.hasLabel(step.spec.Label)) && step.isAllowed(minion) && !step.avoids(minion)
}

// requiresRack reports whether the step must run on its rack and waits until it can,
// instead of running slowly elsewhere. No step waits longer than rackWait if it is
// long-running or the pool is not crowded.
func (step *step) requiresRack(now time.Time, waitingStep *waitingStep, pool *pool) bool {
	mayWaitLonger := pool.crowded && !step.spec.LongRunning
	return (now.Sub(step.waitingSince) < rackWait || mayWaitLonger) && step.wantsRack(waitingStep, pool)
}

// wantsRack reports whether the step requires its rack at least at the beginning of its wait.
// A step that is late does not unless it is long-running, and no step requires a rack that
// can never hold it.
func (step *step) wantsRack(waitingStep *waitingStep, pool *pool) bool {
	if !step.spec.SameRack && step.spec.DataRack == "" {
		return false
	}
	if waitingStep.late && !step.spec.LongRunning {
		return false
	}
	return pool.fitsOnRack(step)
}

// maxPerMinion returns the limit on tasks of the step per minion.
func (step *step) maxPerMinion() int {
	if step.spec.MaxPerMinion > 0 {
		return step.spec.MaxPerMinion
	}
	return len(step.tasks)
}

// taskLimit returns how many more tasks of a step the minion may take, whatever its free
// capacity.
func (minion *minion) taskLimit(step *step) int {
	if minion.isHeadroom && !step.mayUseHeadroom() {
		return 0
	}
	limit := step.maxPerMinion()
	if step.maxTrialTasks > 0 {
		limit = min(limit, step.maxTrialTasks)
	}
	if step.spec.MaxPerMinion > 0 {
		for _, run := range minion.runs {
			if run.step == step {
				limit--
			}
		}
	}
	if minion.isExpiring() {
		limit = min(limit, minion.expiringRunLimit(step))
	}
	if !minion.probedAt.IsZero() {
		limit = min(limit, minion.probeLimit(step))
	}
	return limit
}

// taskCapacity returns how many more tasks of the step fit on a minion now.
func (planner *Planner) taskCapacity(step *step, minion *minion) int {
	limit := minion.taskLimit(step)
	if limit <= 0 || !step.canRunOn(minion) || minion.isOverCapacity() {
		return 0
	}
	request := requiredCapacity(step.spec)
	return minion.outlook.Fit(step.restrictions, request, planner.reservations.freeCapacity(step, minion).Fit(request, limit))
}

// chooseOnOneRack returns minions of one rack that hold all the given tasks. It
// chooses the rack with the fewest tasks on cold minions, then the one with the least
// capacity left over, so that large blocks stay free. Without such a rack it returns nil.
func (planner *Planner) chooseOnOneRack(step *step, indexes []int, pool *pool, rackRequired bool) []*minion {
	wantedRack := step.currentRack()
	if wantedRack == "" && rackRequired {
		wantedRack = step.spec.DataRack
	}
	var best *rack
	bestCapacity, bestColdTasks := 0, 0
	for _, rack := range pool.racks {
		if wantedRack != "" && rack.name != wantedRack {
			continue
		}
		capacity, coldCapacity := 0, 0
		for _, minion := range rack.available {
			taskCapacity := planner.taskCapacity(step, minion)
			capacity += taskCapacity
			if minion.isCold {
				coldCapacity += taskCapacity
			}
		}
		if capacity < len(indexes) {
			continue
		}
		coldTasks := max(0, len(indexes)-(capacity-coldCapacity))
		if best == nil || cmp.Or(cmp.Compare(coldTasks, bestColdTasks), cmp.Compare(capacity, bestCapacity), cmp.Compare(rack.name, best.name)) < 0 {
			best, bestCapacity, bestColdTasks = rack, capacity, coldTasks
		}
	}
	if best == nil {
		return nil
	}
	return planner.assignTasks(step, indexes, pool, best.available)
}

// currentRack returns the rack on which tasks of the step already run. A rack of an evacuated
// domain does not count, because no task can join them there. The members of a gang start
// together, so that none joins a run.
func (step *step) currentRack() identifier.Rack {
	if step.spec.Gang {
		return ""
	}
	for index := range step.tasks {
		if run := step.tasks[index].run; run != nil && !run.minion.isEvacuated() {
			return run.minion.rack
		}
	}
	return ""
}

// candidate is a minion with free capacity for tasks of a step.
type candidate struct {
	minion       *minion
	taskCapacity int
	// penalty is 0 for the minions that the step prefers most.
	penalty int
	// remaining is the free capacity of the minion after one more task.
	remaining int
	// rackUsage is how much of the minion's rack is in use.
	rackUsage int
}

// Bits of a candidate's penalty, the most important last.
const (
	withoutTicket = 1 << iota
	mixedLoad
	outsideDataRack
	slowAfterStart
	halfOpen
	stalledBefore
)

// assignTasks returns a minion for each task, up to the first task that does
// not fit. Minions on which runs make progress come first, then those that are
// not half-open, then those that are not cold, then those near the data, then
// those without a mix of serving and backfill tasks, then those with a ticket,
// then those with the least capacity left, on the racks that are used most.
func (planner *Planner) assignTasks(step *step, indexes []int, pool *pool, available []*minion) []*minion {
	candidates := planner.candidates(step, pool, available)
	slices.SortFunc(candidates, func(one, other candidate) int {
		return cmp.Or(
			one.penalty-other.penalty, one.remaining-other.remaining, other.rackUsage-one.rackUsage, one.minion.nameIndex-other.minion.nameIndex,
		)
	})
	var chosen []*minion
	for _, index := range indexes {
		for len(candidates) > 0 && candidates[0].taskCapacity == 0 {
			candidates = candidates[1:]
		}
		if len(candidates) == 0 {
			break
		}
		best := preferOtherThan(candidates, step.tasks[index].history().lastFailedOn)
		best.taskCapacity--
		chosen = append(chosen, best.minion)
	}
	return chosen
}

// preferOtherThan returns the first candidate with free capacity that is not
// the minion on which the task failed last. If there is no other, it returns
// that minion.
func preferOtherThan(candidates []candidate, failedOn identifier.Minion) *candidate {
	for index := range candidates {
		if candidates[index].taskCapacity > 0 && candidates[index].minion.report.Minion != failedOn {
			return &candidates[index]
		}
	}
	return &candidates[0]
}

func (planner *Planner) candidates(step *step, pool *pool, available []*minion) []candidate {
	candidates := make([]candidate, 0, len(available))
	request := requiredCapacity(step.spec)
	for _, minion := range available {
		taskCapacity := planner.taskCapacity(step, minion)
		if taskCapacity == 0 {
			continue
		}
		penalty := 0
		if step.spec.DataRack != "" && minion.rack != step.spec.DataRack {
			penalty |= outsideDataRack
		}
		if minion.isCold {
			penalty |= slowAfterStart
		}
		if minion.isAvoided || step.hasStalledOn(minion) {
			penalty |= stalledBefore
		}
		if !minion.probedAt.IsZero() {
			penalty |= halfOpen
		}
		if step.mixesLoad(minion) {
			penalty |= mixedLoad
		}
		if step.advice != nil && step.ticket(minion) == "" {
			penalty |= withoutTicket
		}
		candidates = append(candidates, candidate{
			minion: minion, taskCapacity: taskCapacity, penalty: penalty, rackUsage: pool.byRack[minion.rack].usage,
			remaining: planner.reservations.freeCapacity(step, minion).Sub(request).Weight(),
		})
	}
	return candidates
}

// mixesLoad reports whether the step's tasks would put serving and backfill
// tasks together on the minion.
func (step *step) mixesLoad(minion *minion) bool {
	if !step.spec.Backfill && step.spec.LatencyTarget == 0 {
		return false
	}
	for _, run := range minion.runs {
		if (step.spec.Backfill && run.step.spec.LatencyTarget > 0) || (step.spec.LatencyTarget > 0 && run.step.spec.Backfill) {
			return true
		}
	}
	return false
}
