package planner

import (
	"cmp"
	"slices"
	"time"

	"corianderroad/accountant"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// prepareSteps does what must precede the starts of a pass: it ends the jobs whose
// attempts are used up, stops incomplete gangs and reserves the numbers of repeated runs.
func (planner *Planner) prepareSteps(now time.Time) {
	planner.settleCrashes(now)
	var steps []*step
	for step, queue := range planner.dueSteps(now) {
		if !step.isReady() || !step.hasIdleTask(now) {
			continue
		}
		if step.hasExhaustedTask(now, queue) || step.hasGivenUpTask(now) || step.isIncompleteGang(now) || step.needsRunNumbers(now) {
			steps = append(steps, step)
		}
	}
	slices.SortFunc(steps, compareArrival)
	for _, step := range steps {
		job := step.occurrence.job
		switch {
		case !job.isOpen(): // another step has ended it
		case step.hasExhaustedTask(now, planner.queue(job)):
			planner.endJob(now, job, specifier.Failed, step.attemptsReason(planner.queue(job).Attempts))
		case step.hasGivenUpTask(now):
			planner.giveUp(now, step)
		case step.isIncompleteGang(now):
			planner.stopGang(now, step)
		default:
			planner.reserveRuns(now, step)
		}
	}
}

// compareArrival orders steps by the arrival of their jobs.
func compareArrival(one, other *step) int {
	return cmp.Or(
		cmp.Compare(one.occurrence.job.arrival, other.occurrence.job.arrival),
		cmp.Compare(one.occurrence.number, other.occurrence.number),
		cmp.Compare(one.number, other.number),
	)
}

func (step *step) hasIdleTask(now time.Time) bool {
	for index := range step.tasks {
		if step.tasks[index].isIdle(now) {
			return true
		}
	}
	return false
}

// hasExhaustedTask reports whether a task that waits for a run has used all its attempts.
// Its job has not ended if the queue was unknown, or allowed more attempts, when the last
// one failed.
func (step *step) hasExhaustedTask(now time.Time, queue *specifier.Queue) bool {
	for index := range step.tasks {
		task := &step.tasks[index]
		if len(task.history().failedRuns) == 0 || !task.isIdle(now) {
			continue
		}
		if len(task.history().failedRuns) >= queue.Attempts || (step.spec.Gang && step.failedAttempts() >= queue.Attempts) {
			return true
		}
	}
	return false
}

// hasGivenUpTask reports whether minions have crashed under a task of the step so often that
// it must not start again.
func (step *step) hasGivenUpTask(now time.Time) bool { return step.givenUpTask(now) >= 0 }

// givenUpTask returns the index of such a task, negative if there is none.
func (step *step) givenUpTask(now time.Time) int {
	for _, index := range step.crashedTasks {
		task := &step.tasks[index]
		isGivenUp := task.isGivenUp() || (step.spec.Gang && step.isGangGivenUp(task))
		if isGivenUp && !task.awaitsEvidence(now) {
			return index
		}
	}
	return -1
}

// giveUp ends the job of a step with a task that crashes its minions.
func (planner *Planner) giveUp(now time.Time, step *step) {
	index := step.givenUpTask(now)
	planner.emit(messenger.Count{Counter: messenger.Crashes, Reason: countGivenUp})
	planner.endJob(now, step.occurrence.job, specifier.Failed, step.crashReason(index))
}

// isIncompleteGang reports whether some members of a gang run without another one, for
// example when a takeover found only some of them.
func (step *step) isIncompleteGang(now time.Time) bool {
	if !step.spec.Gang || step.hasUnresolvedTask() {
		return false
	}
	hasIdle, hasRunning := false, false
	for index := range step.tasks {
		task := &step.tasks[index]
		hasIdle = hasIdle || task.isIdle(now)
		hasRunning = hasRunning || (task.run != nil && task.run.state != stopping)
	}
	return hasIdle && hasRunning
}

func (planner *Planner) stopGang(now time.Time, step *step) {
	for index := range step.tasks {
		if run := step.tasks[index].run; run != nil {
			planner.stopRun(now, run, accountant.StopForIncompleteGang, "its gang is incomplete")
		}
	}
}
