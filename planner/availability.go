package planner

import "time"

// availability is whether a minion accepts new runs, or why it does not.
type availability uint8

const (
	accepting availability = iota
	unregistered
	undescribed
	notPolled
	unresponsive
	closedForMaintenance
	draining
	unknownRuns
	awaitingExpiry
	evacuated
	refusedRecently
	quarantined
	onTrial
	availabilities // the number of values
)

// String returns the name of the value in log lines and metrics.
func (availability availability) String() string {
	return [...]string{
		"accepting", "unregistered", "undescribed", "not-polled", "unresponsive", "closed-for-maintenance", "draining", "unknown-runs", "awaiting-expiry", "evacuated", "refused-recently", "quarantined", "on-trial",
	}[availability]
}

// availability returns whether new runs may be started on the minion, or the
// first reason why not.
func (minion *minion) availability(now time.Time) availability {
	switch {
	case !minion.registered:
		return unregistered
	case !minion.isDescribed():
		return undescribed
	case !minion.polled:
		return notPolled
	case minion.unresponsive:
		return unresponsive
	case minion.closedForMaintenance:
		return closedForMaintenance
	case minion.report.Draining:
		return draining
	case minion.hasUnknownRuns:
		return unknownRuns
	case minion.awaitsExpiry(now):
		return awaitingExpiry
	case minion.isEvacuated():
		return evacuated
	case now.Before(minion.noCapacityUntil):
		return refusedRecently
	case minion.health.isQuarantined(now) || minion.isAvoided:
		return quarantined
	case minion.trial != nil:
		return onTrial
	}
	return accepting
}

// acceptsRuns reports whether new runs may be started on the minion.
func (minion *minion) acceptsRuns(now time.Time) bool { return minion.availability(now) == accepting }

// countMinions returns the number of minions by their availability.
func (planner *Planner) countMinions(now time.Time) [availabilities]int {
	var counts [availabilities]int
	for _, minion := range planner.minions {
		counts[minion.availability(now)]++
	}
	return counts
}
