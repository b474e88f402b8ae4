package evictor

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxSeeds is how many gangs are tried as the first victim of a choice.
	maxSeeds = 4
	// maxOverdue is how long after its expected end a run still counts as ending soon.
	maxOverdue = 300 * time.Millisecond
)

// Choose returns where all tasks of a step fit, at the lowest price that it finds, or
// false if they do not fit. Free room comes first, then the room of runs that are expected
// to end before stops would have freed any, then victims. With a choice that stops
// nothing, the step waits.
func (evictor *Evictor) Choose(now time.Time, room *Room) (Choice, bool) {
	ending := make([]bool, len(room.Victims))
	for index := range room.Victims {
		ending[index] = endsSoon(now, room.Victims[index].EndsAt, evictor.maxEndWait(room))
	}
	best, found := newPlan(room, ending).fill()
	if found && len(best.Stopped) == 0 {
		best.AwaitsUntil = awaitsUntil(room, ending, &best)
		return best, true
	}
	for _, seed := range seeds(room, ending) {
		if found && room.Victims[seed].Loss.Price >= best.Loss.Price {
			break
		}
		plan := newPlan(room, ending)
		plan.stop(seed)
		if choice, fits := plan.fill(); fits && (!found || choice.Loss.Price < best.Loss.Price) {
			best, found = choice, true
		}
	}
	return best, found
}

// maxEndWait returns within which time an expected end counts as sooner than a stop. If the run is
// then overdue, there is still time for a stop.
func (evictor *Evictor) maxEndWait(room *Room) time.Duration {
	if room.MustStart {
		return evictor.bounds.OrderTime - maxOverdue
	}
	return evictor.bounds.StopTimeout
}

// awaitsUntil returns until when the runs should have ended for which a choice waits, the
// zero time if it waits for none.
func awaitsUntil(room *Room, ending []bool, choice *Choice) time.Time {
	var until time.Time
	for index := range room.Victims {
		if !choice.Awaits || !ending[index] {
			continue
		}
		victim := &room.Victims[index]
		for _, share := range victim.Shares {
			if overdueAt := victim.EndsAt.Add(maxOverdue); choice.TasksOn[share.Minion] > 0 && overdueAt.After(until) {
				until = overdueAt
			}
		}
	}
	return until
}

// endsSoon reports whether a run is expected to end within a time.
func endsSoon(now, endsAt time.Time, within time.Duration) bool {
	return !endsAt.IsZero() && !now.After(endsAt.Add(maxOverdue)) && !endsAt.After(now.Add(within))
}

// seeds returns the cheapest victims that occupy more than one minion. One of them can
// make room for several tasks, which a choice task by task does not see.
func seeds(room *Room, ending []bool) []int {
	var found []int
	for index := range room.Victims {
		if !ending[index] && len(room.Victims[index].Shares) > 1 {
			found = append(found, index)
		}
	}
	slices.SortStableFunc(found, func(one, other int) int {
		return cmp.Compare(room.Victims[one].Loss.Price, room.Victims[other].Loss.Price)
	})
	return found[:min(len(found), maxSeeds)]
}
