package planner

import (
	"time"

	"corianderroad/specifier"
)

// reservations withhold capacity reclaimed for a step from other steps until
// the victims have ended.
type reservations struct {
	byStep reservationsByStep
}

type reservationsByStep map[*step]*reservation

type reservation struct {
	reservedCapacity map[*minion]specifier.Resources
	until            time.Time
}

func (reservations *reservations) add(step *step, reservedCapacity map[*minion]specifier.Resources, until time.Time) {
	if reservations.byStep == nil {
		reservations.byStep = make(reservationsByStep)
	}
	reservations.byStep[step] = &reservation{reservedCapacity: reservedCapacity, until: until}
	for minion, amount := range reservedCapacity {
		minion.reserved = minion.reserved.Add(amount)
	}
}

func (reservations *reservations) has(step *step) bool { return reservations.byStep[step] != nil }

func (reservations *reservations) remove(step *step) {
	reservation := reservations.byStep[step]
	if reservation == nil {
		return
	}
	delete(reservations.byStep, step)
	for minion, amount := range reservation.reservedCapacity {
		minion.reserved = minion.reserved.Sub(amount)
	}
}

// release removes the parts of all reservations on a minion, and the reservations that have
// no other part.
func (reservations *reservations) release(minion *minion) {
	for step, reservation := range reservations.byStep {
		amount, exists := reservation.reservedCapacity[minion]
		if !exists {
			continue
		}
		minion.reserved = minion.reserved.Sub(amount)
		delete(reservation.reservedCapacity, minion)
		if len(reservation.reservedCapacity) == 0 {
			delete(reservations.byStep, step)
		}
	}
}

// expire removes the reservations that have expired or whose job is no longer open.
func (reservations *reservations) expire(now time.Time) {
	for step, reservation := range reservations.byStep {
		if !now.Before(reservation.until) || !step.occurrence.job.isOpen() {
			reservations.remove(step)
		}
	}
}

// freeCapacity returns the capacity of a minion that is free for a step.
func (reservations *reservations) freeCapacity(step *step, minion *minion) specifier.Resources {
	free := minion.freeCapacity().Sub(minion.reserved)
	if own := reservations.byStep[step]; own != nil {
		free = free.Add(own.reservedCapacity[minion])
	}
	return free
}
