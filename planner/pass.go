package planner

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// waitingStep is a step with tasks that could be started.
type waitingStep struct {
	step  *step
	queue *specifier.Queue
	// taskCount is the number of such tasks. taskIndexes are their indexes, set
	// when minions are searched for them.
	taskCount   int
	taskIndexes []int
	// latestStart is when the step must start for its job to be on time.
	latestStart time.Time
	// late means that the job can't be on time any more.
	late bool
	// rank orders the steps of a priority. aged means that the step is late and has waited
	// for so long that it may start before those that can be on time.
	rank rank
	aged bool
}

// runPass starts the tasks that can be started. It runs when an event may have
// made a start possible, but no more often than passInterval allows.
func (planner *Planner) runPass(now time.Time) {
	since := now.Sub(planner.lastPassAt)
	if since < planner.passInterval || (!planner.passNeeded && since < idleInterval) {
		return
	}
	planner.lastPassAt, planner.passNeeded, planner.hasUnrecordedStarts = now, false, false
	planner.reservations.expire(now)
	planner.reopenMinions()
	planner.prepareSteps(now)
	suspects := planner.suspectSteps(now)
	steps := planner.waitingSteps(now)
	planner.publishWaits(now, steps)
	planner.passInterval = min(minPassInterval+time.Duration(len(steps))*passIntervalPerStep+
		time.Duration(len(planner.minions))*passIntervalPerMinion, maxPassInterval)
	if len(steps)+len(suspects) == 0 {
		planner.giveUpReservations(now)
		return // most passes of a pool with room, which need no look at its minions
	}
	pools := planner.newPools(now)
	planner.hasWaitingSteps = len(steps) > 0
	planner.runTrials(now, suspects, pools)
	if planner.placeSteps(now, steps, pools) {
		planner.planReservations(now, steps, pools)
	}
}

// placeSteps starts the tasks of the steps that fit. It reports whether it has considered
// all steps.
func (planner *Planner) placeSteps(now time.Time, steps []*waitingStep, pools map[identifier.Service]*pool) bool {
	guarantees := &guarantees{planner: planner}
	planner.earlySearches.beginPass(now)
	planner.allowance = planner.newRunAllowance()
	for index, waitingStep := range steps {
		if len(planner.pendingOrders) >= maxPendingOrders {
			planner.passNeeded = true
			markWaitingForOrders(steps[index:])
			return false
		}
		pool := pools[waitingStep.queue.Service]
		if pool == nil {
			waitingStep.step.passResult = waitsForMinions
		} else if reason, outdated := planner.outdatedReading(now, waitingStep.queue.Service); outdated {
			waitingStep.step.passResult = reason
		} else if !planner.placeStep(now, waitingStep, pool) {
			planner.reclaim(now, waitingStep, pool, guarantees)
		}
	}
	return true
}

func markWaitingForOrders(steps []*waitingStep) {
	for _, waitingStep := range steps {
		waitingStep.step.passResult = waitsForOrders
	}
}

// waitingSteps returns the steps that could start, the most urgent first.
func (planner *Planner) waitingSteps(now time.Time) []*waitingStep {
	var steps []*waitingStep
	for step, queue := range planner.dueSteps(now) {
		wasWaiting := !step.waitingSince.IsZero()
		if waitingStep := step.waitingStep(now, queue); waitingStep != nil {
			step.isUrgent = queue.Priority == 0
			if !wasWaiting {
				planner.noteUrgentArrival(now, waitingStep)
			}
			steps = append(steps, waitingStep)
		}
	}
	planner.aging.limit(planner.rankAgedSteps(now, steps))
	slices.SortFunc(steps, compareUrgency)
	return steps
}

// dueSteps yields the steps of the open jobs that are due, in no certain order, with
// their queues.
func (planner *Planner) dueSteps(now time.Time) iter.Seq2[*step, *specifier.Queue] {
	return func(yield func(*step, *specifier.Queue) bool) {
		for _, job := range planner.openJobs {
			queue := planner.queue(job)
			if queue == nil {
				continue
			}
			for step := range job.dueSteps(now) {
				if !yield(step, queue) {
					return
				}
			}
		}
	}
}

// waitingStep returns the step with its urgency, nil if it has no task to
// start, and notes since when it waits.
func (step *step) waitingStep(now time.Time, queue *specifier.Queue) *waitingStep {
	waitingStep := step.urgency(now, queue)
	switch {
	case waitingStep == nil:
		step.waitingSince = time.Time{}
	case step.waitingSince.IsZero():
		step.waitingSince = now
	}
	return waitingStep
}

// urgency returns the step with its urgency, nil if it has no task to start.
func (step *step) urgency(now time.Time, queue *specifier.Queue) *waitingStep {
	if step.isComplete() || !step.isReady() || (step.spec.Gang && step.hasUnresolvedTask()) || step.awaitsTrial() {
		return nil
	}
	count := step.countStartableTasks(now)
	if count == 0 {
		return nil
	}
	latestStart := step.latestStart(queue)
	late, rank := now.After(latestStart), timelyRank
	if late {
		rank = lateRank
	}
	return &waitingStep{step: step, queue: queue, taskCount: count, latestStart: latestStart, late: late, rank: rank}
}

// hasUnresolvedTask reports whether a task of the step may run on a minion that
// has not reported it.
func (step *step) hasUnresolvedTask() bool {
	for index := range step.tasks {
		if step.tasks[index].unresolved {
			return true
		}
	}
	return false
}

// latestStart returns when the step must start for the occurrence to end within
// the queue's objective, by the submitter's estimates.
func (step *step) latestStart(queue *specifier.Queue) time.Time {
	occurrence := step.occurrence
	objective := occurrence.dueAt.Add(queue.Objective(occurrence.criticalPath))
	return objective.Add(-step.criticalPath)
}

// compareUrgency orders waiting steps. Long-running tasks come first, because
// they do no useful work while they are unavailable, then the queues by
// priority, then the aged steps as far as their share allows, then those that can still
// be on time, the most urgent first.
func compareUrgency(one, other *waitingStep) int {
	return cmp.Or(
		-compareBool(one.step.spec.LongRunning, other.step.spec.LongRunning),
		cmp.Compare(one.queue.Priority, other.queue.Priority),
		cmp.Compare(one.rank, other.rank),
		one.latestStart.Compare(other.latestStart),
		compareArrival(one.step, other.step),
	)
}

func compareBool(one, other bool) int {
	switch {
	case one == other:
		return 0
	case other:
		return -1
	default:
		return 1
	}
}
