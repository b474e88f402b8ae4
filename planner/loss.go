package planner

import (
	"fmt"
	"time"

	"corianderroad/accountant"
	"corianderroad/messenger"
)

// noteCheckpoint notes the checkpoint that a minion lists for the run.
func (run *run) noteCheckpoint(now time.Time, checkpoint string) {
	if checkpoint != run.checkpoint {
		run.account.NoteCheckpoint(now, checkpoint, run.task().checkpoint)
	}
	run.checkpoint = checkpoint
}

// countLoss counts the work of a run that has ended without completing its task. Long-running
// tasks lose none, because their work is of use as it is done.
func (planner *Planner) countLoss(now time.Time, run *run, cause accountant.Cause) {
	task := run.task()
	if run.step.spec.LongRunning || (task.done && task.doneRun == run.number) {
		return
	}
	if lost, isLoss := run.account.Loss(now, run.step.spec.Request, cause); isLoss {
		planner.emit(lost)
	}
}

// countStop counts the stop of a run by its rule. If its task must run again, the stop also counts
// for the task.
func (planner *Planner) countStop(run *run) {
	planner.emit(messenger.Count{Counter: messenger.StoppedRuns, Reason: run.account.Rule.String()})
	if !run.account.Rule.Interrupts() {
		return
	}
	task := run.task()
	if task.stops > 0 {
		planner.emit(messenger.Count{Counter: messenger.RepeatedStops})
	}
	task.stops++
}

// noteBreakage notes the end of a member of a gang, or the order to stop it, and counts the first
// one that does not follow from another one.
func (planner *Planner) noteBreakage(run *run, cause accountant.Cause) {
	step := run.step
	completes := cause == accountant.EndDone && !step.spec.LongRunning
	if !step.spec.Gang || step.isComplete() || completes || run.task().run != run {
		return
	}
	if step.breakage.Note(run.number, run.id.Index, cause) {
		planner.countBreakage(cause)
	}
}

func (planner *Planner) countBreakage(cause accountant.Cause) {
	planner.emit(messenger.Count{Counter: messenger.BrokenGangs, Reason: cause.String()})
}

// describeLoss returns what is lost with a run and how often its task was stopped, as
// inputs of a log line.
func (run *run) describeLoss(now time.Time) string {
	description := fmt.Sprintf("since-checkpoint=%s stops=%d", run.account.UnsavedTime(now).Round(time.Millisecond), run.task().stops)
	if breakage := run.step.breakage.Describe(run.number); run.step.spec.Gang && breakage != "" {
		description += " " + breakage
	}
	return description
}
