package planner

import (
	"fmt"
	"time"

	"corianderroad/classifier"
	"corianderroad/messenger"
)

// readMinions takes reports from the store. A later start time under the same
// name is another life: nothing of the earlier one runs any more.
func (planner *Planner) readMinions(now time.Time, event messenger.MinionsRead) {
	if planner.hold.token == 0 {
		return
	}
	if event.Complete {
		for _, minion := range planner.minions {
			minion.listed = false
		}
	}
	for _, report := range event.Reports {
		planner.readMinion(now, report)
	}
	for _, gone := range event.Removed {
		if minion, ok := planner.minions[gone]; ok {
			minion.listed = false
		}
	}
	planner.changed = true
}

func (planner *Planner) readMinion(now time.Time, report messenger.MinionReport) {
	known, ok := planner.minions[report.Minion]
	if ok && known.report.Incarnation == report.Incarnation {
		drains := report.Draining && !known.report.Draining
		known.update(report, now)
		if drains {
			planner.decide(string(report.Minion), "minion-draining", "its report says so", "", report.Remaining)
		}
		return
	}
	if ok {
		if report.Incarnation < known.report.Incarnation {
			return
		}
	}
	fresh := newMinion(report, now)
	if planner.hold.active {
		fresh.lookAt = now
	}
	if ok {
		planner.succeed(now, known, fresh)
	}
	planner.setMinion(fresh)
	planner.decide(string(report.Minion), "minion-registered", "its report was read",
		fmt.Sprintf("address=%s domain=%s", report.Address, report.FailureDomain), 0)
}

// succeed replaces a life by the next one under the same name. What ran in the
// earlier one has ended. An order that brought no answer may reach the next
// one, so that runs which were never seen are taken along.
func (planner *Planner) succeed(now time.Time, earlier, fresh *minion) {
	for _, run := range earlier.sortedRuns() {
		if !run.knownAt.IsZero() {
			planner.lose(now, run, "its minion has started again")
			continue
		}
		delete(earlier.runs, runKey{run.id, run.number})
		run.minion = fresh
		fresh.add(run)
		fresh.leaseSent = fresh.clockFloor(now) + planner.bounds.LongestLease
		if run.state == stopping {
			planner.sendStop(now, run)
		} else {
			planner.sendStart(now, run)
		}
	}
	planner.decide(string(earlier.report.Minion), "minion-gone", "it has started again", "", now.Sub(earlier.clockAt))
}

// bury ends all runs of a life that is over.
func (planner *Planner) bury(now time.Time, minion *minion, reason string) {
	for _, run := range minion.sortedRuns() {
		planner.lose(now, run, reason)
	}
	planner.removeMinion(minion)
	planner.decide(string(minion.report.Minion), "minion-gone", reason, "", now.Sub(minion.clockAt))
}

// lookAround sends the looks that are due and gives up minions whose leases
// have lapsed.
func (planner *Planner) lookAround(now time.Time) {
	for _, minion := range planner.sortedMinions() {
		if minion.failing && len(minion.runs) > 0 && minion.lapsed(now) {
			for _, run := range minion.sortedRuns() {
				planner.lose(now, run, "the lease has lapsed")
			}
		}
		if minion.failing && !minion.listed && len(minion.runs) == 0 {
			planner.removeMinion(minion)
			planner.decide(string(minion.report.Minion), "minion-gone", "neither registered nor reachable", "", now.Sub(minion.failingSince))
			continue
		}
		if !minion.looking && !minion.lookAt.IsZero() && !now.Before(minion.lookAt) {
			planner.look(now, minion)
		}
	}
	planner.settle(now)
}

func (planner *Planner) look(now time.Time, minion *minion) {
	look := messenger.PollRuns{AcknowledgedEnd: minion.seen}
	if len(minion.runs) > 0 && minion.clock > 0 {
		look.LeaseUntil = minion.lease(now, planner.bounds.LongestLease)
	}
	if minion.confirmed && !minion.failing && len(minion.runs) > 0 && minion.seen == minion.listedEnd && minion.ignored == 0 {
		look.Wait = lookWait
		if minion.sharing() {
			look.Wait = sharedWait
		}
	}
	minion.looking = true
	minion.lookAt = time.Time{}
	planner.order(now, minion, look, answerTimeout+look.Wait, nil)
}

// order sends an order and remembers the run that it concerns, if any.
func (planner *Planner) order(now time.Time, minion *minion, order messenger.Order, timeout time.Duration, run *run) {
	planner.lastID++
	if run != nil {
		planner.orders[planner.lastID] = run
	}
	planner.emit(messenger.OrderMinion{
		ID: planner.lastID, Minion: minion.report.Minion, Incarnation: minion.report.Incarnation,
		Address: minion.report.Address, Token: planner.hold.token,
		Expires: now.Add(orderLife), Timeout: timeout, Order: order,
	})
}

// answered takes the answer to any order.
func (planner *Planner) answered(now time.Time, event messenger.OrderAnswered) {
	run := planner.orders[event.Sent.ID]
	delete(planner.orders, event.Sent.ID)
	if !planner.hold.active || event.Sent.Token != planner.hold.token {
		return
	}
	minion, ok := planner.minions[event.Sent.Minion]
	if !ok || event.Sent.Incarnation != minion.report.Incarnation {
		return // the order was addressed to a life that is over
	}
	if event.Err != nil && event.Err.Code == classifier.StaleTerm {
		planner.emit(messenger.HolderFenced{Token: planner.hold.token})
		planner.resign()
		return
	}
	_, isLook := event.Sent.Order.(messenger.PollRuns)
	if isLook {
		minion.looking = false
	}
	if planner.otherLife(now, minion, event) {
		return
	}
	planner.heard(now, minion, event)
	if isLook {
		planner.looked(now, minion, event)
	} else if run != nil {
		planner.ordered(now, run, event)
	}
	planner.changed = true
}

// otherLife reports whether another life answered than the one that was
// addressed, which is then over.
func (planner *Planner) otherLife(now time.Time, minion *minion, event messenger.OrderAnswered) bool {
	refused := event.Err != nil && event.Err.Code == classifier.UnknownNode
	if !refused && (event.Incarnation == 0 || event.Incarnation == minion.report.Incarnation) {
		return false
	}
	if !refused && event.Incarnation < minion.report.Incarnation {
		return true
	}
	if refused {
		planner.bury(now, minion, "another minion answered at its address")
		return true
	}
	report := minion.report
	report.Incarnation, report.Clock = event.Incarnation, event.Clock
	planner.readMinion(now, report)
	return true
}

// heard notes whether the minion answers.
func (planner *Planner) heard(now time.Time, minion *minion, event messenger.OrderAnswered) {
	silent := event.Err != nil && event.Clock == 0 && event.Err.Code != classifier.MinionBusy && event.Err.Code != classifier.BadRequest
	if silent && event.Err.Code == classifier.RingFull {
		return
	}
	if !silent {
		if minion.failing {
			planner.decide(string(minion.report.Minion), "minion-regained", "it answers", "", now.Sub(minion.failingSince))
		}
		minion.failing = false
		if event.Clock > 0 {
			minion.hear(event.Clock, now)
		}
		return
	}
	if !minion.failing {
		minion.failing, minion.failingSince = true, now
		planner.decide(string(minion.report.Minion), "minion-lost", event.Err.Code.Name(), event.Err.Message, now.Sub(minion.clockAt))
		if !minion.looking {
			minion.lookAt = now
		}
	}
}
