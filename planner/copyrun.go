package planner

import (
	"time"

	"corianderroad/messenger"
)

// What becomes of the two runs of a copied task. task.run is one of them, and step.copies has the
// other one; when one has ended, the other is the only run of its task.

// adoptCopy takes over a run of a task that a former holder may have copied. It reports whether the
// run may go on. Both runs are valid, also the one with the lower number.
func (planner *Planner) adoptCopy(now time.Time, found *run) bool {
	step, index, task := found.step, found.id.Index, found.task()
	if !planner.allowsCopies(step) || !step.occurrence.job.isOpen() || task.done || task.isSuspect() {
		return false
	}
	known := task.run
	if known == nil {
		task.run = found
		return true
	}
	if copied := step.copies[index]; copied != nil && copied.run != nil {
		return false // a third one
	}
	if step.copies == nil {
		step.copies = make(map[int]*taskCopy)
	}
	task.run = known
	if found.number < known.number { // the copy is the later one
		task.run, found = found, known
	}
	step.copies[index] = &taskCopy{run: found, number: found.number, plannedAt: now}
	return true
}

// releaseCopy notes that a run of a copied task has ended. The other one becomes its only run.
func (planner *Planner) releaseCopy(ended *run) {
	copied := ended.step.copies[ended.id.Index]
	if copied == nil || copied.run == nil {
		return
	}
	task := ended.task()
	switch {
	case copied.run == ended:
		copied.run = nil
		if !task.done {
			copied.count(planner, "stopped")
		}
	case task.run == nil:
		task.run, copied.run = copied.run, nil
	}
}

// stopOtherRuns stops the runs of a task that has been done by another one.
func (planner *Planner) stopOtherRuns(now time.Time, step *step, index int, number uint64) {
	copied := step.copies[index]
	if planner.allowsCopies(step) {
		planner.markResolved(&step.tasks[index])
	}
	if copied != nil && copied.number > 0 {
		outcome := "original-won"
		if copied.number == number {
			outcome = "copy-won"
		}
		copied.count(planner, outcome)
	}
	if run := step.tasks[index].run; run != nil && run.number != number {
		planner.stopRun(now, run, stopForTaskEnd, "another run of the task is done")
	}
	if copied != nil && copied.run != nil && copied.run.number != number {
		planner.stopRun(now, copied.run, stopForTaskEnd, "another run of the task is done")
	}
}

// count counts the outcome of a copy, once.
func (taskCopy *taskCopy) count(planner *Planner, outcome string) {
	if !taskCopy.isCounted {
		taskCopy.isCounted = true
		planner.emit(messenger.Count{Counter: messenger.Copies, Reason: outcome})
	}
}
