package reserver

import (
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// Minion is a minion with its free capacity and what becomes free when its runs end.
type Minion struct {
	Rack identifier.Rack
	// Capacity is the minion's whole capacity, Free what is free now. Fields of Free may be
	// negative.
	Capacity, Free specifier.Resources
	// Ends are the expected ends of the runs that end, in any order.
	Ends []End

	// held has the bits of the reservations that hold room on the minion.
	held  Restrictions
	holds []hold
	// planned is the number of the newest call of Plan that listed the minion.
	planned uint64
}

// End is the expected end of a run and the capacity that it frees.
type End struct {
	At    time.Time
	Frees specifier.Resources
}

// hold is the room that a reservation has on a minion.
type hold struct {
	reservation Restrictions
	// spare is the room that is left beside the reservation at its start.
	spare specifier.Resources
}

// IsHeld reports whether a reservation holds room on the minion.
func (minion *Minion) IsHeld() bool { return minion.held != 0 }

// Fit returns how many tasks of a request may start on the minion beside the reservations
// that restrict them, up to a limit. Whether there is room now is for the caller to check.
func (minion *Minion) Fit(restrictions Restrictions, request specifier.Resources, limit int) int {
	if minion.held&restrictions == 0 {
		return limit
	}
	for index := range minion.holds {
		if minion.holds[index].reservation&restrictions != 0 {
			limit = minion.holds[index].spare.Fit(request, limit)
		}
	}
	return limit
}

// Occupy notes the start of a task that is restricted by reservations.
func (minion *Minion) Occupy(restrictions Restrictions, request specifier.Resources) {
	if minion.held&restrictions == 0 {
		return
	}
	for index := range minion.holds {
		if minion.holds[index].reservation&restrictions != 0 {
			minion.holds[index].spare = minion.holds[index].spare.Sub(request)
		}
	}
}

// sortEnds sorts the expected ends. Those that are overdue count as now.
func (minion *Minion) sortEnds(now time.Time) {
	for index := range minion.Ends {
		if minion.Ends[index].At.Before(now) {
			minion.Ends[index].At = now
		}
	}
	slices.SortFunc(minion.Ends, func(one, other End) int { return one.At.Compare(other.At) })
}

// hold holds room for a reservation from its start until its tasks end. Reservations that
// are planned later find only the room beside it.
func (minion *Minion) hold(reservation *Reservation, amount specifier.Resources, endsAt time.Time) {
	minion.held |= reservation.bit
	minion.holds = append(minion.holds, hold{reservation: reservation.bit, spare: minion.freeAt(reservation.StartAt).Sub(amount)})
	minion.Free = minion.Free.Sub(amount)
	index, _ := slices.BinarySearchFunc(minion.Ends, endsAt, func(end End, at time.Time) int { return end.At.Compare(at) })
	minion.Ends = slices.Insert(minion.Ends, index, End{At: endsAt, Frees: amount})
}

// freeAt returns the capacity that is expected to be free at a time.
func (minion *Minion) freeAt(at time.Time) specifier.Resources {
	free := minion.Free
	for index := range minion.Ends {
		if minion.Ends[index].At.After(at) {
			break
		}
		free = free.Add(minion.Ends[index].Frees)
	}
	return free
}

func (minion *Minion) release(reservation Restrictions) {
	minion.held &^= reservation
	minion.holds = slices.DeleteFunc(minion.holds, func(hold hold) bool { return hold.reservation&reservation != 0 })
}

func (minion *Minion) releaseAll() { minion.held, minion.holds = 0, minion.holds[:0] }
