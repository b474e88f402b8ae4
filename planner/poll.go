package planner

import (
	"fmt"
	"time"

	"corianderroad/accountant"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// handlePollAnswer handles the answer to a poll.
func (planner *Planner) handlePollAnswer(now time.Time, minion *minion, event messenger.OrderAnswered) {
	if event.Err != nil {
		planner.schedulePollRetry(now, minion)
		return
	}
	if event.Clock < minion.listClock { // the answer to an earlier poll
		planner.emit(messenger.Count{Counter: messenger.Retries, Reason: "poll-outdated"})
		minion.schedulePoll(now.Add(pollRetryDelay))
		return
	}
	planner.applyLists(now, minion, event)
	minion.acknowledgedEnd = max(minion.acknowledgedEnd, event.Sent.Order.(messenger.PollRuns).AcknowledgedEnd)
	planner.scheduleNextPoll(now, minion)
}

// applyLists applies the lists of runs and ends in the answer to a poll.
func (planner *Planner) applyLists(now time.Time, minion *minion, event messenger.OrderAnswered) {
	minion.listClock = event.Clock
	minion.refuteLaterLife(&event)
	if !minion.polled && minion.isFencedBy(&event) {
		planner.noteFence(now, minion)
	}
	reported := make(map[runKey]bool, len(event.Running))
	for _, report := range event.Running {
		reported[runKey{report.Task, report.Run}] = true
		planner.applyRunReport(now, minion, report)
	}
	for _, end := range event.Ended {
		if end.Number > minion.processedEnd {
			minion.processedEnd = end.Number
			if end.Kind == messenger.EndLeaseExpired {
				planner.noteExpiredLease(now, minion)
			}
			planner.handleRunEnd(now, minion, end)
		}
	}
	if minion.recordableEnd() > minion.recordedEnd {
		planner.recording.addMinion(minion)
	}
	if len(event.Ended) < messenger.MaxListedEnds { // otherwise the ends of missing runs may follow
		planner.markMissingRunsLost(now, minion, reported, event)
	}
	planner.expireLease(now, minion)
	planner.clearDraining(now, minion)
	planner.paceBackfillRuns(now, minion)
}

// scheduleNextPoll schedules the poll after an answered one.
func (planner *Planner) scheduleNextPoll(now time.Time, minion *minion) {
	switch {
	case !minion.polled: // the token of its orders must rise first
		minion.schedulePoll(now.Add(pollRetryDelay))
	case minion.acknowledgedEnd < minion.recordedEnd: // recorded while the poll was on its way
		minion.schedulePoll(now)
	case minion.recordedEnd < minion.recordableEnd() || (minion.hasUnrecordableEnd() && len(minion.runs) > 0):
		minion.schedulePoll(now.Add(unrecordedPollDelay))
	case len(minion.runs) > 0:
		minion.schedulePoll(now)
	case planner.hasOutstandingStart(now, minion):
		minion.schedulePoll(now.Add(idlePollInterval))
		minion.isIdlePoll = true
	}
}

// endToAcknowledge returns the last end that a poll acknowledges, zero for none. The next life
// of the minion would take it for one of its own ends, which are numbered anew: a poll has it
// once, and none while the minion may have restarted because it does not answer.
func (minion *minion) endToAcknowledge() uint64 {
	if minion.unresponsive || minion.recordedEnd == minion.acknowledgedEnd {
		return 0
	}
	return minion.recordedEnd
}

// schedulePollRetry schedules the poll after a failed one. A minion that does not
// answer is polled even if it runs nothing, because only an answer shows that it
// can be used again.
func (planner *Planner) schedulePollRetry(now time.Time, minion *minion) {
	switch {
	case len(minion.runs) > 0 || planner.hasOutstandingStart(now, minion) || !minion.polled || minion.recordedEnd < minion.recordableEnd():
		minion.schedulePoll(now.Add(pollRetryDelay))
	case minion.unresponsive:
		minion.schedulePoll(now.Add(minion.idleRetryDelay))
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
	if minion.trial != nil {
		wait = min(wait, trialPollWait)
	}
	for _, run := range minion.runs {
		if run.state == stopping && run.startConfirmedAt.IsZero() && !run.isOfEarlierLife {
			untilVoid := time.Duration(float64(run.startLeaseUntil-minion.clockLowerBound(now)) / minClockRate)
			wait = max(0, min(wait, untilVoid+time.Millisecond))
		}
	}
	return wait.Truncate(time.Millisecond)
}

// markMissingRunsLost marks runs as lost that the minion does not report although
// it had listed them, or an order to stop them was confirmed before it made its list, or that can't start any more
// because the lease in their start had expired by then, or because the minion refuses orders to
// its earlier life. The minion's clock tells when it made the list: an answer can be late, and
// that of an earlier poll.
func (planner *Planner) markMissingRunsLost(now time.Time, minion *minion, reported map[runKey]bool, event messenger.OrderAnswered) {
	for _, run := range minion.sortedRuns() {
		if reported[runKey{run.id, run.number}] {
			continue
		}
		stopped := run.state == stopping && !run.stopAcknowledgedAt.IsZero() &&
			!run.stopAcknowledgedAt.After(event.SentAt) && run.stopAcknowledgedClock < event.Clock
		vanished := !run.startConfirmedAt.IsZero() && run.startConfirmedAt.Before(event.SentAt) && run.startConfirmedClock < event.Clock
		void := run.state == stopping && run.startConfirmedAt.IsZero() && !run.isOfEarlierLife && event.Clock > run.startLeaseUntil
		// A list with the token of the life was made after orders to the earlier one were barred.
		barred := run.isOfEarlierLife && minion.polled && event.Sent.Token == minion.token
		if vanished && !run.isListed() && !stopped {
			planner.distrustConfirmation(now, run)
			continue
		}
		if stopped || vanished || void || barred {
			planner.markRunLost(now, run, accountant.EndUnreported, "its minion does not report it", run.describeList(&event))
		}
	}
}

// distrustConfirmation stops a run whose start was confirmed and that no list has shown. The
// confirmation may have been that of another order on its connection, so that the start may still be
// on its way. The run counts as lost once the stop bars the start.
func (planner *Planner) distrustConfirmation(now time.Time, run *run) {
	run.startConfirmedAt, run.startConfirmedClock = time.Time{}, 0
	run.mayHaveArrived, run.unansweredAt = true, now
	planner.addOutstandingStart(now, run.minion.report.Minion)
	planner.stopUnlistedRun(now, run, "its minion does not report it")
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
	planner.markBegun(run.job())
	run.observe(now, report)
	if report.Checkpoint != run.checkpoint {
		planner.noteGangCheckpoint(run.step, gangCheckpoint{run: run.number, checkpoint: report.Checkpoint, at: now})
	}
	if report.ProgressPercent != run.progressPercent {
		run.progressPercent, run.progressAt = report.ProgressPercent, now
	}
	run.account.NoteStart(now)
	run.noteCheckpoint(now, report.Checkpoint)
	planner.profileReport(now, run, report)
	run.load = report.Load
	planner.refuteCrash(run.step, run.id.Index, run.placement())
	planner.clearIfPassed(now, run)
	if !run.startConfirmedAt.IsZero() && now.Sub(run.startConfirmedAt) >= establishedAge {
		planner.forgetCrashes(run)
	}
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
		id: report.Task, number: report.Run, step: step, minion: minion, state: running, isAdopted: true,
		startedAt: now, startConfirmedAt: now, startConfirmedClock: minion.listClock, progressAt: now,
	} // its pace is unknown; pacePercent starts at 0 and rises step by step
	mayHaveLaterRun := report.Run < task.latestRun
	minion.addRun(run)
	isValid := planner.adoptCopy(now, run)
	if known := task.run; known != nil && !isValid {
		planner.emitDecision(report.Task.String(), "duplicate-run", "another run of the task is known",
			fmt.Sprintf("run=%d minion=%s known-run=%d known-minion=%s", report.Run, minion.report.Minion, known.number, known.minion.report.Minion),
			now.Sub(known.startedAt))
	}
	switch {
	case isValid:
	case !step.occurrence.job.isOpen() || task.done || task.run != nil:
		planner.stopRun(now, run, accountant.StopForTaskEnd, "the task has ended or runs elsewhere")
		return run
	case mayHaveLaterRun:
		planner.stopRun(now, run, accountant.StopForLaterRun, "a later run may exist")
		return run
	default:
		task.run = run
	}
	if task.isSuspect() {
		run.onTrial, minion.trial = true, step
	}
	if !mayHaveLaterRun { // the later run of a copied task may not have been found
		planner.markResolved(task)
	}
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
