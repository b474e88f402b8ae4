package planner

import (
	"fmt"
	"time"

	"corianderroad/messenger"
)

// Reasons of messenger.Crashes.
const (
	countRestarted   = "minion-restarted"
	countReplaced    = "minion-replaced"
	countUnreachable = "minion-unreachable"
)

// lastSignOfLife returns until when the minion may have worked, as far as the holder
// knows: until the first order without an answer.
func (minion *minion) lastSignOfLife(now time.Time) time.Time {
	if minion.unresponsive {
		return minion.unresponsiveSince
	}
	return now
}

// ageAtDeath returns for how long a run has worked when its minion died, at most.
func (run *run) ageAtDeath(now time.Time) time.Duration {
	begun := run.startConfirmedAt
	if begun.IsZero() {
		begun = run.startedAt
	}
	return max(run.minion.lastSignOfLife(now).Sub(begun), 0)
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
