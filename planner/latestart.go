package planner

import (
	"slices"
	"time"

	"corianderroad/messenger"
)

// maxOrderDelay is how long after it was sent an order without an answer may still be carried
// out.
const maxOrderDelay = time.Minute

// keepLateStart keeps a run that has ended although an attempt to start it may still be carried
// out. The minion refuses that attempt, but its next incarnation knows nothing of the run.
func (minion *minion) keepLateStart(now time.Time, run *run) {
	if run.mayHaveArrived {
		minion.lateStarts = append(minion.recentLateStarts(now), run)
	}
}

// recentLateStarts drops the kept runs that can't be started late any more and returns the
// others.
func (minion *minion) recentLateStarts(now time.Time) []*run {
	minion.lateStarts = slices.DeleteFunc(minion.lateStarts, func(kept *run) bool { return now.Sub(kept.startedAt) > maxOrderDelay })
	return minion.lateStarts
}

// stopLateStarts stops the ended runs of an incarnation at the next one, which then refuses an
// attempt to start them. They occupy no capacity there.
func (planner *Planner) stopLateStarts(now time.Time, earlier, next *minion) {
	next.lateStarts = earlier.recentLateStarts(now)
	earlier.lateStarts = nil
	for _, run := range next.lateStarts {
		run.minion = next
		planner.sendStop(now, run)
	}
}

// handleLateStopAnswer handles the answer to an order for a run that has ended.
func (planner *Planner) handleLateStopAnswer(now time.Time, run *run, event messenger.OrderAnswered) {
	if _, isStop := event.Sent.Order.(messenger.StopRun); isStop && event.Err != nil && run.awaitsStop(now) {
		planner.scheduleStop(now, run)
	}
}

// awaitsStop reports whether a stop of the run that has failed must be repeated.
func (run *run) awaitsStop(now time.Time) bool {
	minion := run.minion
	return minion.runs[runKey{run.id, run.number}] == run || slices.Contains(minion.recentLateStarts(now), run)
}
