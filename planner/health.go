package planner

import "time"

// Health of a minion.
const (
	// strikesAllowed is how many runs in a row may fail on a minion before it is
	// set aside. Single failures are the tasks' own.
	quarantineThreshold = 2
	minQuarantine       = 4 * time.Second
	maxQuarantine       = 30 * time.Second
)

// health says whether a minion fails what others complete.
type health struct {
	failures         int
	quarantinedUntil time.Time
	quarantine       time.Duration
}

// fail notes a run that failed or was refused, and reports whether the minion
// is set aside by it.
func (health *health) addFailure(now time.Time) bool {
	health.failures++
	if health.failures < quarantineThreshold {
		return false
	}
	health.failures = 0
	health.quarantine = min(max(2*health.quarantine, minQuarantine), maxQuarantine)
	health.quarantinedUntil = now.Add(health.quarantine)
	return true
}

// succeed notes a run that was done.
func (health *health) resetFailures() {
	health.failures = 0
	health.quarantine = 0
}

func (health *health) isQuarantined(now time.Time) bool { return now.Before(health.quarantinedUntil) }
