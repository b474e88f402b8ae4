package planner

import (
	"time"

	"corianderroad/accountant"
	"corianderroad/messenger"
)

// An end that is ignored, because its task has been started again, must not be acknowledged,
// and the ends after it can't be either. A minion lists a limited number of ends, so that it
// would hide the later ones. Only an expiry of the minion's lease under a run allows the
// acknowledgement, and the end of such a run shows it to each holder. When many ends wait, the
// minion therefore gets no new runs, its runs end or their lease expires, and then runs get a
// lease that is likely to expire under them.

const (
	// maxEndsBehindIgnored is the number of ends from the first ignored one on from which the
	// lease has to expire. The rest of the list remains for the ends until then.
	maxEndsBehindIgnored = messenger.MaxListedEnds / 2
	// expiryGrace is how long the leases of the present runs are renewed, so that most end.
	expiryGrace = 10 * time.Second
	// maxExpiringLease is the first lease that is to expire under a run. Each later one is half
	// as long, because the runs may have ended before. After expiringLeases of them the first
	// follows again, because starts may have arrived too late.
	maxExpiringLease = time.Second
	expiringLeases   = 6
)

// ignoredEnds are the ends of a minion that must not be recorded, and the later ones.
type ignoredEnds struct {
	// first is the number of the first ignored end, zero if there is none.
	first uint64
	// expiringSince is the time since which the minion's lease is meant to expire, zero if it
	// is not.
	expiringSince time.Time
	// attempts counts the leases that were to expire under a run.
	attempts int
}

// ignoreEnd notes an end that must not be recorded.
func (minion *minion) ignoreEnd(number uint64) {
	if minion.ignored.first == 0 || number < minion.ignored.first {
		minion.ignored.first = number
	}
}

// recordableEnd returns the last end that the minion may discard once it is
// recorded.
func (minion *minion) recordableEnd() uint64 {
	if minion.ignored.first > 0 {
		return minion.ignored.first - 1
	}
	return minion.processedEnd
}

// hasUnrecordableEnd reports whether the minion has listed an end that must not be
// recorded.
func (minion *minion) hasUnrecordableEnd() bool { return minion.ignored.first > 0 }

// endsBehindIgnored returns the number of ends from the first ignored one on, the runs that
// have not ended included.
func (minion *minion) endsBehindIgnored() int {
	return int(minion.processedEnd-minion.ignored.first) + 1 + len(minion.runs)
}

// isExpiring reports whether the minion's lease is meant to expire.
func (minion *minion) isExpiring() bool { return !minion.ignored.expiringSince.IsZero() }

// noteExpiredLease notes that a run has ended because the minion's lease expired. The ends
// before can be acknowledged from then on without counting as recorded.
func (planner *Planner) noteExpiredLease(now time.Time, minion *minion) {
	if minion.isExpiring() {
		planner.emitDecision(string(minion.report.Minion), "minion-lease-expired", "its ends can be recorded", "", now.Sub(minion.ignored.expiringSince))
	}
	minion.ignored = ignoredEnds{}
}

// expireLease lets the minion's lease expire if many ends follow an ignored one. Tasks of
// which few may be unavailable are stopped as far as that allows.
func (planner *Planner) expireLease(now time.Time, minion *minion) {
	if !minion.hasUnrecordableEnd() {
		return
	}
	if !minion.isExpiring() && minion.endsBehindIgnored() >= maxEndsBehindIgnored {
		minion.ignored.expiringSince = now
		planner.emitDecision(string(minion.report.Minion), "minion-lease-expiring", "many ends follow one that must not be recorded", "", 0)
	}
	if !minion.isExpiring() || minion.ignored.attempts > 0 {
		return
	}
	for _, run := range minion.sortedRuns() {
		if run.state == running && run.step.spec.MaxUnavailable > 0 && planner.mayInterrupt(run) {
			planner.stopRun(now, run, accountant.StopForLeaseExpiry, "the lease of its minion is to expire")
		}
	}
}

// mayRenewLease reports whether polls may renew the minion's lease.
func (minion *minion) mayRenewLease(now time.Time) bool {
	if !minion.isExpiring() {
		return true
	}
	if minion.ignored.attempts > 0 {
		return false
	}
	for _, run := range minion.runs {
		if run.step.spec.MaxUnavailable > 0 {
			return true
		}
	}
	return now.Sub(minion.ignored.expiringSince) < expiryGrace
}

// awaitsExpiry reports whether the minion gets no runs because its lease is meant to expire
// and has not.
func (minion *minion) awaitsExpiry(now time.Time) bool {
	return minion.isExpiring() && (len(minion.runs) > 0 || !minion.leasesExpired(now))
}

// startLease returns the lease end to send with a start.
func (minion *minion) startLease(now time.Time) time.Duration {
	if !minion.isExpiring() {
		return minion.renewLease(now)
	}
	if !minion.unresponsive && minion.leasesExpired(now) {
		lease := maxExpiringLease >> (minion.ignored.attempts % expiringLeases)
		minion.ignored.attempts++
		return minion.leaseLimit.renew(minion.clockLowerBound(now), lease)
	}
	return minion.leaseLimit.sent
}

// expiringRunLimit returns how many tasks of the step may start under a lease that is meant to
// expire. Their ends fill half of what is left of the list at most, so that there is another
// attempt if they end before.
func (minion *minion) expiringRunLimit(step *step) int {
	if !step.mayExpire() {
		return 0
	}
	return (messenger.MaxListedEnds - minion.endsBehindIgnored()) / 2
}

// mayExpire reports whether the lease may expire under tasks of the step that are about to
// start.
func (step *step) mayExpire() bool {
	if step.hasSuspect() {
		return false // a trial would tell nothing
	}
	limit := step.spec.MaxUnavailable
	return limit == 0 || step.unavailableTasks()-1 < limit
}
