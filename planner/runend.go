package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"corianderroad/accountant"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// handleRunEnd processes the end of a run.
func (planner *Planner) handleRunEnd(now time.Time, minion *minion, end messenger.RunEnd) {
	run, ok := minion.runs[runKey{end.Task, end.Run}]
	step, task := planner.findTask(end.Task)
	if task == nil {
		// A deleted job may have ignored this end, so that it must never be recorded.
		if end.Kind == messenger.EndDone {
			minion.ignoreEnd(end.Number)
		}
		return
	}
	if end.Run >= task.latestRun {
		planner.markResolved(task)
	}
	planner.refuteCrash(step, end.Task.Index, minion.placement(end.Run))
	job := step.occurrence.job
	planner.markBegun(job)
	superseded := planner.isSuperseded(step, task, end)
	task.latestRun = max(task.latestRun, end.Run)
	if superseded {
		minion.ignoreEnd(end.Number)
	}
	if !ok && superseded {
		planner.emitDecision(end.Task.String(), "end-ignored", end.Kind.String(), fmt.Sprintf("run=%d", end.Run), 0)
		return
	}
	planner.noteGangEnd(now, step, run, end)
	planner.reportRunEnd(now, minion, run, end)
	if end.Checkpoint != "" && !task.done {
		planner.updateCheckpoint(step, end.Task.Index, end.Checkpoint)
	}
	planner.shareGangCheckpoint(step)
	switch end.Kind {
	case messenger.EndDone:
		planner.countMinionSuccess(minion, run)
		planner.markDone(now, step, end.Task, end.Run)
	case messenger.EndFailed:
		if !superseded {
			planner.countFailure(now, step, end, minion)
		}
	}
	if ok {
		planner.profileEnd(now, minion, end.Kind)
		if run.onTrial && !run.hasPassed && task.done {
			planner.passTrial(run)
		}
		planner.releaseRun(now, run, run.account.Cause(accountant.CauseOf(end.Kind)))
	}
	planner.endJobIfFinished(now, job)
}

// reportRunEnd logs an end that a minion lists. The run is nil if the holder does not know it.
func (planner *Planner) reportRunEnd(now time.Time, minion *minion, run *run, end messenger.RunEnd) {
	detail, age := fmt.Sprintf("run=%d minion=%s end=%d", end.Run, minion.report.Minion, end.Number), time.Duration(0)
	if run != nil {
		run.noteCheckpoint(now, cmp.Or(end.Checkpoint, run.checkpoint))
		planner.noteBreakage(run, run.account.Cause(accountant.CauseOf(end.Kind)))
		detail, age = detail+" "+run.describeLoss(now), now.Sub(run.startedAt)
	}
	planner.emitDecision(end.Task.String(), "run-ended", end.Kind.String(), detail, age)
}

// isSuperseded reports whether an end must not be recorded because the task has
// been started again since. That start would count as one after the end of the
// task, or after its last attempt.
func (planner *Planner) isSuperseded(step *step, task *task, end messenger.RunEnd) bool {
	if end.Run >= task.latestRun {
		return false
	}
	switch end.Kind {
	case messenger.EndDone:
		return end.Run != task.doneRun && !planner.allowsCopies(step)
	case messenger.EndFailed:
		if step.spec.LongRunning {
			return false
		}
		queue := planner.queue(step.occurrence.job)
		return queue == nil || step.attemptsWithFailure(task, end.Run) >= queue.Attempts
	}
	return false
}

// attemptsWithFailure returns how many attempts of a task have failed if the given
// run did. The members of a gang share their attempts.
func (step *step) attemptsWithFailure(task *task, run uint64) int {
	attempts, isCounted := len(task.history().failedRuns), slices.Contains(task.history().failedRuns, run)
	if step.spec.Gang {
		attempts = step.failedAttempts()
		for index := range step.tasks {
			isCounted = isCounted || slices.Contains(step.tasks[index].history().failedRuns, run)
		}
	}
	if isCounted {
		return attempts
	}
	return attempts + 1
}

// markDone marks a task as done, and with it all members of its gang.
func (planner *Planner) markDone(now time.Time, step *step, id specifier.Task, number uint64) {
	if step.spec.LongRunning {
		return
	}
	for index := range step.tasks {
		task := &step.tasks[index]
		if (index != id.Index && !step.spec.Gang) || task.done {
			continue
		}
		task.done, task.doneRun = true, number
		step.done++
		planner.recording.markTaskDirty(step, index)
		planner.noteMoveOutcome(step, index, number)
		planner.stopOtherRuns(now, step, index, number)
		if task.run != nil && index != id.Index && !step.spec.Gang {
			planner.stopRun(now, task.run, accountant.StopForTaskEnd, "the task is done")
		}
	}
}

// countFailure counts a failed run for its task and its minion. For the task it
// counts once, even if its end is listed again.
func (planner *Planner) countFailure(now time.Time, step *step, end messenger.RunEnd, minion *minion) {
	task := &step.tasks[end.Task.Index]
	if step.spec.LongRunning {
		if run, ok := minion.runs[runKey{end.Task, end.Run}]; ok && now.Sub(run.startedAt) >= soundRunTime {
			task.ownHistory().lastFailedOn = ""
		}
		planner.countUnlimitedFailure(now, task, minion)
		return
	}
	task.ownHistory().lastFailedOn = minion.report.Minion
	run, isKnown := minion.runs[runKey{end.Task, end.Run}]
	planner.countMinionFailure(now, minion, isKnown && run.failsEarly(now))
	if task.addFailure(end.Run) {
		planner.recording.markTaskDirty(step, end.Task.Index)
	}
}

// endJobIfFinished ends a job that is complete or has a task that failed too
// often.
func (planner *Planner) endJobIfFinished(now time.Time, job *job) {
	if !job.isOpen() {
		return
	}
	if job.isComplete() {
		planner.endJob(now, job, specifier.Completed, "all tasks are done")
		return
	}
	queue := planner.queue(job)
	if queue == nil {
		return
	}
	for step := range job.steps() {
		if step.hasUsedAttempts(queue.Attempts) {
			planner.endJob(now, job, specifier.Failed, step.attemptsReason(queue.Attempts))
			return
		}
	}
}

// hasUsedAttempts reports whether a task that is not done has failed as often as given. A
// queue can come to allow no more attempts than a task that is done has used.
func (step *step) hasUsedAttempts(attempts int) bool {
	if step.spec.Gang {
		return !step.isComplete() && step.failedAttempts() >= attempts
	}
	for index := range step.tasks {
		if task := &step.tasks[index]; !task.done && len(task.history().failedRuns) >= attempts {
			return true
		}
	}
	return false
}

// failedAttempts returns the number of failures of the task that failed most.
// The members of a gang share their attempts: one run counts once, however many
// members fail in it.
func (step *step) failedAttempts() int {
	most := 0
	runs := make(map[uint64]bool)
	for index := range step.tasks {
		failed := step.tasks[index].history().failedRuns
		most = max(most, len(failed))
		for _, run := range failed {
			runs[run] = true
		}
	}
	if step.spec.Gang {
		return len(runs)
	}
	return most
}
