package planner

import (
	"fmt"
	"time"

	"corianderroad/evictor"
)

// departureCheckInterval is the time between two decisions while runs are left on minions
// that leave soon.
const departureCheckInterval = 100 * time.Millisecond

// noteDepartures lets the runs on minions that leave be decided about at once.
func (planner *Planner) noteDepartures(now time.Time) {
	if planner.stops == nil {
		return
	}
	for _, minion := range planner.minions {
		if !minion.leavesAt.IsZero() && len(minion.runs) > 0 {
			planner.nextDepartureAt = now
			return
		}
	}
}

// correctDeparture takes the age of an entry into account. It is at least what the minion's
// clock has advanced since.
func (minion *minion) correctDeparture(now time.Time) {
	if minion.leavesAt.IsZero() || minion.report.Clock == 0 {
		return
	}
	if age := minion.clockLowerBound(now) - minion.report.Clock; age > 0 {
		minion.leavesAt = minion.leavesAt.Add(-age)
	}
}

// saveLeaving stops the runs, and the whole gangs, that can't end before their minion leaves.
// They go on elsewhere from the checkpoint that a stop gives, if they have any. The end of a run
// that its minion has not listed when it leaves is certain only once the lease has expired.
func (planner *Planner) saveLeaving(now time.Time) {
	if planner.nextDepartureAt.IsZero() || now.Before(planner.nextDepartureAt) {
		return
	}
	planner.nextDepartureAt = time.Time{}
	leavers, groups := planner.leavers(now)
	if len(leavers) == 0 {
		return
	}
	due, next := planner.stops.Save(now, leavers, maxPendingOrders-len(planner.pendingOrders))
	for _, index := range due {
		leaver := &leavers[index]
		for _, run := range groups[index] {
			planner.stopRun(now, run, stopForDrain, fmt.Sprintf("its minion leaves in %s, its work needs %s, value %.0f core-seconds",
				leaver.LeavesAt.Sub(now).Truncate(time.Millisecond), leaver.EndsAt.Sub(now).Truncate(time.Millisecond), leaver.Value))
		}
	}
	if len(due) < len(leavers) {
		planner.nextDepartureAt = now.Add(departureCheckInterval)
		if !next.IsZero() && next.Before(planner.nextDepartureAt) {
			planner.nextDepartureAt = next
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
		if minion.leavesAt.IsZero() || now.After(minion.leavesAt) {
			continue
		}
		for _, run := range minion.sortedRuns() {
			if run.state != running || run.step.spec.LongRunning {
				continue
			}
			if run.step.spec.Gang {
				key := gangRunKey{run.id.Job, run.id.Occurrence, run.id.Step, run.number}
				if index, known := gangs[key]; known {
					leavers[index].LeavesAt = minTime(leavers[index].LeavesAt, minion.leavesAt)
					continue
				}
				gangs[key] = len(leavers)
			}
			runs := runsEndingWith(run)
			leavers, groups = append(leavers, newLeaver(now, runs, minion.leavesAt)), append(groups, runs)
		}
	}
	return leavers, groups
}

func newLeaver(now time.Time, runs []*run, leavesAt time.Time) evictor.Leaver {
	work := lostWorkOf(now, runs)
	endsAt := expectedEndOf(runs)
	if endsAt.IsZero() {
		endsAt = now.Add(runs[0].remainingTime(now))
	}
	return evictor.Leaver{
		Value: work.Cores * work.Unsaved.Seconds(), Saves: runs[0].step.spec.Checkpoints, Runs: len(runs), EndsAt: endsAt, LeavesAt: leavesAt,
	}
}

func minTime(one, other time.Time) time.Time {
	if other.Before(one) {
		return other
	}
	return one
}
