package planner

import (
	"strings"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// minion is one life of a minion as the holder sees it.
type minion struct {
	report messenger.MinionReport
	rack   identifier.Rack
	// listed means that the minion is registered in the store.
	registered bool
	// leavesAt is the earliest that a draining minion leaves, zero if it does not drain.
	leavesAt time.Time

	// clock is the minion's clock at clockAt or earlier.
	clock   time.Duration
	clockAt time.Time
	// leaseSent is the latest end of a lease in any order that was sent.
	leaseSent time.Duration

	// confirmed means that the minion has answered this holder.
	polled bool
	// postponed means that ends which the minion listed were not taken yet.
	hasPostponedEnds bool
	// failing means that the newest order brought no answer. Leases are not
	// extended meanwhile, so that they lapse.
	unresponsive      bool
	unresponsiveSince time.Time

	polling bool
	// lookAt is when the next look is due, if none is under way.
	nextPollAt time.Time
	// seen is the last end that is recorded, listedEnd the last one that was taken.
	recordedEnd, processedEnd uint64
	// ignored is the first end that must not be noted, because its task has been
	// started again since, zero if there is none.
	firstIgnoredEnd uint64

	runs map[runKey]*run
	used specifier.Resources
	// reserved is what reservations keep from other steps.
	reserved specifier.Resources
	// place is the minion's place in the order of names, as of the last pass.
	nameIndex int
	// fullUntil keeps a minion that refused a run for want of room from getting more.
	noCapacityUntil time.Time
	health          health
	// closed means that nothing is started because of upkeep.
	closedForMaintenance bool
}

type runKey struct {
	task specifier.Task
	run  uint64
}

func newMinion(report messenger.MinionReport, now time.Time) *minion {
	minion := &minion{runs: make(map[runKey]*run)}
	minion.update(report, now)
	return minion
}

// update takes a newer report of the same life.
func (minion *minion) update(report messenger.MinionReport, now time.Time) {
	minion.report = report
	minion.registered = true
	minion.rack = rackOf(report.Labels)
	minion.leavesAt = time.Time{}
	if report.Draining {
		minion.leavesAt = now.Add(report.Remaining)
	}
	minion.updateClock(report.Clock, now)
}

// rackOf returns the label that names the rack: the one with a dash, because
// kinds have none.
func rackOf(labels []string) identifier.Rack {
	for _, label := range labels {
		if strings.Contains(label, "-") {
			return identifier.Rack(label)
		}
	}
	return ""
}

func (minion *minion) hasLabel(label string) bool {
	for _, minionLabel := range minion.report.Labels {
		if minionLabel == label {
			return true
		}
	}
	return false
}

// hear takes the minion's clock from an answer that has just arrived.
func (minion *minion) updateClock(clock time.Duration, now time.Time) {
	if clock > minion.clockLowerBound(now) {
		minion.clock, minion.clockAt = clock, now
	}
}

// clockFloor returns a time that the minion's clock has passed.
func (minion *minion) clockLowerBound(now time.Time) time.Duration {
	if minion.clockAt.IsZero() {
		return 0
	}
	return minion.clock + time.Duration(minClockRate*float64(now.Sub(minion.clockAt)))
}

// lease returns the end of a lease to send now. A minion that does not answer
// gets no longer one, because an order without an answer may still arrive.
func (minion *minion) renewLease(now time.Time, longest time.Duration) time.Duration {
	if !minion.unresponsive {
		minion.leaseSent = max(minion.leaseSent, minion.clockLowerBound(now)+min(leaseDuration, longest))
	}
	return minion.leaseSent
}

// lapsed reports whether every lease on the minion has run out.
func (minion *minion) leasesExpired(now time.Time) bool {
	return minion.clockLowerBound(now) > minion.leaseSent+leaseExpiryMargin
}

// notable returns the last end that the minion may forget once it is recorded.
func (minion *minion) recordableEnd() uint64 {
	if minion.firstIgnoredEnd > 0 {
		return minion.firstIgnoredEnd - 1
	}
	return minion.processedEnd
}

func (minion *minion) freeCapacity() specifier.Resources {
	return minion.report.Capacity.Sub(minion.used)
}

// takes reports whether new runs may be started on the minion.
func (minion *minion) acceptsRuns(now time.Time) bool {
	return minion.registered && minion.polled && !minion.unresponsive && !minion.closedForMaintenance && !minion.report.Draining &&
		!now.Before(minion.noCapacityUntil) && !minion.health.isQuarantined(now)
}

// claim returns what a task takes of its minion's capacity.
func requiredCapacity(spec *specifier.Step) specifier.Resources {
	request := spec.Request
	if spec.Backfill {
		request.MilliCPU = 0
	}
	return request
}
