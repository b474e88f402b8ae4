package planner

import (
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// forecast is when the runs on the minions of a service are expected to end. It is made for
// one query, and changes no state of the planner.
type forecast struct {
	planner *Planner
	now     time.Time
	service identifier.Service
	pool    *pool
	// ends are the expected ends of the runs on minions that accept runs, earliest first.
	ends []expectedEnd
}

// expectedEnd is when a run is expected to end.
type expectedEnd struct {
	at  time.Time
	run *run
}

// newForecast returns the forecast for the minions of a service.
func (planner *Planner) newForecast(now time.Time, service identifier.Service) *forecast {
	forecast := &forecast{planner: planner, now: now, service: service, pool: newPool()}
	for _, minion := range planner.minions {
		if minion.report.Service != service {
			continue
		}
		forecast.pool.addMinion(minion, minion.acceptsRuns(now))
	}
	forecast.pool.crowded = isCrowded(forecast.pool.registered)
	for _, minion := range forecast.pool.available {
		for _, run := range minion.runs {
			if at, ok := forecast.endOf(run); ok {
				forecast.ends = append(forecast.ends, expectedEnd{at, run})
			}
		}
	}
	slices.SortFunc(forecast.ends, func(one, other expectedEnd) int { return one.at.Compare(other.at) })
	return forecast
}

// endOf returns when a run is expected to end, false if it may run for ever.
func (forecast *forecast) endOf(run *run) (time.Time, bool) {
	var at time.Time
	switch {
	case run.state == stopping:
		at = run.stopOrderedAt.Add(forecast.planner.bounds.StopTimeout)
	case run.step.spec.LongRunning:
		return time.Time{}, false
	default:
		at = run.extrapolatedEnd()
	}
	if overdue := forecast.now.Sub(at); overdue > 0 {
		at = forecast.now.Add(overdue) // the longer it is overdue, the less its estimate says
	}
	return at, true
}

// countFitting returns how many minions could hold a task of the step if nothing ran on them.
func (forecast *forecast) countFitting(step *step) int {
	count, request := 0, requiredCapacity(step.spec)
	for _, minion := range forecast.pool.registered {
		if step.canRunOn(minion) && minion.report.Capacity.Holds(request) {
			count++
		}
	}
	return count
}

// timeFor returns how long the minions that accept runs need for the estimated work of waiting
// steps, if they do nothing else.
func (forecast *forecast) timeFor(steps []*waitingStep) time.Duration {
	work, capacity := 0.0, 0
	for _, waitingStep := range steps {
		if waitingStep.queue.Service == forecast.service {
			work += waitingStep.step.estimatedWork(waitingStep.taskCount)
		}
	}
	for _, minion := range forecast.pool.available {
		capacity += minion.report.Capacity.Weight()
	}
	if capacity == 0 {
		return 0
	}
	return time.Duration(work * specifier.MilliPerCore / float64(capacity) * float64(time.Second))
}

// roomFreeAt returns when there is capacity for the step, false if the runs that end do not
// free enough. Steps before it in the order are not considered.
func (forecast *forecast) roomFreeAt(step *step) (time.Time, bool) {
	needed := 1
	if step.spec.Gang || (step.spec.SameRack && !step.hasRuns()) {
		needed = len(step.tasks) - step.done
	}
	rack := step.currentRack()
	if rack == "" {
		rack = step.spec.DataRack
	}
	if !forecast.requiresRack(step) {
		return forecast.roomFreeOn(step, needed, forecast.pool.available)
	}
	var earliest time.Time
	for _, candidate := range forecast.pool.racks {
		if rack != "" && candidate.name != rack {
			continue
		}
		if at, ok := forecast.roomFreeOn(step, needed, candidate.available); ok && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest, !earliest.IsZero()
}

func (forecast *forecast) requiresRack(step *step) bool {
	queue := forecast.planner.queue(step.occurrence.job)
	waitingStep := &waitingStep{step: step, queue: queue, late: forecast.now.After(step.latestStart(queue))}
	return step.requiresRack(forecast.now, waitingStep, forecast.pool)
}

// roomFreeOn returns when some minions have capacity for a number of the step's tasks.
func (forecast *forecast) roomFreeOn(step *step, needed int, minions []*minion) (time.Time, bool) {
	free := make(map[*minion]specifier.Resources, len(minions))
	room := 0
	for _, minion := range minions {
		if step.canRunOn(minion) {
			free[minion] = forecast.planner.reservations.freeCapacity(step, minion)
			room += step.fit(free[minion])
		}
	}
	if room >= needed {
		return forecast.now, true
	}
	for _, end := range forecast.ends {
		minion := end.run.minion
		before, ok := free[minion]
		if !ok {
			continue
		}
		free[minion] = before.Add(requiredCapacity(end.run.step.spec))
		room += step.fit(free[minion]) - step.fit(before)
		if room >= needed {
			return end.at, true
		}
	}
	return time.Time{}, false
}

// fit returns how many tasks of the step fit into an amount of capacity on one minion.
func (step *step) fit(free specifier.Resources) int {
	if !free.Holds(specifier.Resources{}) {
		return 0
	}
	return free.Fit(requiredCapacity(step.spec), step.maxPerMinion())
}
