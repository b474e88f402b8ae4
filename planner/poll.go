package planner

import (
	"fmt"
	"time"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// handlePollAnswer handles the answer to a poll.
func (planner *Planner) handlePollAnswer(now time.Time, minion *minion, event messenger.OrderAnswered) {
	if event.Err != nil {
		minion.schedulePollRetry(now)
		return
	}
	reported := make(map[runKey]bool, len(event.Running))
	for _, report := range event.Running {
		reported[runKey{report.Task, report.Run}] = true
		planner.applyRunReport(now, minion, report)
	}
	minion.hasPostponedEnds = false
	for index, end := range event.Ended {
		if planner.mustPostpone(minion, end) {
			minion.hasPostponedEnds = true
			planner.updateLatestRuns(event.Ended[index:])
			break
		}
		if end.Number > minion.processedEnd {
			minion.processedEnd = end.Number
			planner.holdEnd(minion, end)
			planner.handleRunEnd(now, minion, end)
		}
	}
	if minion.recordableEnd() > minion.recordedEnd {
		planner.recording.addMinion(minion)
	}
	if !minion.hasPostponedEnds { // the ends after the postponed one have not been processed
		planner.markMissingRunsLost(now, minion, reported, event.SentAt)
	}
	planner.evacuateDraining(now, minion)
	planner.paceBackfillRuns(now, minion)
	if !minion.polled {
		minion.polled = true
		planner.releaseHeldEnds(now)
	}
	switch {
	case minion.hasPostponedEnds:
		minion.nextPollAt = now.Add(pollRetryDelay)
	case minion.recordedEnd < minion.recordableEnd() || (minion.hasUnrecordableEnd() && len(minion.runs) > 0):
		minion.nextPollAt = now.Add(unrecordedPollDelay)
	case len(minion.runs) > 0:
		minion.nextPollAt = now
	}
}

// schedulePollRetry schedules the poll after a failed one. A minion that does not
// answer is polled even if it runs nothing, because only an answer shows that it
// can be used again.
func (minion *minion) schedulePollRetry(now time.Time) {
	switch {
	case len(minion.runs) > 0 || !minion.polled || minion.recordedEnd < minion.recordableEnd():
		minion.nextPollAt = now.Add(pollRetryDelay)
	case minion.unresponsive:
		minion.nextPollAt = now.Add(minion.idleRetryDelay)
		minion.idleRetryDelay = min(2*minion.idleRetryDelay, maxIdleRetryDelay)
	}
}

// pollWait returns how long a poll waits for an end. It does not wait longer than
// until a run that may never have started is void, and then asks at once.
func (minion *minion) pollWait(now time.Time) time.Duration {
	wait := maxPollWait
	if minion.hasMixedLoad() {
		wait = mixedLoadPollWait
	}
	for _, run := range minion.runs {
		if run.state == stopping && run.startConfirmedAt.IsZero() {
			untilVoid := time.Duration(float64(run.startLeaseUntil-minion.clockLowerBound(now)) / minClockRate)
			wait = max(0, min(wait, untilVoid+time.Millisecond))
		}
	}
	return wait.Truncate(time.Millisecond)
}

// mustPostpone reports whether an end must wait. Until all minions have
// reported their runs, a task that ended here under a former holder may be
// running again elsewhere.
func (planner *Planner) mustPostpone(minion *minion, end messenger.RunEnd) bool {
	_, exists := minion.runs[runKey{end.Task, end.Run}]
	return !exists && end.Kind == messenger.EndDone && !planner.holder.allPolled && !planner.holder.reconciled
}

// updateLatestRuns stores the newest run of each task before its ends are
// processed, so that an end of an earlier run on another minion is not recorded.
func (planner *Planner) updateLatestRuns(ends []messenger.RunEnd) {
	for _, end := range ends {
		if _, task := planner.findTask(end.Task); task != nil {
			task.latestRun = max(task.latestRun, end.Run)
		}
	}
}

// markMissingRunsLost marks runs as lost that the minion does not report although
// an order was confirmed before the poll was sent, or that can't start any more
// because the lease in their start had expired by then.
func (planner *Planner) markMissingRunsLost(now time.Time, minion *minion, reported map[runKey]bool, sentAt time.Time) {
	for _, run := range minion.sortedRuns() {
		if reported[runKey{run.id, run.number}] {
			continue
		}
		stopped := run.state == stopping && !run.stopAcknowledgedAt.IsZero() && run.stopAcknowledgedAt.Before(sentAt)
		vanished := !run.startConfirmedAt.IsZero() && run.startConfirmedAt.Before(sentAt)
		void := run.state == stopping && run.startConfirmedAt.IsZero() && minion.clockLowerBound(sentAt) > run.startLeaseUntil
		if stopped || vanished || void {
			planner.markRunLost(now, run, "its minion does not report it")
		}
	}
}

// applyRunReport applies the reported state of a run.
func (planner *Planner) applyRunReport(now time.Time, minion *minion, report messenger.RunReport) {
	run, ok := minion.runs[runKey{report.Task, report.Run}]
	if !ok {
		run = planner.adoptRun(now, minion, report)
		if run == nil {
			return
		}
	}
	if report.ProgressPercent != run.progressPercent {
		run.progressPercent, run.progressAt = report.ProgressPercent, now
	}
	run.checkpoint, run.load = report.Checkpoint, report.Load
}

// adoptRun takes over a run that a former holder started, or stops one that
// must not run.
func (planner *Planner) adoptRun(now time.Time, minion *minion, report messenger.RunReport) *run {
	step, task := planner.findTask(report.Task)
	if task == nil {
		planner.emitDecision(report.Task.String(), "stop", "the task is unknown", fmt.Sprintf("run=%d", report.Run), 0)
		planner.sendOrder(now, minion, messenger.StopRun{Task: report.Task, Run: report.Run}, answerTimeout, nil)
		return nil
	}
	run := &run{
		id: report.Task, number: report.Run, step: step, minion: minion, state: running,
		startedAt: now, startConfirmedAt: now, progressAt: now,
	} // its pace is unknown; pacePercent starts at 0 and rises step by step
	minion.addRun(run)
	if !step.occurrence.job.isOpen() || task.done || task.run != nil {
		planner.stopRun(now, run, "the task has ended or runs elsewhere")
		return run
	}
	task.run = run
	planner.markResolved(task)
	planner.emitDecision(report.Task.String(), "adopt", "found on a minion",
		fmt.Sprintf("run=%d minion=%s percent=%d", report.Run, minion.report.Minion, report.ProgressPercent), 0)
	return run
}

func (planner *Planner) findTask(id specifier.Task) (*step, *task) {
	job, ok := planner.jobs[id.Job]
	if !ok || !job.submitted {
		return nil, nil
	}
	return job.find(id)
}

// handleRunEnd processes the end of a run.
func (planner *Planner) handleRunEnd(now time.Time, minion *minion, end messenger.RunEnd) {
	run, ok := minion.runs[runKey{end.Task, end.Run}]
	step, task := planner.findTask(end.Task)
	if task == nil {
		return
	}
	task.endListed = true
	if planner.holder.allEndsProcessed {
		planner.markResolved(task)
	}
	job := step.occurrence.job
	age := time.Duration(0)
	superseded := end.Kind == messenger.EndDone && end.Run < task.latestRun && end.Run != task.doneRun
	task.latestRun = max(task.latestRun, end.Run)
	if superseded {
		// The task has been started again since. If this end were recorded now, that
		// start would count as a start after a recorded end.
		minion.ignoreEnd(end.Number)
	}
	if ok {
		age = now.Sub(run.startedAt)
	} else if superseded {
		planner.emitDecision(end.Task.String(), "end-ignored", end.Kind.String(), fmt.Sprintf("run=%d", end.Run), 0)
		return
	}
	planner.emitDecision(end.Task.String(), "run-ended", end.Kind.String(),
		fmt.Sprintf("run=%d minion=%s end=%d", end.Run, minion.report.Minion, end.Number), age)
	if end.Checkpoint != "" && !task.done {
		planner.updateCheckpoint(job, task, end.Checkpoint)
	}
	switch end.Kind {
	case messenger.EndDone:
		minion.health.resetFailures()
		planner.markDone(now, step, end.Task, end.Run)
	case messenger.EndFailed:
		planner.countFailure(now, step, task, end.Run, minion)
	}
	if ok {
		planner.releaseRun(now, run)
	}
	planner.endJobIfFinished(now, job)
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
		if task.run != nil && index != id.Index && !step.spec.Gang {
			planner.stopRun(now, task.run, "the task is done")
		}
	}
	planner.recording.markDirty(step.occurrence.job)
}

// countFailure counts a failed run for its task and its minion. For the task it
// counts once, even if its end is listed again.
func (planner *Planner) countFailure(now time.Time, step *step, task *task, run uint64, minion *minion) {
	task.lastFailedOn = minion.report.Minion
	planner.countMinionFailure(now, minion)
	if !step.spec.LongRunning && task.addFailure(run) {
		planner.recording.markDirty(step.occurrence.job)
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
	for _, occurrence := range job.occurrences {
		for _, step := range occurrence.steps {
			if step.failedAttempts() >= queue.Attempts {
				planner.endJob(now, job, specifier.Failed, "a task has used all its attempts")
				return
			}
		}
	}
}

// failedAttempts returns the number of failures of the task that failed most.
// The members of a gang share their attempts: one run counts once, however many
// members fail in it.
func (step *step) failedAttempts() int {
	most := 0
	runs := make(map[uint64]bool)
	for index := range step.tasks {
		failed := step.tasks[index].failedRuns
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
