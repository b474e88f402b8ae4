package planner

import (
	"fmt"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// Reasons of messenger.Crashes.
const (
	countRestarted   = "minion-restarted"
	countReplaced    = "minion-replaced"
	countUnreachable = "minion-unreachable"
	countSuspected   = "task-suspected"
	countCleared     = "task-cleared"
	countReleased    = "suspects-released"
	countRefuted     = "crash-refuted"
	countGivenUp     = "job-given-up"
)

// noteRestart notes the start of the next incarnation under the minion's name. This one has
// ended before.
func (minion *minion) noteRestart(now time.Time, next identifier.Incarnation) {
	minion.endedBy = now
	if born := time.UnixMilli(int64(next)); born.Before(now) {
		minion.endedBy = born
	}
}

// lastSignOfLife returns until when the minion may have worked, as far as the holder
// knows: until the first order without an answer, or the start of its next incarnation.
func (minion *minion) lastSignOfLife(now time.Time) time.Time {
	last := now
	if minion.unresponsive {
		last = minion.unresponsiveSince
	}
	if !minion.endedBy.IsZero() && minion.endedBy.Before(last) {
		last = minion.endedBy
	}
	return last
}

// mayHaveRun reports whether the minion may have had the run before it died. A start that
// was sent later has reached the next incarnation, if any.
func (run *run) mayHaveRun() bool {
	endedBy := run.minion.endedBy
	return !run.isAnsweredByOther && (endedBy.IsZero() || !run.startedAt.After(endedBy))
}

// ageAtDeath returns for how long a run has worked when its minion died, at most.
func (run *run) ageAtDeath(now time.Time) time.Duration {
	begun := run.startConfirmedAt
	if begun.IsZero() {
		begun = run.startedAt
	}
	return max(run.minion.lastSignOfLife(now).Sub(begun), 0)
}

// noteDeath notes the death of an incarnation of a minion with the runs that it had, and
// those that it may have had when it fell silent.
func (planner *Planner) noteDeath(now time.Time, minion *minion, counted, reason string) {
	runs := append(minion.sortedRuns(), minion.lostRuns...)
	planner.reportDeath(now, minion, runs, counted, reason)
	if minion.report.Draining || minion.closedForMaintenance {
		return // it has left as announced
	}
	for _, run := range runs {
		if run.mayHaveRun() {
			planner.noteCrash(now, run)
		}
	}
}

// reportDeath logs and counts the death of a minion with the youngest run that it had. A
// task that crashes its minions shows as the youngest run again and again.
func (planner *Planner) reportDeath(now time.Time, minion *minion, runs []*run, counted, reason string) {
	detail := fmt.Sprintf("runs=%d", len(runs))
	var youngest *run
	for _, run := range runs {
		if youngest == nil || run.ageAtDeath(now) < youngest.ageAtDeath(now) {
			youngest = run
		}
	}
	if youngest != nil {
		detail += fmt.Sprintf(" youngest-run=%s age-at-death=%s", youngest.id, youngest.ageAtDeath(now).Round(time.Millisecond))
	}
	planner.emit(messenger.Count{Counter: messenger.Crashes, Reason: counted})
	planner.emitDecision(string(minion.report.Minion), "minion-gone", reason, detail, now.Sub(minion.clockAt))
}

// noteCrash notes that the minion of a run has crashed. A run that had worked for long
// shows that its task is not the reason.
func (planner *Planner) noteCrash(now time.Time, run *run) {
	age := run.ageAtDeath(now)
	if age < establishedAge {
		planner.addCrash(run.step, run.id.Index, crash{placement: run.placement(), age: age, onTrial: run.isAloneOnTrial() && run.hasCertainlyRun()})
		return
	}
	planner.forgetCrashes(run)
}

// hasCertainlyRun reports whether a run on trial has started on its minion, now that the
// minion has crashed: its start is confirmed, or no other one on trial could be the reason.
func (run *run) hasCertainlyRun() bool {
	if !run.startConfirmedAt.IsZero() {
		return true
	}
	if !run.mayHaveArrived {
		return false
	}
	for _, other := range run.minion.runs {
		if other != run && other.onTrial && !run.step.spec.Gang {
			return false
		}
	}
	return true
}
