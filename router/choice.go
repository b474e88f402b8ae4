package router

import (
	"slices"
	"time"

	"corianderroad/identifier"
)

const (
	// linkDelay is the one-way delay of the region link.
	linkDelay = 30 * time.Millisecond
	// linkOverhead is what a request costs on the link besides its body: its
	// names, its frame and an answer of usual size.
	linkOverhead = 1 << 10
)

// pick chooses the owner of the next attempt: in the nearest place that has
// room, and in the other region only if the own region can't meet the deadline.
func (router *Router) pick(now time.Time, picking *call) identifier.Node {
	groups := router.places.byService[picking.command.Service]
	if groups == nil {
		return ""
	}
	overloaded := picking.refusal != nil && isOverload(picking.refusal.Code)
	if owner := router.pickNear(groups, picking, overloaded); owner != "" {
		return owner
	}
	if router.mayCross(now, picking) {
		owner := router.places.choose(router.random, groups[otherRegion], picking.avoided)
		if owner != "" && (!overloaded || router.places.pressure(owner) < 0) {
			router.link.spend(now, linkOverhead+len(picking.command.Body))
			router.recorder.Record(now, string(picking.request), string(picking.command.Workspace), "crossed", string(owner))
			return owner
		}
	}
	if overloaded {
		return ""
	}
	// Every near owner has failed once. The failure may have passed.
	picking.avoided = nil
	return router.pickNear(groups, picking, false)
}

// pickNear chooses an owner of the own region. After a refusal for overload,
// only owners with free slots are worth another attempt.
func (router *Router) pickNear(groups *[distances][]identifier.Node, picking *call, overloaded bool) identifier.Node {
	owner := router.places.choose(router.random, groups[sameDomain], picking.avoided)
	if owner == "" || router.places.pressure(owner) >= 0 {
		// The delay between failure domains is small against a wait in a queue.
		if other := router.places.choose(router.random, groups[sameRegion], picking.avoided); other != "" &&
			(owner == "" || router.places.pressure(other) < router.places.pressure(owner)) {
			owner = other
		}
	}
	if owner != "" && overloaded && router.places.pressure(owner) >= 0 {
		return ""
	}
	return owner
}

// isSaturated says whether no owner of the own region that was not tried has
// free slots.
func (router *Router) isSaturated(failed *call) bool {
	groups := router.places.byService[failed.command.Service]
	if groups == nil {
		return true
	}
	for _, node := range groups[sameRegion] {
		if router.places.pressure(node) < 0 && !slices.Contains(failed.avoided, node) {
			return false
		}
	}
	return true
}

// mayCross says whether a call may use the other region at a time: the link's
// price allows it and the answer can be back before the deadline.
func (router *Router) mayCross(at time.Time, crossing *call) bool {
	groups := router.places.byService[crossing.command.Service]
	if groups == nil || len(groups[otherRegion]) == 0 {
		return false
	}
	back := at.Add(2*linkDelay + router.expected(crossing))
	return !back.After(crossing.command.Deadline) && router.link.allows(at, linkOverhead+len(crossing.command.Body))
}
