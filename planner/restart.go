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
	if task.reservedRun > 0 {
		return task.reservedRun <= task.recordedRun
	}
	return !task.isRestart()
}

// needsRunNumbers reports whether tasks that have been started before wait for a run and
// have no number for it. The members of a gang have one number, so that all of them must
// wait.
func (step *step) needsRunNumbers(now time.Time) bool {
	isRestart, isReserved := false, true
	for index := range step.tasks {
		task := &step.tasks[index]
		switch {
		case !task.isIdle(now) && step.spec.Gang:
			return false
		case !task.isIdle(now):
		case step.spec.Gang:
			isRestart = isRestart || task.isRestart()
			isReserved = isReserved && task.reservedRun > 0 && task.reservedRun == step.tasks[0].reservedRun
		case task.isRestart() && task.reservedRun == 0:
			return true
		}
	}
	return isRestart && !isReserved
}

// reserveRuns reserves the numbers of the step's next runs, for the next record.
func (planner *Planner) reserveRuns(now time.Time, step *step) {
	gangRun := uint64(0)
	if step.spec.Gang {
		gangRun = planner.nextRunNumber()
	}
	for index := range step.tasks {
		task := &step.tasks[index]
		switch {
		case step.spec.Gang:
			task.reservedRun = gangRun
		case task.isIdle(now) && task.isRestart() && task.reservedRun == 0:
			task.reservedRun = planner.nextRunNumber()
		}
	}
	planner.recording.markDirty(step.occurrence.job)
}

// takeRunNumber returns the number of the task's next run, the reserved one if there is
// one.
func (planner *Planner) takeRunNumber(task *task) uint64 {
	if reserved := task.reservedRun; reserved > 0 {
		task.reservedRun = 0
		return reserved
	}
	return planner.nextRunNumber()
}

// noteRecordedRuns notes that the journal has the reserved numbers of runs.
func (job *job) noteRecordedRuns(restarts []specifier.TaskRestart) {
	for _, restart := range restarts {
		_, task := job.find(specifier.Task{Occurrence: restart.Occurrence, Step: restart.Step, Index: restart.Index})
		if task != nil && task.reservedRun == restart.LatestRun {
			task.recordedRun = restart.LatestRun
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
