package planner

import (
	"time"

	"corianderroad/specifier"
)

// reservations keep room that was made for a step from other steps until the
// runs in its way have ended.
type reservations struct {
	held heldPlaces
}

type heldPlaces map[*step]*reservation

type reservation struct {
	places map[*minion]specifier.Resources
	until  time.Time
}

func (reservations *reservations) hold(step *step, places map[*minion]specifier.Resources, until time.Time) {
	if reservations.held == nil {
		reservations.held = make(heldPlaces)
	}
	reservations.held[step] = &reservation{places: places, until: until}
}

func (reservations *reservations) has(step *step) bool { return reservations.held[step] != nil }

func (reservations *reservations) drop(step *step) { delete(reservations.held, step) }

func (reservations *reservations) expire(now time.Time) {
	for step, reservation := range reservations.held {
		if !now.Before(reservation.until) || !step.occurrence.job.open() {
			delete(reservations.held, step)
		}
	}
}

// free returns what a minion has left for a step.
func (reservations *reservations) free(wanted *step, minion *minion) specifier.Resources {
	free := minion.free()
	for step, reservation := range reservations.held {
		if step != wanted {
			free = free.Sub(reservation.places[minion])
		}
	}
	return free
}
