// Package reserver decides which steps get reservations while capacity is short, and what
// may start beside them. A reservation names the earliest time at which all tasks of a step
// have room. Until then tasks that end before that time may use the room, so that as little
// capacity as possible is idle. The decisions are independent of how steps are placed.
package reserver

import (
	"math/bits"
	"slices"
	"time"

	"corianderroad/specifier"
)

// Restrictions is a set of reservations that restrict the start of a task.
type Restrictions uint64

const (
	// minReservations and maxReservations bound the reservations of a pool. Between them it
	// has one for each minionsPerReservation minions. With few of them, gangs wait one after
	// the other for minions to become free; with many, much capacity is idle.
	minReservations       = 4
	maxReservations       = 16
	minionsPerReservation = 24
	// retryDelay is how long a step gets no reservation after one was given up, or none was
	// possible.
	retryDelay = 2 * time.Second
	// minMargin is the shortest time by which a reservation may miss the start that it
	// promised when it was made. It doubles each time a reservation of the step is given up,
	// because run times may exceed their estimates by any factor.
	minMargin = 2 * time.Second
	// maxMarginDoublings bounds the doublings of the margin.
	maxMarginDoublings = 8
)

// Reservation is the room that a step will have.
type Reservation struct {
	Step     Step
	Priority int
	MadeAt   time.Time
	// PromisedAt is the start that was expected when the reservation was made, StartAt the
	// one that is expected now.
	PromisedAt, StartAt time.Time
	Tasks               int

	places []place
	bit    Restrictions
	// margin is how long after PromisedAt the reservation is given up.
	margin time.Duration
}

// place is the room on one minion.
type place struct {
	minion *Minion
	amount specifier.Resources
}

// Minions returns the number of minions with room of the reservation.
func (reservation *Reservation) Minions() int { return len(reservation.places) }

// history is what is known of a step that waits for a reservation.
type history struct {
	givenUp int
	// barredUntil is the time until which the step gets no reservation.
	barredUntil time.Time
	// lackedRoom means that it is barred because minionsThen minions had no room. It gets a
	// reservation as soon as there are more.
	lackedRoom  bool
	minionsThen int
}

// Reserver keeps the reservations of one pool. It is not safe for concurrent use.
type Reserver struct {
	reservations []*Reservation // the highest rank first
	histories    map[Step]*history
	plans        uint64
	minions      int // of the newest plan
}

// New returns a Reserver without reservations.
func New() *Reserver { return &Reserver{histories: make(map[Step]*history)} }

// Reservations returns the reservations, the highest rank first.
func (reserver *Reserver) Reservations() []*Reservation { return reserver.reservations }

// Start describes the start of a task of a step.
type Start struct {
	Step     Step
	Priority int
	// EndsAt is the expected end of the task.
	EndsAt time.Time
}

// Restrictions returns the reservations that a task must leave room for: those of the same or
// a higher priority that begin before the task ends. A step with a reservation precedes those
// with lower ranks. Priority 0 may take reserved capacity.
func (reserver *Reserver) Restrictions(start Start) Restrictions {
	var restrictions Restrictions
	if start.Priority <= 0 {
		return restrictions
	}
	for _, reservation := range reserver.reservations {
		if reservation.Step == start.Step {
			break
		}
		if start.Priority >= reservation.Priority && start.EndsAt.After(reservation.StartAt) {
			restrictions |= reservation.bit
		}
	}
	return restrictions
}

// Find returns the reservation of a step, nil if there is none.
func (reserver *Reserver) Find(step Step) *Reservation {
	for _, reservation := range reserver.reservations {
		if reservation.Step == step {
			return reservation
		}
	}
	return nil
}

// Meet removes the reservation of a step that has started. It returns nil if there is none.
func (reserver *Reserver) Meet(step Step) *Reservation {
	met := reserver.Find(step)
	if met != nil {
		reserver.remove(met)
		delete(reserver.histories, step)
	}
	return met
}

func (reserver *Reserver) remove(removed *Reservation) {
	for _, place := range removed.places {
		place.minion.release(removed.bit)
	}
	reserver.reservations = slices.DeleteFunc(reserver.reservations, func(reservation *Reservation) bool { return reservation == removed })
}

// unusedBit returns a bit that no reservation has.
func (reserver *Reserver) unusedBit() Restrictions {
	var used Restrictions
	for _, reservation := range reserver.reservations {
		used |= reservation.bit
	}
	return 1 << bits.TrailingZeros64(uint64(^used))
}
