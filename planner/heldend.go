package planner

import (
	"time"

	"corianderroad/messenger"
)

// maxHoldTime bounds how long after a claim ends are held back. A minion that is
// registered but silent for longer must not keep those of all others unrecorded.
const maxHoldTime = 20 * time.Second

// holdEnd holds back an end of a run that a former holder started, until all
// minions have reported their runs. A minion that is out of reach may have a later
// run of the same task. The end counts for the task at once, but if it were recorded
// now, that run would count as a start after a recorded end.
func (planner *Planner) holdEnd(now time.Time, minion *minion, end messenger.RunEnd) {
	_, exists := minion.runs[runKey{end.Task, end.Run}]
	if !exists && end.Kind == messenger.EndDone && planner.mustHoldEnds(now) {
		minion.heldEnds = append(minion.heldEnds, end)
		planner.holder.holdsEnds = true
	}
}

// mustHoldEnds reports whether a minion may still report runs that this holder does
// not know.
func (planner *Planner) mustHoldEnds(now time.Time) bool {
	if now.Sub(planner.holder.claimedAt) >= maxHoldTime {
		return false
	}
	for _, minion := range planner.minions {
		if !minion.polled {
			return true
		}
	}
	return false
}

// releaseHeldEnds lets the held ends be recorded once all minions have reported
// their runs, apart from those whose task was started again.
func (planner *Planner) releaseHeldEnds(now time.Time) {
	if !planner.holder.holdsEnds || planner.mustHoldEnds(now) {
		return
	}
	planner.holder.holdsEnds = false
	for _, minion := range planner.minions {
		for _, end := range minion.heldEnds {
			_, task := planner.findTask(end.Task)
			if task != nil && end.Run < task.latestRun {
				minion.ignoreEnd(end.Number)
			}
		}
		if len(minion.heldEnds) == 0 {
			continue
		}
		minion.heldEnds = nil
		if minion.recordableEnd() > minion.recordedEnd {
			planner.recording.addMinion(minion)
		}
		if !minion.polling && minion.nextPollAt.IsZero() {
			minion.nextPollAt = now
		}
	}
}
