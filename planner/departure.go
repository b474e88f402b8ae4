package planner

import (
	"fmt"
	"time"

	"corianderroad/accountant"
	"corianderroad/evictor"
)

const (
	// departureCheckInterval is the time between two decisions while minions leave.
	departureCheckInterval = 100 * time.Millisecond
	// minRefusalTime is the time between two refused connections after which a minion that has
	// announced its departure may count as ended. A single one may be due to a short lack of
	// resources at its machine.
	minRefusalTime = 150 * time.Millisecond
)

// noteDepartures lets the runs on minions that leave be decided about at once.
func (planner *Planner) noteDepartures(now time.Time) {
	if planner.stops == nil {
		return
	}
	for _, minion := range planner.minions {
		if minion.leaves(now) {
			planner.nextDepartureAt = now
			return
		}
	}
}

// departure returns when a minion leaves that has given notice. The age of its entry is at least
// what its clock has advanced since.
func (minion *minion) departure(now time.Time) time.Time {
	if age := minion.clockLowerBound(now) - minion.report.Clock; minion.report.Clock > 0 {
		return now.Add(minion.report.Remaining - max(age, 0))
	}
	return minion.leavesAt
}

// leaves reports whether the minion has given notice and has not left.
func (minion *minion) leaves(now time.Time) bool {
	return !minion.leavesAt.IsZero() && now.Before(minion.departure(now))
}

// noteRefusedConnection notes that nothing listens at the minion's address.
func (minion *minion) noteRefusedConnection(now time.Time) {
	if minion.firstRefusedAt.IsZero() {
		minion.firstRefusedAt = now
	}
	if minion.refusedAt.IsZero() {
		minion.refusedAt = now
	}
	minion.lastRefusedAt = now
	minion.hasEnded = now.Sub(minion.refusedAt) >= minRefusalTime
}

// refusedSince returns since when the minion has refused connections because it had ended, zero if
// it is not known to have ended. A single refused connection does not show that.
func (minion *minion) refusedSince() time.Time {
	if !minion.hasEnded {
		return time.Time{}
	}
	return minion.refusedAt
}

// hasOnlyRefused reports whether the minion has ended before it fell silent: it has refused all
// connections since. One that lives refuses them for a short time only.
func (minion *minion) hasOnlyRefused() bool {
	return minion.hasEnded && minion.refusedAt.Equal(minion.unresponsiveSince)
}

// hasLeft reports whether a minion that has given notice has ended: it is removed as announced, and
// nothing listens at its address. Whatever ran on it ended with it, so that the tasks need not
// wait until its leases have expired. Refused connections alone do not show that, because a
// process that shuts down may close its port before its runs end. Without a notice the tasks
// wait, because their minion may have crashed under one of them, which its next life shows.
func (planner *Planner) hasLeft(now time.Time, minion *minion) bool {
	return minion.hasEnded && planner.isRemovedAsAnnounced(now, minion)
}

// isRemovedAsAnnounced reports whether the store has removed the entry of a minion in normal
// operation, after the time at which it announced to leave. An entry lapses as well while its minion
// alone can't reach the store. A minion that answers without an entry has therefore not left.
func (planner *Planner) isRemovedAsAnnounced(now time.Time, minion *minion) bool {
	isRemoved := !minion.registered && !minion.answersUnlisted && planner.readings.areSettled(now)
	return minion.report.Draining && isRemoved && !now.Before(minion.departure(now))
}

// markLeftRunsLost marks the runs of a minion that has left as lost.
func (planner *Planner) markLeftRunsLost(now time.Time, minion *minion) {
	for _, run := range minion.sortedRuns() {
		planner.markRunLost(now, run, accountant.EndMinionGone, "its minion has left as announced", describeStore(minion))
		minion.lostRuns = append(minion.lostRuns, run)
	}
}

// saveLeaving stops the runs, and the whole gangs, that can't end before their minion leaves.
// They go on elsewhere from the checkpoint that a stop gives, if they have any. The end of a run
// that its minion has not listed when it leaves is certain only once the lease has expired, or
// the minion refuses connections.
func (planner *Planner) saveLeaving(now time.Time) {
	if planner.nextDepartureAt.IsZero() || now.Before(planner.nextDepartureAt) {
		return
	}
	planner.nextDepartureAt = time.Time{}
	planner.noteDepartures(now)
	if planner.nextDepartureAt.IsZero() {
		return
	}
	planner.nextDepartureAt = now.Add(departureCheckInterval) // runs may be found or confirmed meanwhile
	leavers, groups := planner.leavers(now)
	due, next := planner.stops.Save(now, leavers, maxPendingOrders-len(planner.pendingOrders))
	if !next.IsZero() && next.Before(planner.nextDepartureAt) {
		planner.nextDepartureAt = next
	}
	for _, index := range due {
		leaver := &leavers[index]
		reason := fmt.Sprintf("its minion leaves in %s, its work needs %s, value %.0f core-seconds",
			leaver.LeavesAt.Sub(now).Truncate(time.Millisecond), leaver.EndsAt.Sub(now).Truncate(time.Millisecond), leaver.Value)
		for _, run := range groups[index] {
			planner.stopRun(now, run, accountant.StopForDrain, reason)
		}
	}
}

// leavers returns the runs on the minions that leave, gangs as a whole, with the runs that end
// together.
func (planner *Planner) leavers(now time.Time) ([]evictor.Leaver, [][]*run) {
	var leavers []evictor.Leaver
	var groups [][]*run
	gangs := make(map[gangRunKey]int)
	for _, minion := range planner.sortedMinions() {
		if !minion.leaves(now) {
			continue
		}
		leavesAt := minion.departure(now)
		for _, run := range minion.sortedRuns() {
			if run.state != running || !run.isLeaver() {
				continue
			}
			if run.step.spec.Gang {
				key := gangRunKey{run.id.Job, run.id.Occurrence, run.id.Step, run.number}
				if index, known := gangs[key]; known {
					leavers[index].LeavesAt = earliest(leavers[index].LeavesAt, leavesAt)
					continue
				}
				gangs[key] = len(leavers)
			}
			runs := runsEndingWith(run)
			leavers, groups = append(leavers, planner.newLeaver(now, runs, leavesAt)), append(groups, runs)
		}
	}
	return leavers, groups
}

// isLeaver reports whether the run must be decided about when its minion leaves. One without
// checkpoints is stopped only if its measured speed shows that it ends too late.
func (run *run) isLeaver() bool {
	return !run.step.spec.LongRunning && (run.step.spec.Checkpoints || run.isMeasured())
}

func (planner *Planner) newLeaver(now time.Time, runs []*run, leavesAt time.Time) evictor.Leaver {
	work := lostWorkOf(now, runs)
	return evictor.Leaver{
		Value: work.Cores * work.Unsaved.Seconds(), Saves: runs[0].step.spec.Checkpoints, Runs: len(runs),
		EndsAt: planner.likelyEndOf(now, runs), LeavesAt: leavesAt,
	}
}
