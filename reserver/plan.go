package reserver

import (
	"slices"
	"time"
)

// Outcome is what has become of a reservation.
type Outcome uint8

// Outcomes of reservations.
const (
	// Made means that a step has a reservation that had none.
	Made Outcome = iota + 1
	// StepGone means that a reservation was given up because its step waits no longer.
	StepGone
	// MinionGone means that a reservation was given up because one of its minions accepts no
	// runs any more, or has shrunk.
	MinionGone
	// Overdue means that a reservation was given up because its time has passed by a margin.
	Overdue
	// NoRoom means that a reservation was given up because the minions that are left never
	// have room for the step.
	NoRoom
	// Displaced means that steps of higher rank have taken all reservations.
	Displaced
)

// String returns the outcome in log lines.
func (outcome Outcome) String() string {
	return [...]string{"", "made", "step-gone", "minion-gone", "overdue", "no-room", "displaced"}[outcome]
}

// Change is a reservation that was made or given up.
type Change struct {
	Reservation *Reservation
	Outcome     Outcome
}

// Plan plans the reservations anew for the steps that wait, on the minions that accept runs.
// It returns the reservations that were made and given up. It changes Free and Ends of the
// minions.
func (reserver *Reserver) Plan(now time.Time, minions []*Minion, demands []*Demand) []Change {
	reserver.plans++
	reserver.minions = len(minions)
	earlier := reserver.releaseReservations()
	for _, minion := range minions {
		minion.sortEnds(now)
		minion.planned = reserver.plans
	}
	reserver.forgetSteps(demands)
	changes := reserver.giveUpUnmet(now, earlier, demands)
	given := len(changes)
	demands = slices.Clone(demands)
	slices.SortFunc(demands, compareRank)
	limit := min(max(len(minions)/minionsPerReservation, minReservations), maxReservations)
	pool := newPool(minions)
	for attempts := 0; len(demands) > 0 && len(reserver.reservations) < limit && attempts < maxAttemptsFactor*limit; demands = demands[1:] {
		if reserver.isBarred(now, demands[0].Step) {
			continue
		}
		attempts++
		if made := reserver.plan(now, pool, demands[0], earlier); made != nil {
			changes = append(changes, Change{made, Made})
		}
	}
	for _, reservation := range earlier {
		if reserver.Find(reservation.Step) == nil && !slices.ContainsFunc(changes[:given], func(change Change) bool { return change.Reservation == reservation }) {
			changes = append(changes, Change{reservation, reserver.lossOutcome(now, reservation)})
		}
	}
	return changes
}

// releaseReservations releases the room of all reservations, and returns them.
func (reserver *Reserver) releaseReservations() []*Reservation {
	released := reserver.reservations
	reserver.reservations = nil
	for _, reservation := range released {
		for _, place := range reservation.places {
			place.minion.releaseAll()
		}
	}
	return released
}

// lossOutcome returns why a step that still waits has no reservation any more.
func (reserver *Reserver) lossOutcome(now time.Time, reservation *Reservation) Outcome {
	if reserver.isBarred(now, reservation.Step) {
		return NoRoom
	}
	return Displaced
}

// maxAttemptsFactor bounds the demands that one call considers, in multiples of the limit.
const maxAttemptsFactor = 2

// forgetSteps discards what is known of steps that wait no longer.
func (reserver *Reserver) forgetSteps(demands []*Demand) {
	if len(reserver.histories) == 0 {
		return
	}
	waiting := make(map[Step]bool, len(demands))
	for _, demand := range demands {
		waiting[demand.Step] = true
	}
	for step := range reserver.histories {
		if !waiting[step] {
			delete(reserver.histories, step)
		}
	}
}

// giveUpUnmet returns the earlier reservations that can't be met, with the reasons.
func (reserver *Reserver) giveUpUnmet(now time.Time, earlier []*Reservation, demands []*Demand) []Change {
	var changes []Change
	for _, reservation := range earlier {
		isWaiting := slices.ContainsFunc(demands, func(demand *Demand) bool { return demand.Step == reservation.Step })
		switch {
		case !isWaiting:
			changes = append(changes, Change{reservation, StepGone})
		case reservation.hasLostMinion(reserver.plans):
			changes = append(changes, Change{reservation, MinionGone})
		case now.Sub(reservation.PromisedAt) > reservation.margin:
			history := reserver.history(reservation.Step)
			history.givenUp++
			history.barredUntil, history.lackedRoom = now.Add(retryDelay), false
			changes = append(changes, Change{reservation, Overdue})
		}
	}
	return changes
}

// hasLostMinion reports whether a minion of the reservation is not listed in a plan, or has
// less capacity than the reservation holds there.
func (reservation *Reservation) hasLostMinion(plan uint64) bool {
	return slices.ContainsFunc(reservation.places, func(place place) bool {
		return place.minion.planned != plan || !place.minion.Capacity.Holds(place.amount)
	})
}

func (reserver *Reserver) isBarred(now time.Time, step Step) bool {
	history := reserver.histories[step]
	if history == nil || (history.lackedRoom && reserver.minions > history.minionsThen) {
		return false
	}
	return now.Before(history.barredUntil)
}

func (reserver *Reserver) history(step Step) *history {
	known := reserver.histories[step]
	if known == nil {
		known = &history{}
		reserver.histories[step] = known
	}
	return known
}

// plan plans the reservation of a step. It returns the reservation if the step had none.
func (reserver *Reserver) plan(now time.Time, pool *pool, demand *Demand, earlier []*Reservation) *Reservation {
	slots := demand.earliestSlots(now, pool)
	if slots == nil {
		history := reserver.history(demand.Step)
		history.barredUntil, history.lackedRoom, history.minionsThen = now.Add(retryDelay), true, len(pool.minions)
		return nil
	}
	reservation := &Reservation{
		Step: demand.Step, Priority: demand.Priority, MadeAt: now, StartAt: slots[len(slots)-1].at, Tasks: demand.Tasks, bit: reserver.unusedBit(),
	}
	reservation.PromisedAt = reservation.StartAt
	reservation.margin = max(minMargin, reservation.StartAt.Sub(now)) << min(reserver.givenUp(demand.Step), maxMarginDoublings)
	isNew := true
	for _, known := range earlier {
		if known.Step == demand.Step && !known.hasLostMinion(reserver.plans) {
			reservation.MadeAt, reservation.PromisedAt, reservation.margin = known.MadeAt, known.PromisedAt, known.margin
			isNew = false
		}
	}
	reservation.hold(demand, pool.minions, slots)
	reserver.reservations = append(reserver.reservations, reservation)
	if !isNew {
		return nil
	}
	return reservation
}

func (reserver *Reserver) givenUp(step Step) int {
	if history := reserver.histories[step]; history != nil {
		return history.givenUp
	}
	return 0
}

// hold holds the room of the slots.
func (reservation *Reservation) hold(demand *Demand, minions []*Minion, slots []slot) {
	tasks := make(map[int]int, len(slots))
	for _, slot := range slots {
		tasks[slot.minion]++
	}
	endsAt := reservation.StartAt.Add(demand.RunTime)
	for index, count := range tasks {
		amount := demand.Request.Times(count)
		minions[index].hold(reservation, amount, endsAt)
		reservation.places = append(reservation.places, place{minion: minions[index], amount: amount})
	}
}
