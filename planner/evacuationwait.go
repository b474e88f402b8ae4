package planner

import (
	"time"

	"corianderroad/identifier"
)

// capacityCheck tells for the steps of one report or query whether they would fit if no failure
// domain was evacuated.
type capacityCheck struct {
	planner *Planner
	// usable are the pools of a pass. In withEvacuated the minions of evacuated domains are
	// available too.
	usable, withEvacuated map[identifier.Service]*pool
	// results holds the result for each kind of demand.
	results map[rackDemand]bool
}

// newCapacityCheck returns the check, nil if no domain is evacuated. It changes no state
// of the planner, because a query uses it too.
func (planner *Planner) newCapacityCheck(now time.Time) *capacityCheck {
	if len(planner.evacuations.requested) == 0 {
		return nil
	}
	check := &capacityCheck{
		planner: planner, usable: make(map[identifier.Service]*pool), withEvacuated: make(map[identifier.Service]*pool), results: make(map[rackDemand]bool),
	}
	for _, minion := range planner.minions {
		service := minion.report.Service
		if check.withEvacuated[service] == nil {
			check.withEvacuated[service], check.usable[service] = newPool(), newPool()
		}
		state := minion.availability(now)
		check.usable[service].addMinion(minion, state == accepting)
		check.withEvacuated[service].addMinion(minion, state == accepting || state == evacuated)
	}
	return check
}

// awaitsEvacuated reports whether a step without capacity would fit if no domain was evacuated.
func (capacityCheck *capacityCheck) awaitsEvacuated(now time.Time, step *step) bool {
	if capacityCheck == nil {
		return false
	}
	queue := capacityCheck.planner.queue(step.occurrence.job)
	tasks := step.startableTasks(now)
	if queue == nil || len(tasks) == 0 {
		return false
	}
	key := rackDemand{step.demand(false), 1}
	if step.spec.Gang {
		key.tasks = len(tasks)
	}
	result, cached := capacityCheck.results[key]
	if !cached || !step.isCacheable() {
		waitingStep := &waitingStep{step: step, queue: queue, taskCount: key.tasks, taskIndexes: tasks[:key.tasks]}
		fits := func(pool *pool) bool {
			return pool != nil && len(capacityCheck.planner.chooseMinions(waitingStep, pool, false)) == key.tasks
		}
		result = fits(capacityCheck.withEvacuated[queue.Service]) && !fits(capacityCheck.usable[queue.Service])
		capacityCheck.results[key] = result
	}
	return result
}
