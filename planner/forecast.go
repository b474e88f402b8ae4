package planner

import (
	"time"

	"corianderroad/forecaster"
	"corianderroad/identifier"
	"corianderroad/specifier"
)

// forecast is when the minions of a service have capacity for waiting steps. It is made for one
// query, and changes no state of the planner.
type forecast struct {
	planner *Planner
	now     time.Time
	service identifier.Service
	pool    *pool
	// capacity has the minions that accept runs, in the order of the pool.
	capacity *forecaster.Forecaster
}

// newForecast returns the forecast for the minions of a service.
func (planner *Planner) newForecast(now time.Time, service identifier.Service) *forecast {
	forecast := &forecast{planner: planner, now: now, service: service, pool: newPool(), capacity: forecaster.New(now)}
	for _, minion := range planner.minions {
		if minion.report.Service == service {
			forecast.pool.addMinion(minion, minion.acceptsRuns(now))
		}
	}
	forecast.pool.crowded = isCrowded(forecast.pool.registered)
	for _, minion := range forecast.pool.available {
		index := forecast.capacity.AddMinion(forecaster.Minion{
			Rack: minion.rack, Capacity: minion.report.Capacity, Free: minion.freeCapacity().Sub(minion.reserved),
		})
		for _, run := range minion.runs {
			forecast.capacity.AddRun(index, run.known(planner.bounds.StopTimeout), requiredCapacity(run.step.spec))
		}
	}
	return forecast
}

// timeFor returns how long the minions that accept runs need for the estimated work of waiting
// steps, if they do nothing else.
func (forecast *forecast) timeFor(steps []*waitingStep) time.Duration {
	work := 0.0
	for _, waitingStep := range steps {
		if waitingStep.queue.Service == forecast.service {
			work += waitingStep.step.estimatedWork(waitingStep.taskCount)
		}
	}
	return forecast.capacity.TimeFor(work)
}

// roomFreeAt returns when there is capacity for the step, false if the runs that end do not
// free enough. Steps before it in the order are not considered.
func (forecast *forecast) roomFreeAt(step *step) (time.Time, bool) {
	reserved := forecast.planner.reservations.capacityFor(step)
	demand := &forecaster.Demand{
		Tasks: 1, Request: requiredCapacity(step.spec), MaxPerMinion: step.maxPerMinion(),
		IsOnOneRack: forecast.requiresRack(step), Rack: step.currentRack(),
		CanRunOn:   func(minion int) bool { return step.canRunOn(forecast.pool.available[minion]) },
		ReservedOn: func(minion int) specifier.Resources { return reserved[forecast.pool.available[minion]] },
	}
	if step.spec.Gang || (step.spec.SameRack && !step.hasRuns()) {
		demand.Tasks = len(step.tasks) - step.done
	}
	if demand.Rack == "" {
		demand.Rack = step.spec.DataRack
	}
	return forecast.capacity.RoomAt(demand)
}

func (forecast *forecast) requiresRack(step *step) bool {
	queue := forecast.planner.queue(step.occurrence.job)
	waitingStep := &waitingStep{step: step, queue: queue, late: forecast.now.After(step.latestStart(queue))}
	return step.requiresRack(forecast.now, waitingStep, forecast.pool)
}

// known returns what is known of the run for the estimates of its end. A stop takes as long as
// stopTimeout at most.
func (run *run) known(stopTimeout time.Duration) forecaster.Run {
	return forecaster.Run{
		StartedAt: run.startedAt, RunTime: run.minion.timeFor(run.step.spec.EstimatedRunTime), IsLongRunning: run.step.spec.LongRunning, IsAdopted: run.isAdopted,
		IsStopping: run.state == stopping, StopsBy: run.stopOrderedAt.Add(stopTimeout),
		Percent: run.progressPercent, ProgressAt: run.progressAt,
		IsObserved: run.work.isObserved, FirstPercent: run.work.firstPercent, FirstAt: run.work.firstAt,
	}
}

// expectedRunTime returns the time from the decision to start a task of the step until its
// expected end.
func (step *step) expectedRunTime() time.Duration {
	return forecaster.StartDelay + step.spec.EstimatedRunTime
}

// likelyEnd returns when a run is likely to end.
func (planner *Planner) likelyEnd(now time.Time, run *run) time.Time {
	end := run.known(planner.bounds.StopTimeout).LikelyEnd(now)
	if run.state == stopping {
		return end
	}
	return end.Add(run.profile.StalledFor()) // it is expected to make no progress for as long again
}

// likelyEndOf returns when the last of the runs is likely to end.
func (planner *Planner) likelyEndOf(now time.Time, runs []*run) time.Time {
	var last time.Time
	for _, run := range runs {
		last = latest(last, planner.likelyEnd(now, run))
	}
	return last
}

// expectedEndOf returns when the last of the runs is expected to end by their progress, the zero
// time if it is not known of one, or if one makes no progress.
func expectedEndOf(runs []*run) time.Time {
	var last time.Time
	for _, run := range runs {
		end := run.known(0).EndByProgress()
		if end.IsZero() || run.profile.HasStalled() {
			return time.Time{}
		}
		last = latest(last, end)
	}
	return last
}

func latest(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

func earliest(one, other time.Time) time.Time {
	if one.Before(other) {
		return one
	}
	return other
}
