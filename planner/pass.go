package planner

import (
	"cmp"
	"slices"
	"time"

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
}

// runPass starts the tasks that can be started. It runs when an event may have
// made a start possible, but no more often than passInterval allows.
func (planner *Planner) runPass(now time.Time) {
	since := now.Sub(planner.lastPassAt)
	if since < planner.passInterval || (!planner.passNeeded && since < idleInterval) {
		return
	}
	planner.lastPassAt, planner.passNeeded = now, false
	planner.reservations.expire(now)
	pools := planner.newPools(now)
	steps := planner.waitingSteps(now)
	planner.passInterval = min(minPassInterval+time.Duration(len(steps))*passIntervalPerStep, maxPassInterval)
	guarantees := &guarantees{planner: planner}
	for index, waitingStep := range steps {
		if len(planner.pendingOrders) >= maxPendingOrders {
			planner.passNeeded = true
			markWaitingForOrders(steps[index:])
			break
		}
		pool := pools[waitingStep.queue.Service]
		if pool == nil {
			waitingStep.step.passResult = waitsForMinions
		} else if !planner.placeStep(now, waitingStep, pool) {
			planner.reclaim(now, waitingStep, pool, guarantees)
		}
	}
}

func markWaitingForOrders(steps []*waitingStep) {
	for _, waitingStep := range steps {
		waitingStep.step.passResult = waitsForOrders
	}
}

// waitingSteps returns the steps that could start, the most urgent first. It ends the
// jobs with a task that must not start again.
func (planner *Planner) waitingSteps(now time.Time) []*waitingStep {
	var steps []*waitingStep
	var exhausted []*job
	for _, job := range planner.openJobs {
		queue := planner.queue(job)
		if queue == nil {
			continue
		}
		for _, occurrence := range job.occurrences {
			if now.Before(occurrence.dueAt) {
				break
			}
			for _, step := range occurrence.steps {
				if step.hasExhaustedTask(now, queue) {
					exhausted = append(exhausted, job)
					continue
				}
				planner.stopIncompleteGang(now, step)
				planner.reserveRuns(now, step)
				if waitingStep := step.waitingStep(now, queue); waitingStep != nil {
					steps = append(steps, waitingStep)
				}
			}
		}
	}
	planner.endExhaustedJobs(now, exhausted)
	slices.SortFunc(steps, compareUrgency)
	return slices.DeleteFunc(steps, func(waitingStep *waitingStep) bool { return !waitingStep.step.occurrence.job.isOpen() })
}

// hasExhaustedTask reports whether a task that waits for a run has used all its attempts.
// Its job has not ended if the queue was unknown, or allowed more attempts, when the last
// one failed.
func (step *step) hasExhaustedTask(now time.Time, queue *specifier.Queue) bool {
	if step.isComplete() || !step.isReady() {
		return false
	}
	for index := range step.tasks {
		task := &step.tasks[index]
		if len(task.failedRuns) == 0 || !task.isIdle(now) {
			continue
		}
		if len(task.failedRuns) >= queue.Attempts || (step.spec.Gang && step.failedAttempts() >= queue.Attempts) {
			return true
		}
	}
	return false
}

func (planner *Planner) endExhaustedJobs(now time.Time, jobs []*job) {
	slices.SortFunc(jobs, func(one, other *job) int { return cmp.Compare(one.arrival, other.arrival) })
	for _, job := range slices.Compact(jobs) {
		planner.endJob(now, job, specifier.Failed, "a task has used all its attempts")
	}
}

// waitingStep returns the step with its urgency, nil if it has no task to
// start.
func (step *step) waitingStep(now time.Time, queue *specifier.Queue) *waitingStep {
	if step.isComplete() || !step.isReady() || (step.spec.Gang && step.hasUnresolvedTask()) {
		step.waitingSince = time.Time{}
		return nil
	}
	count := step.countStartableTasks(now)
	if count == 0 {
		step.waitingSince = time.Time{}
		return nil
	}
	if step.waitingSince.IsZero() {
		step.waitingSince = now
	}
	latestStart := step.latestStart(queue)
	return &waitingStep{step: step, queue: queue, taskCount: count, latestStart: latestStart, late: now.After(latestStart)}
}

func (step *step) hasIdleTask(now time.Time) bool {
	for index := range step.tasks {
		if step.tasks[index].isIdle(now) {
			return true
		}
	}
	return false
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
	objective := occurrence.dueAt.Add(time.Duration(queue.Stretch*float64(occurrence.criticalPath)) + queue.Slack)
	return objective.Add(-step.criticalPath)
}

// criticalPath returns the longest chain of estimated run times that starts at
// the given step or a later one. With 0 it covers all steps.
func criticalPath(steps []specifier.Step, from int) time.Duration {
	endTimes := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for index := from; index < len(steps); index++ {
		start := time.Duration(0)
		for _, earlier := range steps[index].DependsOn {
			start = max(start, endTimes[earlier])
		}
		endTimes[index] = start + steps[index].EstimatedRunTime
		longest = max(longest, endTimes[index])
	}
	return longest
}

// compareUrgency orders waiting steps. Long-running tasks come first, because
// they do no useful work while they are unavailable, then the queues by
// priority, then the steps that can still be on time, the most urgent first.
func compareUrgency(one, other *waitingStep) int {
	return cmp.Or(
		-compareBool(one.step.spec.LongRunning, other.step.spec.LongRunning),
		cmp.Compare(one.queue.Priority, other.queue.Priority),
		compareBool(one.late, other.late),
		one.latestStart.Compare(other.latestStart),
		cmp.Compare(one.step.occurrence.job.arrival, other.step.occurrence.job.arrival),
		cmp.Compare(one.step.occurrence.number, other.step.occurrence.number),
		cmp.Compare(one.step.number, other.step.number),
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
