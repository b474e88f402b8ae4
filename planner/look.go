package planner

import (
	"fmt"
	"time"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// looked takes the answer to a look.
func (planner *Planner) looked(now time.Time, minion *minion, event messenger.OrderAnswered) {
	if event.Err != nil {
		if len(minion.runs) > 0 || !minion.confirmed || minion.seen < minion.notable() {
			minion.lookAt = now.Add(lookAgain)
		}
		return
	}
	reported := make(map[runKey]bool, len(event.Running))
	for _, report := range event.Running {
		reported[runKey{report.Task, report.Run}] = true
		planner.observe(now, minion, report)
	}
	minion.postponed = false
	for place, end := range event.Ended {
		if planner.postpones(minion, end) {
			minion.postponed = true
			planner.foresee(event.Ended[place:])
			break
		}
		if end.Number > minion.listedEnd {
			minion.listedEnd = end.Number
			planner.ended(now, minion, end)
		}
	}
	if minion.notable() > minion.seen {
		planner.recording.note(minion)
	}
	if !minion.postponed { // the ends that follow are not taken yet
		planner.missing(now, minion, reported, event.SentAt)
	}
	planner.leaving(now, minion)
	planner.pace(now, minion)
	minion.confirmed = true
	switch {
	case minion.postponed:
		minion.lookAt = now.Add(lookAgain)
	case minion.seen < minion.notable() || (minion.ignored > 0 && len(minion.runs) > 0):
		minion.lookAt = now.Add(unrecordedLook)
	case len(minion.runs) > 0:
		minion.lookAt = now
	}
}

// postpones reports whether an end must wait: until all minions have told what
// they run, a task that a former holder brought to its end here may run again
// elsewhere.
func (planner *Planner) postpones(minion *minion, end messenger.RunEnd) bool {
	_, known := minion.runs[runKey{end.Task, end.Run}]
	return !known && end.Kind == messenger.EndDone && !planner.hold.confirmed && !planner.hold.settled
}

// foresee notes which runs there were, before their ends are taken: an end of an
// earlier run that another minion lists must not be noted.
func (planner *Planner) foresee(ends []messenger.RunEnd) {
	for _, end := range ends {
		if _, task := planner.findTask(end.Task); task != nil {
			task.latestRun = max(task.latestRun, end.Run)
		}
	}
}

// missing ends the runs that the minion does not have although it must, had
// the order arrived before the look was sent.
func (planner *Planner) missing(now time.Time, minion *minion, reported map[runKey]bool, sentAt time.Time) {
	for _, run := range minion.sortedRuns() {
		if reported[runKey{run.id, run.number}] {
			continue
		}
		stopped := run.state == stopping && !run.stopAckedAt.IsZero() && run.stopAckedAt.Before(sentAt)
		vanished := run.state == working && run.knownAt.Before(sentAt)
		if stopped || vanished {
			planner.lose(now, run, "the minion does not have it")
		}
	}
}

// observe takes the state of a run that a minion has.
func (planner *Planner) observe(now time.Time, minion *minion, report messenger.RunReport) {
	known, ok := minion.runs[runKey{report.Task, report.Run}]
	if !ok {
		known = planner.adopt(now, minion, report)
		if known == nil {
			return
		}
	}
	if report.ProgressPercent != known.percent {
		known.percent, known.progressAt = report.ProgressPercent, now
	}
	known.checkpoint, known.load = report.Checkpoint, report.Load
}

// adopt takes over a run that a former holder started, or stops one that is
// not to run.
func (planner *Planner) adopt(now time.Time, minion *minion, report messenger.RunReport) *run {
	step, task := planner.findTask(report.Task)
	if task == nil {
		planner.decide(report.Task.String(), "stop", "no such task is known", fmt.Sprintf("run=%d", report.Run), 0)
		planner.order(now, minion, messenger.StopRun{Task: report.Task, Run: report.Run}, answerTimeout, nil)
		return nil
	}
	run := &run{
		id: report.Task, number: report.Run, step: step, minion: minion, state: working,
		startedAt: now, knownAt: now, progressAt: now,
	} // how it is paced is not known, so that it is raised step by step
	minion.add(run)
	if !step.occurrence.job.open() || task.done || task.run != nil {
		planner.stop(now, run, "the task has ended or runs elsewhere")
		return run
	}
	task.run = run
	planner.account(task)
	planner.decide(report.Task.String(), "adopt", "found on a minion",
		fmt.Sprintf("run=%d minion=%s percent=%d", report.Run, minion.report.Minion, report.ProgressPercent), 0)
	return run
}

func (planner *Planner) findTask(id specifier.Task) (*step, *task) {
	known, ok := planner.jobs[id.Job]
	if !ok || !known.submitted {
		return nil, nil
	}
	return known.find(id)
}

// ended takes the end of a run.
func (planner *Planner) ended(now time.Time, minion *minion, end messenger.RunEnd) {
	run, ok := minion.runs[runKey{end.Task, end.Run}]
	step, task := planner.findTask(end.Task)
	if task == nil {
		return
	}
	task.heard = true
	if planner.hold.accounted {
		planner.account(task)
	}
	known := step.occurrence.job
	age := time.Duration(0)
	superseded := end.Kind == messenger.EndDone && end.Run < task.latestRun && end.Run != task.doneRun
	task.latestRun = max(task.latestRun, end.Run)
	if superseded && minion.ignored == 0 {
		// The task has been started again since. Were the end noted now, that start
		// would count as one after it.
		minion.ignored = end.Number
	}
	if ok {
		age = now.Sub(run.startedAt)
	} else if superseded {
		planner.decide(end.Task.String(), "end-ignored", end.Kind.String(), fmt.Sprintf("run=%d", end.Run), 0)
		return
	}
	planner.decide(end.Task.String(), "run-ended", end.Kind.String(),
		fmt.Sprintf("run=%d minion=%s end=%d", end.Run, minion.report.Minion, end.Number), age)
	if end.Checkpoint != "" && !task.done {
		planner.keepCheckpoint(known, task, end.Checkpoint)
	}
	switch end.Kind {
	case messenger.EndDone:
		minion.health.succeed()
		planner.finish(now, step, end.Task, end.Run)
	case messenger.EndFailed:
		planner.fail(now, step, task, end.Run, minion)
	}
	if ok {
		planner.release(now, run)
	}
	planner.conclude(now, known)
}

// finish marks a task as done, and with it all members of its gang.
func (planner *Planner) finish(now time.Time, step *step, id specifier.Task, number uint64) {
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
			planner.stop(now, task.run, "the task is done")
		}
	}
	planner.recording.mark(step.occurrence.job)
}

// fail counts a failed run. An end that was recorded before counts once.
func (planner *Planner) fail(now time.Time, step *step, task *task, run uint64, minion *minion) {
	task.avoid = minion.report.Minion
	planner.strike(now, minion)
	if !step.spec.LongRunning && task.addFailure(run) {
		planner.recording.mark(step.occurrence.job)
	}
}

// conclude ends a job that is complete or whose task has failed too often.
func (planner *Planner) conclude(now time.Time, known *job) {
	if !known.open() {
		return
	}
	if known.complete() {
		planner.end(now, known, specifier.Completed, "all tasks are done")
		return
	}
	queue := planner.queue(known)
	if queue == nil {
		return
	}
	for _, occurrence := range known.occurrences {
		for _, step := range occurrence.steps {
			if step.failures() >= queue.Attempts {
				planner.end(now, known, specifier.Failed, "a task has used all its attempts")
				return
			}
		}
	}
}

// failures returns how often the task that failed most has failed. The members
// of a gang share their attempts: one run counts once, however many fail in it.
func (step *step) failures() int {
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
