package planner

import (
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/querier"
)

// maxExplainedSteps limits the steps of an answer, because each has a forecast of its own.
const maxExplainedSteps = 8

// reservedStarts tells when capacity that is reserved for a step is expected to be free.
type reservedStarts interface {
	// reservedStart returns that time, false if nothing is reserved for the step.
	reservedStart(step *step) (time.Time, bool)
}

// reservedStarts returns all kinds of reservations.
func (planner *Planner) reservedStarts() []reservedStarts {
	return []reservedStarts{&planner.reservations, &planner.gangReservations}
}

// reservedStart implements reservedStarts. The victims have ended by then.
func (reservations *reservations) reservedStart(step *step) (time.Time, bool) {
	reservation := reservations.byStep[step]
	if reservation == nil {
		return time.Time{}, false
	}
	return reservation.until.Add(-reservationSlack), true
}

// explain returns why the steps of a job wait. It changes no state.
func (planner *Planner) explain(now time.Time, id identifier.Job) querier.Answer {
	answer := querier.Answer{IsHolder: true}
	job, ok := planner.jobs[id]
	if !ok || !job.submitted {
		return answer
	}
	explanation := querier.Explanation{
		Job: id, Queue: job.spec.Queue, Workspace: job.spec.Workspace, State: job.state, Failure: job.failure,
		Token: planner.holder.token, AsOf: now,
	}
	if job.isOpen() {
		planner.explainSteps(now, job, &explanation)
	}
	answer.Explanations = []querier.Explanation{explanation}
	return answer
}

func (planner *Planner) explainSteps(now time.Time, job *job, explanation *querier.Explanation) {
	steps := job.stepsToExplain(now)
	if len(steps) == 0 {
		return
	}
	shown := steps[:min(len(steps), maxExplainedSteps)]
	explanation.Omitted = len(steps) - len(shown)
	queue := planner.queue(job)
	order, check := planner.orderOfSteps(now), planner.newCapacityCheck(now)
	var forecast *forecast
	if queue != nil {
		forecast = planner.newForecast(now, queue.Service)
	}
	for _, step := range shown {
		explained := planner.explainStep(now, step, order, check)
		if queue != nil {
			explained.Late = now.After(step.latestStart(queue))
			explained.FittingMinions = forecast.pool.countFitting(step)
			before := order[:max(explained.Place-1, 0)]
			explained.ExpectedStart, explained.Basis = planner.expectedStart(now, step, before, forecast)
		}
		explanation.Steps = append(explanation.Steps, explained)
	}
}

// stepsToExplain returns the steps whose turn has come and that have nothing running, or
// tasks that could be started.
func (job *job) stepsToExplain(now time.Time) []*step {
	var steps []*step
	for _, occurrence := range job.occurrences {
		if now.Before(occurrence.dueAt) {
			break
		}
		for _, step := range occurrence.steps {
			if !step.isComplete() && step.isReady() && (!step.isWorking() || step.countStartableTasks(now) > 0) {
				steps = append(steps, step)
			}
		}
	}
	return steps
}

// orderOfSteps returns the waiting steps in the order of a pass.
func (planner *Planner) orderOfSteps(now time.Time) []*waitingStep {
	var order []*waitingStep
	for step, queue := range planner.dueSteps(now) {
		if waitingStep := step.urgency(now, queue); waitingStep != nil {
			order = append(order, waitingStep)
		}
	}
	planner.rankAgedSteps(now, order)
	slices.SortFunc(order, compareUrgency)
	return order
}

func (planner *Planner) explainStep(now time.Time, step *step, order []*waitingStep, check *capacityCheck) querier.WaitingStep {
	place := 1 + slices.IndexFunc(order, func(other *waitingStep) bool { return other.step == step })
	return querier.WaitingStep{
		Occurrence: step.occurrence.number, Step: step.number,
		Tasks: len(step.tasks) - step.done, Startable: step.countStartableTasks(now),
		Reason: planner.reportedReason(now, step, check).String(), Since: step.waitingSince, Place: place, Waiting: len(order),
	}
}

// expectedStart returns when a step is expected to start, with the basis of the expectation.
// The steps before it in the order are expected to use the capacity first.
func (planner *Planner) expectedStart(now time.Time, step *step, before []*waitingStep, forecast *forecast) (time.Time, querier.Basis) {
	for _, reserved := range planner.reservedStarts() {
		if at, ok := reserved.reservedStart(step); ok {
			return latest(at, now), querier.Reservation
		}
	}
	if !planner.waitReason(now, step).endsWithCapacity() {
		return time.Time{}, querier.Unknown
	}
	if at, ok := forecast.roomFreeAt(step); ok {
		return at.Add(forecast.timeFor(before)), querier.RoomFreeAt
	}
	return time.Time{}, querier.Unknown
}

// endsWithCapacity reports whether a step that waits for this reason starts soon after there
// is capacity for it.
func (reason waitReason) endsWithCapacity() bool {
	switch reason {
	case waitsForPass, waitsForCapacity, waitsForOrders, waitsForRecord, waitsForAdvice:
		return true
	}
	return false
}
