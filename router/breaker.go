package router

import "time"

// probeInterval is how often a keyed request is let through to find out whether
// the log answers again.
const probeInterval = time.Second

// logPatience is how long an intent may take before a request that expires
// meanwhile counts as a failure of the log. A healthy log takes tens of
// milliseconds, so that a caller with a short deadline opens no breaker.
const logPatience = time.Second

// breaker is a circuit breaker for the log: while the log is known not to answer,
// keyed requests are refused at once instead of after the wait for their intent,
// so that callers learn early that the work was not done.
type breaker struct {
	open     bool
	probedAt time.Time
}

// admits reports whether a request may wait for the log.
func (breaker *breaker) admits(now time.Time) bool {
	if breaker.open && now.Sub(breaker.probedAt) < probeInterval {
		return false
	}
	breaker.probedAt = now
	return true
}

// fail opens the breaker. The next probe goes out one interval later.
func (breaker *breaker) fail(now time.Time) { breaker.open, breaker.probedAt = true, now }

func (breaker *breaker) succeed() { breaker.open = false }
