package planner

import (
	"fmt"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// Reasons of messenger.Crashes.
const (
	countRestarted   = "minion-restarted"
	countReplaced    = "minion-replaced"
	countUnreachable = "minion-unreachable"
	countReturned    = "minion-returned"
	countCommonCause = "common-cause"
	countSuspected   = "task-suspected"
	countCleared     = "task-cleared"
	countReleased    = "suspects-released"
	countRefuted     = "crash-refuted"
	countGivenUp     = "job-given-up"
)

// noteRestart notes the start of the next incarnation under the minion's name, or of another
// minion at its address, zero if it is not known. This one has ended before.
func (minion *minion) noteRestart(now time.Time, next identifier.Incarnation) {
	minion.endedBy = now
	born := time.UnixMilli(int64(next))
	if next > 0 && born.Before(now) && born.After(minion.answeredAt) {
		minion.endedBy = born
	}
	if refusedSince := minion.refusedSince(); !refusedSince.IsZero() && refusedSince.Before(minion.endedBy) {
		minion.endedBy = refusedSince
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
	age := max(run.minion.lastSignOfLife(now).Sub(begun), 0)
	if run.isAdopted {
		return max(age, unknownAge) // it had worked under the former holder
	}
	return age
}

// death is the end of an incarnation of a minion, as far as the holder knows.
type death struct {
	minion *minion
	at     time.Time
	// isCertain means that another incarnation, or another minion at its address, has shown
	// itself. Silence and a missing entry do not prove a death.
	isCertain bool
	// next is that incarnation, zero if it is not known.
	next identifier.Incarnation
	// wasOutOfReach means that the next incarnation was alive for some time before it showed
	// itself, so that the earlier one may have been as well when it fell silent.
	wasOutOfReach bool
	// counted is the reason of messenger.Crashes, reason that of the log line.
	counted string
	reason  string
}

// newDeath returns the end of a minion that has restarted or been replaced, as its later life
// shows from a time on.
func newDeath(now time.Time, minion *minion, next identifier.Incarnation, counted, reason string) *death {
	minion.noteRestart(now, next)
	return &death{
		minion: minion, at: now, isCertain: true, next: next,
		wasOutOfReach: minion.unresponsive && !minion.hasEnded && now.Sub(minion.endedBy) > maxReachDelay,
		counted:       counted, reason: reason,
	}
}

// latest returns until when the minion may have worked.
func (death *death) latest() time.Time {
	endedBy := death.minion.endedBy
	if endedBy.Before(death.at) && !endedBy.Equal(death.minion.refusedSince()) {
		return endedBy.Add(maxWallClockSkew) // by the wall clock of the next incarnation
	}
	return endedBy
}

// downTime returns the time between the last sign of a run's minion and its next life, at most.
// A minion without runs is not polled, so that its last answer may be old.
func (death *death) downTime(run *run) time.Duration {
	last := death.minion.answeredAt
	if run.startedAt.After(last) {
		last = run.startedAt
	}
	return death.minion.endedBy.Sub(last)
}

// noteDeath notes the death of an incarnation of a minion with the runs that it had, and
// those that it may have had when it fell silent.
func (planner *Planner) noteDeath(now time.Time, death *death) {
	minion := death.minion
	runs := append(minion.sortedRuns(), minion.lostRuns...)
	planner.reportDeath(now, death, runs)
	if minion.report.Draining || minion.closedForMaintenance {
		return // it has left as announced
	}
	silentPeers := make(map[*step]int)
	for _, run := range runs {
		if !run.mayHaveRun() {
			continue
		}
		if _, isCounted := silentPeers[run.step]; !isCounted {
			silentPeers[run.step] = planner.countSilentPeers(now, minion, run.step)
		}
		planner.noteCrash(now, death, run, silentPeers[run.step])
	}
}

// reportDeath logs and counts the death of a minion with the youngest run that it had. A
// task that crashes its minions shows as the youngest run again and again.
func (planner *Planner) reportDeath(now time.Time, death *death, runs []*run) {
	minion := death.minion
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
	detail += fmt.Sprintf(" certain=%t out-of-reach=%t", death.isCertain, death.wasOutOfReach)
	planner.emit(messenger.Count{Counter: messenger.Crashes, Reason: death.counted})
	planner.emitDecision(string(minion.report.Minion), "minion-gone", death.reason, detail, now.Sub(minion.clockAt))
}

// noteCrash notes that the minion of a run has crashed. A run that had worked for long
// shows that its task is not the reason.
func (planner *Planner) noteCrash(now time.Time, death *death, run *run, silentPeers int) {
	age := run.ageAtDeath(now)
	if age >= establishedAge {
		planner.forgetCrashes(run)
		return
	}
	evidence := planner.evidenceAgainst(run, death)
	if evidence == specifier.Unproven && age > maxUnprovenAge {
		return
	}
	planner.addCrash(now, run.step, run.id.Index, crash{
		placement: run.placement(), age: age, onTrial: run.isAloneOnTrial() && run.hasCertainlyRun(),
		evidence: planner.weighEvidence(evidence, run, age, silentPeers), next: death.next, silentPeers: silentPeers, isIsolated: true,
		undecidedUntil: now.Add(maxUndecidedTime), settledAt: now.Add(settlingTime),
	})
}

// weighEvidence lowers the evidence of a crash that many minions share, or that came so long
// after the start of a run that the run may have ended before.
func (planner *Planner) weighEvidence(evidence specifier.CrashEvidence, run *run, age time.Duration, silentPeers int) specifier.CrashEvidence {
	if planner.isMassSilence(silentPeers) {
		planner.emit(messenger.Count{Counter: messenger.Crashes, Reason: countCommonCause})
		return specifier.Unproven
	}
	if evidence == specifier.Restarted && age > maxUnprovenAge && !run.onTrial {
		return specifier.Unproven
	}
	return evidence
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
