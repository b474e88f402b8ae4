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
	// isForMove means that the capacity is for tasks whose runs end one after the other, so that
	// a start uses up only its own part.
	isForMove bool
	// latestUntil limits how often it is extended while those tasks wait for the record of their
	// next start, zero if it is not extended.
	latestUntil time.Time
}

// maxRecordWait is how long capacity is reserved for moved tasks beyond the end of their runs.
// The holder loses its claim while the store answers nothing, so that this covers a slow store.
const maxRecordWait = 6 * time.Second

// isExtended reports whether the reservation lasts longer, because moved tasks of the step wait
// for a record.
func (reservation *reservation) isExtended(now time.Time, step *step) bool {
	return now.Before(reservation.latestUntil) && !step.awaitsTrial() && step.awaitsRecord(now)
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

// addForMove reserves capacity for tasks of a step whose runs are stopped for it. The members of
// a gang start together, so that one start uses up all of it.
func (reservations *reservations) addForMove(step *step, reservedCapacity map[*minion]specifier.Resources, until time.Time) {
	reservations.add(step, reservedCapacity, until)
	reservation := reservations.byStep[step]
	reservation.isForMove, reservation.latestUntil = !step.spec.Gang, until.Add(maxRecordWait)
}

// isForMove reports whether the reservation of a step is for tasks whose runs end one after the
// other.
func (reservations *reservations) isForMove(step *step) bool {
	reservation := reservations.byStep[step]
	return reservation != nil && reservation.isForMove
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
		if reservation.isExtended(now, step) {
			reservation.until = latest(reservation.until, now.Add(reservationSlack))
		}
		if !now.Before(reservation.until) || !step.occurrence.job.isOpen() {
			reservations.remove(step)
		}
	}
}

// capacityFor returns the capacity that is reserved for a step, nil if there is none.
func (reservations *reservations) capacityFor(step *step) map[*minion]specifier.Resources {
	if reservation := reservations.byStep[step]; reservation != nil {
		return reservation.reservedCapacity
	}
	return nil
}

// freeCapacity returns the capacity of a minion that is free for a step.
func (reservations *reservations) freeCapacity(step *step, minion *minion) specifier.Resources {
	free := minion.freeCapacity().Sub(minion.reserved)
	if own := reservations.byStep[step]; own != nil {
		free = free.Add(own.reservedCapacity[minion])
	}
	return free
}
