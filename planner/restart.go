package planner

import (
	"time"

	"corianderroad/specifier"
)

// A run after the first of its task starts only once its number is in the journal.
// The next holder therefore knows the newest run that may exist, and recognizes the
// end of an earlier one. The list of minions can't tell: entries expire while the
// store or the path to it is down, although the minions continue to work.

// isRestart reports whether the next run of the task may not be its first.
func (task *task) isRestart() bool { return task.inherited || task.latestRun > 0 }

// mayStart reports whether the journal allows the next run of the task.
func (task *task) mayStart() bool {
	if task.restart().reservedRun > 0 {
		return task.restart().reservedRun <= task.restart().recordedRun
	}
	return !task.isRestart()
}

// needsRunNumber reports whether the task waits for a run after its first and has no
// number for it.
func (task *task) needsRunNumber(now time.Time) bool {
	return task.isIdle(now) && task.isRestart() && task.restart().reservedRun == 0
}

// needsRunNumbers reports whether numbers must be reserved for tasks of the step.
func (step *step) needsRunNumbers(now time.Time) bool {
	if step.awaitsTrial() {
		return false // they are reserved with the minions of a trial
	}
	if step.spec.Gang {
		return step.needsGangRunNumber(now)
	}
	for index := range step.tasks {
		if step.tasks[index].needsRunNumber(now) {
			return true
		}
	}
	return false
}

// needsGangRunNumber reports whether all members of the gang wait for a run, one of them
// for a run after its first, and have no common number for it.
func (step *step) needsGangRunNumber(now time.Time) bool {
	common := step.tasks[0].restart().reservedRun
	isRestart, isReserved := false, common > 0
	for index := range step.tasks {
		task := &step.tasks[index]
		if !task.isIdle(now) {
			return false
		}
		isRestart = isRestart || task.isRestart()
		isReserved = isReserved && task.restart().reservedRun == common
	}
	return isRestart && !isReserved
}

// reserveRuns reserves the numbers of the step's next runs, for the next record.
func (planner *Planner) reserveRuns(now time.Time, step *step) {
	if step.spec.Gang {
		number := planner.nextRunNumber()
		for index := range step.tasks {
			step.tasks[index].ownRestart().reservedRun = number
			planner.recording.markTaskDirty(step, index)
		}
		return
	}
	for index := range step.tasks {
		if task := &step.tasks[index]; task.needsRunNumber(now) {
			task.ownRestart().reservedRun = planner.nextRunNumber()
			planner.recording.markTaskDirty(step, index)
		}
	}
}

// takeRunNumber returns the number of the task's next run, the reserved one if there is
// one.
func (planner *Planner) takeRunNumber(task *task) uint64 {
	if reserved := task.restart().reservedRun; reserved > 0 {
		task.ownRestart().reservedRun = 0
		return reserved
	}
	return planner.nextRunNumber()
}

// noteRecordedRuns notes that the journal has the reserved numbers of runs.
func (job *job) noteRecordedRuns(restarts []specifier.TaskRestart) {
	for _, restart := range restarts {
		_, task := job.find(specifier.Task{Occurrence: restart.Occurrence, Step: restart.Step, Index: restart.Index})
		if task != nil && task.restart().reservedRun == restart.LatestRun {
			task.ownRestart().recordedRun = restart.LatestRun
		}
	}
}

// awaitsRecord reports whether a task of the step could start if its number were in
// the journal.
func (step *step) awaitsRecord(now time.Time) bool {
	for index := range step.tasks {
		if task := &step.tasks[index]; task.isIdle(now) && !task.mayStart() {
			return true
		}
	}
	return false
}
