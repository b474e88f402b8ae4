package planner

import "time"

// Health of a minion.
const (
	// quarantineThreshold is how many runs in a row may fail on a minion before it
	// is quarantined. A single failure may be the task's own fault.
	quarantineThreshold = 2
	minQuarantine       = 4 * time.Second
	maxQuarantine       = 30 * time.Second
	// quarantineWait is how long a step waits before it may use quarantined minions
	// while less than half of the pool is in use.
	quarantineWait = 2 * time.Second
	// soundRunTime is how long a long-running task has to work to show that its earlier
	// failures were not its own fault.
	soundRunTime = 10 * time.Second
)

// health counts the failures of a minion and quarantines the minion after
// several in a row.
type health struct {
	failures           int
	quarantinedUntil   time.Time
	quarantineDuration time.Duration
}

// addFailure counts a run that failed or was refused. It reports whether the
// minion is quarantined as a result.
func (health *health) addFailure(now time.Time) bool {
	health.failures++
	if health.failures < quarantineThreshold {
		return false
	}
	health.failures = 0
	health.quarantineDuration = min(max(2*health.quarantineDuration, minQuarantine), maxQuarantine)
	health.quarantinedUntil = now.Add(health.quarantineDuration)
	return true
}

// resetFailures ends the count of failures after a successful run.
func (health *health) resetFailures() {
	health.failures = 0
	health.quarantineDuration = 0
}

func (health *health) isQuarantined(now time.Time) bool { return now.Before(health.quarantinedUntil) }
