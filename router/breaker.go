package router

import "time"

// probeInterval is how often a keyed request is admitted while the breaker is open,
// to detect that the log responds again.
const probeInterval = time.Second

// slowIntentThreshold is how long a request must have waited for its intent before
// its expiry counts as a failure of the log. A working log appends an intent within
// tens of milliseconds, and a caller with a short deadline must not open the breaker.
const slowIntentThreshold = time.Second

// breaker is a circuit breaker for the log. While the log does not respond, keyed
// requests are refused at once instead of after the wait for their intent, so that
// callers learn early that the work was not done.
type breaker struct {
	open     bool
	probedAt time.Time
}

// allow reports whether a request may wait for the log. While the breaker is open,
// an admitted request is the probe of its interval.
func (breaker *breaker) allow(now time.Time) bool {
	if breaker.open && now.Sub(breaker.probedAt) < probeInterval {
		return false
	}
	breaker.probedAt = now
	return true
}

// recordFailure opens the breaker. The next probe is admitted one interval later.
func (breaker *breaker) recordFailure(now time.Time) { breaker.open, breaker.probedAt = true, now }

func (breaker *breaker) recordSuccess() { breaker.open = false }
