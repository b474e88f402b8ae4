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

// minionState determines whether the owner dispatches to a minion.
type minionState uint8

const (
	// awaitingSlots: the number of busy slots of the minion is unknown.
	awaitingSlots minionState = iota
	serving
	// quarantined: the minion failed and is queried again after a delay.
	quarantined
	// departing: the minion announced its stop.
	departing
	// released: another node owns the minion.
	released
)

// String returns the name of the state in query answers.
func (state minionState) String() string {
	return [...]string{"asking", "serving", "quarantined", "leaving", "released"}[state]
}

// Intervals and bounds of the monitoring of minions.
const (
	// minQuarantine doubles with each consecutive failure, up to maxQuarantine.
	minQuarantine = time.Second
	maxQuarantine = time.Minute
	// foreignSlotsInterval is how often a minion is queried while it has foreign slots.
	foreignSlotsInterval = 200 * time.Millisecond
	// leavingInterval is how often a minion that announced its stop is queried
	// while the VM list does not show it as leaving: a new minion process may
	// have replaced it.
	leavingInterval = 10 * time.Second
	// slotCountDelay is how long after its dispatch a request is assumed to be
	// included in the minion's count. It is many times the network delay within a
	// region. If a request takes longer to arrive, the minion refuses the requests
	// that exceed its slots.
	slotCountDelay = 20 * time.Millisecond
	// exactCountPeriod is the number of consecutive queries with foreign slots of
	// which the last is sent while no dispatch is younger than slotCountDelay.
	exactCountPeriod = 5
	// maxTimeouts is the number of attempts that may time out, without an answer
	// to another attempt since the first of them started, before a minion is
	// quarantined although it answers queries for its slots.
	maxTimeouts = 3
)

// minion is a minion that this node owns or has open attempts at.
type minion struct {
	name     identifier.Minion
	endpoint endpoint
	state    minionState
	limiter  limiter.Limiter
	// queryPending is true while a QuerySlots has no answer yet.
	queryPending bool
	// queryOutdated is true if the minion changed after the pending query was
	// sent, so that its answer must be ignored.
	queryOutdated bool
	queriedAt     time.Time
	// foreignQueries counts the consecutive queries after which slots were foreign.
	foreignQueries int
	// failures counts consecutive failures.
	failures int
	// timeouts counts the attempts that timed out since the last answer.
	timeouts int
	// lastAnswerAt is when the minion last answered an attempt.
	lastAnswerAt time.Time
	pending      *timer
}

func (router *Router) sortedMinions() []*minion {
	sorted := make([]*minion, 0, len(router.owned))
	for _, minion := range router.owned {
		sorted = append(sorted, minion)
	}
	slices.SortFunc(sorted, func(a, b *minion) int { return strings.Compare(string(a.name), string(b.name)) })
	return sorted
}

// updateMinionOwnership applies the VM list and the current owner to a minion.
func (router *Router) updateMinionOwnership(now time.Time, minion *minion, listed endpoint, isOwner bool) {
	isNew := minion.endpoint.address != listed.address || minion.state == released || (minion.endpoint.leaving && !listed.leaving)
	if isOwner {
		minion.endpoint = listed
	}
	router.updateLimits(minion)
	switch {
	case !isOwner:
		router.setState(minion, released, "owned by another node")
		if minion.limiter.Running() == 0 && !minion.queryPending {
			delete(router.owned, minion.name)
		}
	case listed.leaving:
		router.setState(minion, departing, "leaving in the VM list")
	case isNew:
		// Another owner or an earlier process of the minion may have left slots busy.
		router.setState(minion, awaitingSlots, "taken over")
		minion.failures, minion.timeouts = 0, 0
		minion.assumeAllSlotsBusy()
		router.querySlots(now, minion)
	}
}

func (router *Router) updateLimits(minion *minion) {
	limits := router.catalogue.service(minion.endpoint.service)
	if router.rules.noReservation {
		limits.longSlots = limits.slots
	}
	minion.limiter.SetLimits(limiter.Limits{
		Slots: limits.slots, LongSlots: limits.longSlots, Connections: limits.slots,
	})
}

// setState changes the state of a minion.
func (router *Router) setState(minion *minion, to minionState, reason string) {
	router.timers.cancel(minion.pending)
	minion.pending = nil
	if minion.state == to {
		return
	}
	if to == quarantined || minion.state == quarantined || to == departing {
		router.emit(messenger.Transition{
			Subject: string(minion.name), From: minion.state.String(), To: to.String(), Reason: reason,
		})
	}
	minion.state = to
}

func (router *Router) querySlots(now time.Time, minion *minion) {
	if minion.queryPending {
		minion.queryOutdated = true
		return
	}
	minion.queryPending, minion.queryOutdated, minion.queriedAt = true, false, now
	router.emit(messenger.QuerySlots{Minion: minion.name, Address: minion.endpoint.address})
}

func (router *Router) querySlotsAfter(now time.Time, minion *minion, delay time.Duration) {
	router.timers.cancel(minion.pending)
	minion.pending = router.timers.set(now.Add(delay), func(now time.Time) {
		minion.pending = nil
		router.querySlots(now, minion)
	})
}

// handleSlotsAnswered handles a minion's own count of its busy slots.
func (router *Router) handleSlotsAnswered(now time.Time, answer messenger.SlotsAnswered) {
	minion := router.owned[answer.Minion]
	if minion == nil || !minion.queryPending {
		return
	}
	minion.queryPending = false
	switch {
	case minion.state == released:
		if minion.limiter.Running() == 0 {
			delete(router.owned, minion.name)
		}
		return
	case minion.queryOutdated:
		router.querySlots(now, minion)
		return
	case answer.Err != nil && answer.Err.Code == classifier.RingFull:
		router.querySlotsAfter(now, minion, foreignSlotsInterval)
		return
	case answer.Err != nil && minion.state == departing:
		router.queryDeparting(now, minion)
		return
	case answer.Err != nil:
		router.quarantine(now, minion, answer.Err.Code.Name())
		return
	case answer.Leaving:
		router.markDeparting(now, minion, "announced by the minion")
		return
	case minion.endpoint.leaving:
		return
	}
	router.updateForeignSlots(minion, answer.Busy)
	if minion.timeouts >= maxTimeouts {
		minion.timeouts = 0
		router.quarantine(now, minion, "attempts time out")
		return
	}
	router.setState(minion, serving, "answered")
	router.queryForeignSlots(now, minion)
	router.dispatch(now, minion.endpoint.service)
}

// queryForeignSlots schedules the next query of a minion that has foreign slots.
// Under a constant load of requests shorter than slotCountDelay, the attempts that
// updateForeignSlots must not subtract hide the end of foreign requests for as
// long as the load lasts. Dispatch to the minion therefore pauses for
// slotCountDelay before every exactCountPeriod-th query, whose result is exact.
func (router *Router) queryForeignSlots(now time.Time, minion *minion) {
	if minion.limiter.Foreign() == 0 {
		minion.foreignQueries = 0
		return
	}
	minion.foreignQueries++
	if minion.foreignQueries%exactCountPeriod != exactCountPeriod-1 {
		router.querySlotsAfter(now, minion, foreignSlotsInterval)
		return
	}
	router.setState(minion, awaitingSlots, "counting foreign slots")
	router.querySlotsAfter(now, minion, slotCountDelay)
}

// updateForeignSlots lowers the number of foreign slots to the minion's busy
// slots less those of this owner's attempts. The minion's count may not include
// attempts that were dispatched shortly before the query, so only attempts older
// than slotCountDelay are subtracted. The result is sometimes too high but never
// too low, so the lowest of several results is correct.
func (router *Router) updateForeignSlots(minion *minion, busy int) {
	counted := 0
	for _, attempt := range router.attempts {
		if attempt.minion == minion && minion.queriedAt.Sub(attempt.started) >= slotCountDelay {
			counted++
		}
	}
	minion.limiter.SetForeign(min(busy-counted, minion.limiter.Foreign()))
}

// assumeAllSlotsBusy counts every slot that has no attempt of this owner as busy.
func (minion *minion) assumeAllSlotsBusy() {
	minion.limiter.SetForeign(minion.limiter.Slots() - minion.limiter.Running())
}

// quarantine excludes a failed minion from dispatch. The duration doubles with
// each consecutive failure.
func (router *Router) quarantine(now time.Time, minion *minion, reason string) {
	duration := min(minQuarantine<<min(minion.failures, 10), maxQuarantine)
	minion.failures++
	minion.assumeAllSlotsBusy()
	router.setState(minion, quarantined, reason)
	router.querySlotsAfter(now, minion, duration)
	router.rejectUnservable(now, minion.endpoint.service)
}

// markDeparting stops dispatch to a minion that announced its stop.
func (router *Router) markDeparting(now time.Time, minion *minion, reason string) {
	router.setState(minion, departing, reason)
	router.queryDeparting(now, minion)
	router.rejectUnservable(now, minion.endpoint.service)
}

// queryDeparting schedules the next query of a departing minion. The VM list ends
// the state of a minion that it shows as leaving; otherwise only an answer of the
// next process ends it, so the queries continue even if one of them fails.
func (router *Router) queryDeparting(now time.Time, minion *minion) {
	if !minion.endpoint.leaving {
		router.querySlotsAfter(now, minion, leavingInterval)
	}
}
