package planner

import (
	"fmt"
	"time"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// endCause is why a run ended: the rule by which it was stopped, or else how it ended.
type endCause uint8

const (
	endFailed         = endCause(stopRules) + iota
	endDone           // counts as a loss only if another run completed the task
	endLeaseExpired   // listed by the minion
	endGangBroken     // listed by the minion: another member of the gang ended
	endGangIncomplete // listed by the minion: other members did not start in time
	endStopped        // stopped without an order of this holder
	endMinionGone     // its minion has ended or restarted
	endLeasesExpired  // its minion was silent until its leases had expired
	endUnreported     // its minion does not list it
	endUnknown        // no end was seen that explains the one of the gang
	endCauses         = iota
)

// String returns the name of the cause in log lines and metrics.
func (cause endCause) String() string {
	if cause < endCause(stopRules) {
		return stopRule(cause).String()
	}
	return [endCauses]string{
		"failed", "done", "lapsed", "broken", "alone", "stopped", "minion-gone", "leases-expired", "unreported", "unknown",
	}[cause-endCause(stopRules)]
}

// follows reports whether the cause is the end of another member of the gang.
func (cause endCause) follows() bool {
	return cause == endCause(stopForBrokenGang) || cause == endGangBroken
}

// causeOfKind returns the cause of an end that a minion lists.
func causeOfKind(kind messenger.EndKind) endCause {
	switch kind {
	case messenger.EndDone:
		return endDone
	case messenger.EndFailed:
		return endFailed
	case messenger.EndStopped:
		return endStopped
	case messenger.EndLeaseExpired:
		return endLeaseExpired
	case messenger.EndGangBroken:
		return endGangBroken
	case messenger.EndGangIncomplete:
		return endGangIncomplete
	}
	return endUnknown
}

// endCause returns why the run ended, given how it ended. A rule that stopped it comes first.
// Members that were stopped for a broken gang may have broken it themselves: the end of
// another member is often listed earlier.
func (run *run) endCause(cause endCause) endCause {
	if run.stopOrderedAt.IsZero() {
		return cause
	}
	isStop := cause == endStopped || cause == endUnreported || cause.follows()
	if run.stopRule == stopForBrokenGang && !isStop {
		return cause
	}
	return endCause(run.stopRule)
}

// noteStart notes that a minion has the run, whose work begins.
func (run *run) noteStart(now time.Time) {
	if run.savedAt.IsZero() {
		run.savedAt = now
	}
}

// noteCheckpoint notes the checkpoint that a minion lists for the run. The one from which
// the run resumed saves none of its own work.
func (run *run) noteCheckpoint(now time.Time, checkpoint string) {
	if checkpoint != run.checkpoint && checkpoint != "" && checkpoint != run.task().checkpoint {
		run.savedAt = now
	}
	run.checkpoint = checkpoint
}

// unsavedTime returns how long the run has worked since its newest checkpoint.
func (run *run) unsavedTime(now time.Time) time.Duration {
	if run.savedAt.IsZero() {
		return 0
	}
	return now.Sub(run.savedAt)
}

// countLoss counts the work of a run that has ended without completing its task. Long-running
// tasks lose none, because their work is of use as it is done.
func (planner *Planner) countLoss(now time.Time, run *run, cause endCause) {
	task := run.task()
	if run.step.spec.LongRunning || (task.done && task.doneRun == run.number) {
		return
	}
	lost := run.unsavedTime(now).Seconds() * float64(run.step.spec.Request.Weight()) / specifier.MilliPerCore
	if lost > 0 {
		planner.emit(messenger.WorkLost{Rule: cause.String(), CoreSeconds: lost})
	}
}

// countStop counts the stop of a run by its rule. If its task must run again, the stop also counts
// for the task.
func (planner *Planner) countStop(run *run) {
	planner.emit(messenger.Count{Counter: messenger.StoppedRuns, Reason: run.stopRule.String()})
	if !run.stopRule.interrupts() {
		return
	}
	task := run.task()
	if task.stops > 0 {
		planner.emit(messenger.Count{Counter: messenger.RepeatedStops})
	}
	task.stops++
}

// breakage is why one run of a gang ended as a whole before its tasks were done.
type breakage struct {
	number uint64
	// member is the index of the task whose run ended first, and cause why, if it is known.
	member  int
	cause   endCause
	isKnown bool
}

// noteBreakage notes the end of a member of a gang, or the order to stop it. The first one
// that does not follow from another one is counted as the cause.
func (planner *Planner) noteBreakage(run *run, cause endCause) {
	step := run.step
	completes := cause == endDone && !step.spec.LongRunning
	if !step.spec.Gang || step.isComplete() || completes || run.task().run != run {
		return
	}
	if step.breakage.number != run.number {
		step.breakage = breakage{number: run.number}
	}
	if step.breakage.isKnown || cause.follows() {
		return
	}
	step.breakage = breakage{number: run.number, member: run.id.Index, cause: cause, isKnown: true}
	planner.emit(messenger.Count{Counter: messenger.BrokenGangs, Reason: cause.String()})
}

// countUnknownBreakage counts a gang whose last member has ended without a known cause.
func (planner *Planner) countUnknownBreakage(step *step) {
	if step.breakage.isKnown {
		return
	}
	step.breakage.cause, step.breakage.isKnown = endUnknown, true
	planner.emit(messenger.Count{Counter: messenger.BrokenGangs, Reason: endUnknown.String()})
}

// describeLoss returns what is lost with a run and how often its task was stopped, as
// inputs of a log line.
func (run *run) describeLoss(now time.Time) string {
	description := fmt.Sprintf("since-checkpoint=%s stops=%d", run.unsavedTime(now).Round(time.Millisecond), run.task().stops)
	if breakage := run.step.breakage; run.step.spec.Gang && breakage.number == run.number {
		if !breakage.isKnown {
			return description + " broken-by=unknown"
		}
		description += fmt.Sprintf(" broken-by=%d:%s", breakage.member, breakage.cause)
	}
	return description
}
