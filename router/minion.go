package router

import (
	"slices"
	"strings"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/limiter"
	"corianderroad/messenger"
)

// minionState says whether an owner dispatches to a minion.
type minionState uint8

const (
	// asking: the minion's busy slots are not known.
	asking minionState = iota
	serving
	// quarantined: the minion failed and is asked again after a while.
	quarantined
	// departing: the minion announced its stop.
	departing
	// released: another node owns the minion.
	released
)

// String returns the state as it stands in answers.
func (state minionState) String() string {
	return [...]string{"asking", "serving", "quarantined", "leaving", "released"}[state]
}

// Intervals and bounds of the monitoring of minions.
const (
	// firstQuarantine doubles with each failure in a row up to lastQuarantine.
	firstQuarantine = time.Second
	lastQuarantine  = time.Minute
	// foreignInterval is how often foreign slots are asked for until they are free.
	foreignInterval = 200 * time.Millisecond
	// leavingInterval is how often a minion that announced its stop, and that
	// the VM list still names as live, is asked whether it is a new one.
	leavingInterval = 10 * time.Second
	// settleTime is how long after its dispatch a request is counted by the
	// minion, many times the delay within a region. If a request takes longer
	// to arrive, the minion refuses what is too much.
	settleTime = 20 * time.Millisecond
	// maxSilent is how many attempts may time out, without an answer to any
	// other since the first of them started, before a minion is quarantined
	// although it answers when it is asked for its slots.
	maxSilent = 3
)

// minion is a minion that this node owns or has open attempts at.
type minion struct {
	name     identifier.Minion
	endpoint endpoint
	state    minionState
	limiter  limiter.Limiter
	// asked says that an QuerySlots is open, outdated that its answer will not
	// reflect a change of the minion since then.
	asked    bool
	outdated bool
	askedAt  time.Time
	// failures counts the failures in a row, silent the attempts that timed out.
	failures int
	silent   int
	// servedAt is when an attempt was answered last.
	servedAt time.Time
	pending  *timer
}

func (router *Router) sortedMinions() []*minion {
	sorted := make([]*minion, 0, len(router.owned))
	for _, taken := range router.owned {
		sorted = append(sorted, taken)
	}
	slices.SortFunc(sorted, func(a, b *minion) int { return strings.Compare(string(a.name), string(b.name)) })
	return sorted
}

// reassign applies the VM list and the current owner to a minion.
func (router *Router) reassign(now time.Time, taken *minion, listed endpoint, own bool) {
	fresh := taken.endpoint.address != listed.address || taken.state == released || (taken.endpoint.leaving && !listed.leaving)
	if own {
		taken.endpoint = listed
	}
	router.limit(taken)
	switch {
	case !own:
		router.setState(taken, released, "owned by another node")
		if taken.limiter.Open() == 0 && !taken.asked {
			delete(router.owned, taken.name)
		}
	case listed.leaving:
		router.setState(taken, departing, "leaving in the VM list")
	case fresh:
		// Another owner or an earlier process of the minion may have left slots busy.
		router.setState(taken, asking, "taken over")
		taken.failures, taken.silent = 0, 0
		taken.assumeBusy()
		router.askSlots(now, taken)
	}
}

func (router *Router) limit(taken *minion) {
	limits := router.catalogue.service(taken.endpoint.service)
	if router.rules.noReservation {
		limits.longSlots = limits.slots
	}
	taken.limiter.SetLimits(limiter.Limits{
		Slots: limits.slots, LongSlots: limits.longSlots, Connections: limits.slots,
	})
}

// setState changes the state of a minion.
func (router *Router) setState(turned *minion, to minionState, reason string) {
	router.timers.cancel(turned.pending)
	turned.pending = nil
	if turned.state == to {
		return
	}
	if to == quarantined || turned.state == quarantined || to == departing {
		router.emit(messenger.Transition{
			Subject: string(turned.name), From: turned.state.String(), To: to.String(), Reason: reason,
		})
	}
	turned.state = to
}

func (router *Router) askSlots(now time.Time, asked *minion) {
	if asked.asked {
		asked.outdated = true
		return
	}
	asked.asked, asked.outdated, asked.askedAt = true, false, now
	router.emit(messenger.QuerySlots{Minion: asked.name, Address: asked.endpoint.address})
}

func (router *Router) askLater(now time.Time, asked *minion, wait time.Duration) {
	router.timers.cancel(asked.pending)
	asked.pending = router.timers.set(now.Add(wait), func(now time.Time) {
		asked.pending = nil
		router.askSlots(now, asked)
	})
}

// updateSlots takes a minion's own count of its busy slots.
func (router *Router) updateSlots(now time.Time, answer messenger.SlotsAnswered) {
	told := router.owned[answer.Minion]
	if told == nil || !told.asked {
		return
	}
	told.asked = false
	switch {
	case told.state == released:
		if told.limiter.Open() == 0 {
			delete(router.owned, told.name)
		}
		return
	case told.outdated:
		router.askSlots(now, told)
		return
	case answer.Err != nil && answer.Err.Code == classifier.RingFull:
		router.askLater(now, told, foreignInterval)
		return
	case answer.Err != nil:
		if told.state != departing {
			router.quarantine(now, told, answer.Err.Code.Name())
		}
		return
	case answer.Leaving:
		router.depart(now, told, "announced by the minion")
		return
	case told.endpoint.leaving:
		return
	}
	router.countForeign(told, answer.Busy)
	if told.silent >= maxSilent {
		told.silent = 0
		router.quarantine(now, told, "attempts time out")
		return
	}
	router.setState(told, serving, "answered")
	if told.limiter.Foreign() > 0 {
		router.askLater(now, told, foreignInterval)
	}
	router.dispatch(now, told.endpoint.service)
}

// countForeign lowers the foreign slots to the minion's own count. Requests
// that were dispatched shortly before may not be counted there yet, so only
// settled ones are taken off. The count is then too high at times, but never
// too low, and the lowest of several counts is the right one.
func (router *Router) countForeign(told *minion, busy int) {
	settled := 0
	for _, running := range router.works {
		if running.minion == told && told.askedAt.Sub(running.started) >= settleTime {
			settled++
		}
	}
	told.limiter.SetForeign(min(busy-settled, told.limiter.Foreign()))
}

// assumeBusy counts every slot as busy that this owner has no attempt at.
func (taken *minion) assumeBusy() {
	taken.limiter.SetForeign(taken.limiter.Slots() - taken.limiter.Open())
}

// quarantine keeps a minion that failed out of use for a growing time.
func (router *Router) quarantine(now time.Time, failed *minion, reason string) {
	wait := min(firstQuarantine<<min(failed.failures, 10), lastQuarantine)
	failed.failures++
	failed.assumeBusy()
	router.setState(failed, quarantined, reason)
	router.askLater(now, failed, wait)
	router.rejectUnservable(now, failed.endpoint.service)
}

// depart stops dispatch to a minion that announced its stop.
func (router *Router) depart(now time.Time, left *minion, reason string) {
	router.setState(left, departing, reason)
	if !left.endpoint.leaving {
		router.askLater(now, left, leavingInterval)
	}
	router.rejectUnservable(now, left.endpoint.service)
}
