package router

import (
	"slices"
	"time"

	"corianderroad/identifier"
)

const (
	// linkDelay is the one-way delay of the region link.
	linkDelay = 30 * time.Millisecond
	// linkOverhead is the number of bytes on the link for a request besides its
	// body: its names, its frame and an answer of usual size.
	linkOverhead = 1 << 10
)

// pickOwner chooses the owner of the next attempt. It prefers the nearest owner
// with free capacity, and uses the other region only if no owner in this node's region
// can meet the deadline.
func (router *Router) pickOwner(now time.Time, call *call) identifier.Node {
	groups := router.topology.byService[call.command.Service]
	if groups == nil {
		return ""
	}
	overloaded := call.refusal != nil && isOverload(call.refusal.Code)
	if owner := router.pickOwnerInRegion(groups, call, overloaded); owner != "" {
		return owner
	}
	if router.mayCross(now, call) {
		owner := router.topology.chooseOwner(router.random, groups[otherRegion], call.avoided)
		if owner != "" && (!overloaded || router.topology.pressure(owner) < 0) {
			router.link.consume(now, linkOverhead+len(call.command.Body))
			router.decisions.Record(now, string(call.request), string(call.command.Workspace), "crossed", string(owner))
			return owner
		}
	}
	if overloaded {
		return ""
	}
	// Every owner in this region has failed once. The failures may be over.
	call.avoided = nil
	return router.pickOwnerInRegion(groups, call, false)
}

// pickOwnerInRegion chooses an owner in this node's region. After a refusal for
// overload, only owners with free slots are considered.
func (router *Router) pickOwnerInRegion(groups *[distanceCount][]identifier.Node, call *call, overloaded bool) identifier.Node {
	owner := router.topology.chooseOwner(router.random, groups[sameDomain], call.avoided)
	if owner == "" || router.topology.pressure(owner) >= 0 {
		// The delay between failure domains is small compared to a wait in a queue.
		if other := router.topology.chooseOwner(router.random, groups[sameRegion], call.avoided); other != "" &&
			(owner == "" || router.topology.pressure(other) < router.topology.pressure(owner)) {
			owner = other
		}
	}
	if owner != "" && overloaded && router.topology.pressure(owner) >= 0 {
		return ""
	}
	return owner
}

// isSaturated reports whether every owner in this node's region has been tried or
// has no free slots.
func (router *Router) isSaturated(call *call) bool {
	groups := router.topology.byService[call.command.Service]
	if groups == nil {
		return true
	}
	for _, node := range groups[sameRegion] {
		if router.topology.pressure(node) < 0 && !slices.Contains(call.avoided, node) {
			return false
		}
	}
	return true
}

// mayCross reports whether a call may use the other region at the given time: the
// budget of the region link allows it, and the answer can arrive before the deadline.
func (router *Router) mayCross(at time.Time, call *call) bool {
	groups := router.topology.byService[call.command.Service]
	if groups == nil || len(groups[otherRegion]) == 0 {
		return false
	}
	answeredAt := at.Add(2*linkDelay + router.expectedRunTime(call))
	return !answeredAt.After(call.command.Deadline) && router.link.allows(at, linkOverhead+len(call.command.Body))
}
