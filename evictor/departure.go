package evictor

import (
	"cmp"
	"slices"
	"time"
)

const (
	// listTime is how long before a minion leaves a run must end for its end to be listed.
	listTime = 100 * time.Millisecond
	// timePerStop is by how much earlier saving begins for each run to be stopped.
	timePerStop = 2 * time.Millisecond
	// endUncertainty is the share of the expected remaining time by which a run may end sooner.
	endUncertainty = 0.25
)

// Leaver is a run on a minion that leaves, or a whole gang with such a run.
type Leaver struct {
	// Value is the work that is lost if it is not saved, in core-seconds.
	Value float64
	// Saves means that a stop saves its work. Otherwise its work is lost when its minion
	// leaves, or before.
	Saves bool
	// Runs is the number of runs that are stopped with it.
	Runs int
	// EndsAt is the expected end.
	EndsAt time.Time
	// LeavesAt is when the first of its minions leaves.
	LeavesAt time.Time
}

// EndsInTime reports whether the leaver is expected to end before its minion leaves.
func (leaver *Leaver) EndsInTime() bool {
	return !leaver.EndsAt.After(leaver.LeavesAt.Add(-listTime))
}

// isLost reports whether the leaver certainly ends too late, even if it works faster than
// expected.
func (leaver *Leaver) isLost(now time.Time) bool {
	shortest := time.Duration(float64(leaver.EndsAt.Sub(now)) * (1 - endUncertainty))
	return now.Add(shortest).After(leaver.LeavesAt)
}

// Save returns the leavers to stop now, the most valuable first, with at most maxRuns runs
// together, and when to decide again, the zero time if there is nothing left to decide.
// A leaver works on until the last time at which its stop still ends before its minion
// leaves, and one that can end in time is left alone. One whose work can't be saved is stopped
// as soon as it certainly ends too late: it starts again sooner, and a gang does not keep its
// places on other minions.
func (evictor *Evictor) Save(now time.Time, leavers []Leaver, maxRuns int) (due []int, next time.Time) {
	runs := 0
	for index := range leavers {
		runs += leavers[index].Runs
	}
	lead := evictor.stopTime() + time.Duration(runs)*timePerStop
	for index := range leavers {
		leaver := &leavers[index]
		if !leaver.Saves {
			if leaver.isLost(now) {
				due = append(due, index)
			}
		} else if saveAt := leaver.LeavesAt.Add(-lead); now.Before(saveAt) {
			next = earliest(next, saveAt)
		} else if !leaver.EndsInTime() {
			due = append(due, index)
		}
	}
	slices.SortStableFunc(due, func(one, other int) int { return cmp.Compare(leavers[other].Value, leavers[one].Value) })
	for count, index := range due {
		if maxRuns -= leavers[index].Runs; maxRuns < 0 && count > 0 {
			return due[:count], earliest(next, now.Add(timePerStop*time.Duration(leavers[index].Runs)))
		}
	}
	return due, next
}

func earliest(one, other time.Time) time.Time {
	if one.IsZero() || other.Before(one) {
		return other
	}
	return one
}
