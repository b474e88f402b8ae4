package planner

import "time"

// leaseLimit is what the holder knows of the time until which anything may run on one life of
// a minion, at most. All lease ends are on the clock of that life.
type leaseLimit struct {
	// maxLease is the longest lease that a minion grants.
	maxLease time.Duration
	// sent is the latest lease end in the orders to this life.
	sent time.Duration
	// foreign is the latest lease end that other orders may have set: those of a former holder,
	// and those to an earlier life, whose leases are on the clock of that one. It is never sent.
	foreign time.Duration
	// unknownUntil is the time until which the end of the lease is not known, because an order
	// to an earlier life may have arrived, zero if none can any more.
	unknownUntil time.Time
}

// renew returns the lease end to send, which is not before an earlier one.
func (leaseLimit *leaseLimit) renew(clock, lease time.Duration) time.Duration {
	leaseLimit.sent = max(leaseLimit.sent, clock+min(lease, leaseLimit.maxLease))
	return leaseLimit.sent
}

// addForeign notes that another order may have set a lease of the given duration before a
// reading of the clock.
func (leaseLimit *leaseLimit) addForeign(clock, lease time.Duration) {
	leaseLimit.foreign = max(leaseLimit.foreign, clock+min(lease, leaseLimit.maxLease))
}

// expectStrays notes that the life may take orders that were sent until now to an earlier one.
func (leaseLimit *leaseLimit) expectStrays(now time.Time) {
	leaseLimit.unknownUntil = now.Add(maxOrderDelay + longestTime(leaseLimit.maxLease))
}

// endStrays notes that orders to an earlier life have no effect any more.
func (leaseLimit *leaseLimit) endStrays() { leaseLimit.unknownUntil = time.Time{} }

// end returns the latest lease end that is known.
func (leaseLimit *leaseLimit) end() time.Duration { return max(leaseLimit.sent, leaseLimit.foreign) }

// isKnown reports whether the end of the lease is known.
func (leaseLimit *leaseLimit) isKnown(now time.Time) bool {
	return !now.Before(leaseLimit.unknownUntil)
}

// hasExpired reports whether nothing runs under a lease any more, when the clock has passed the
// given reading.
func (leaseLimit *leaseLimit) hasExpired(now time.Time, clock time.Duration) bool {
	return leaseLimit.isKnown(now) && clock > leaseLimit.end()+leaseExpiryMargin
}

// longestTime returns how long a lease may last, by this node's clock, on a minion with a slow
// clock.
func longestTime(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*slowClockFactor) + leaseExpiryMargin
}
