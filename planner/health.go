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
	// probeTime is how long a run has to work to show that its minion no longer fails all that
	// it starts. Minions that do so mostly fail runs at once.
	probeTime = 3 * time.Second
	// A run that fails before this part of its declared run time, as a divisor, has hardly worked.
	// That tells more about its minion than a later failure, most of which are the task's own.
	earlyFailureDivisor = 8
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
	// failedAt is the time of the newest failure that runs from before it do not refute: an early
	// one, or one after which the minion was quarantined.
	failedAt time.Time
}

// addFailure counts a run that failed or was refused. It reports whether the
// minion is quarantined as a result.
func (health *health) addFailure(now time.Time, isEarly bool) bool {
	health.failures++
	if isEarly {
		health.failedAt = now
	}
	if health.failures < quarantineThreshold {
		return false
	}
	health.failures, health.failedAt = 0, now
	health.quarantineDuration = min(max(2*health.quarantineDuration, minQuarantine), maxQuarantine)
	health.quarantinedUntil = now.Add(health.quarantineDuration)
	return true
}

// resetFailures ends the count of failures after a successful run.
func (health *health) resetFailures() {
	health.failures = 0
	health.quarantineDuration = 0
	health.failedAt = time.Time{}
}

// isHalfOpen reports whether the minion was quarantined and no run has shown since that it works.
// As with a half-open circuit breaker, single runs then probe it: it would fail as many at once
// as it has room for.
func (health *health) isHalfOpen() bool { return health.quarantineDuration > 0 }

// allowsGangs reports whether members of gangs may probe a minion that is half-open. Each would
// end the runs of all others if the minion still fails, so that tasks of other steps probe first.
func (health *health) allowsGangs(now time.Time) bool {
	return !now.Before(health.quarantinedUntil.Add(health.quarantineDuration))
}

func (health *health) isQuarantined(now time.Time) bool { return now.Before(health.quarantinedUntil) }

// probeLimit returns how many tasks of the step may be started on a minion that is half-open: one,
// unless a run since the last failure is too young to show anything.
func (minion *minion) probeLimit(step *step) int {
	if step.spec.Gang && len(step.tasks) > 1 && !minion.health.allowsGangs(minion.probedAt) {
		return 0
	}
	for _, run := range minion.runs {
		if run.startedAt.After(minion.health.failedAt) && minion.probedAt.Sub(run.startedAt) < probeTime {
			return 0
		}
	}
	return 1
}

// countMinionSuccess notes a run that is done. One that began before an early failure does not
// show that the minion still works.
func (planner *Planner) countMinionSuccess(minion *minion, run *run) {
	if planner.features.MinionProfiles && !minion.health.failedAt.IsZero() && (run == nil || !run.startedAt.After(minion.health.failedAt)) {
		return
	}
	if planner.features.MinionProfiles && minion.health.isHalfOpen() {
		planner.emitDecision(string(minion.report.Minion), "minion-restored", "a run since its quarantine is done", "", minion.health.quarantineDuration)
	}
	minion.health.resetFailures()
}

// countHalfOpenMinions returns the number of minions that get single runs only.
func (planner *Planner) countHalfOpenMinions() int {
	count := 0
	for _, minion := range planner.minions {
		if planner.features.MinionProfiles && minion.health.isHalfOpen() {
			count++
		}
	}
	return count
}

// failsEarly reports whether a run that has failed now has hardly worked.
func (run *run) failsEarly(now time.Time) bool {
	return now.Sub(run.startedAt) < run.step.spec.EstimatedRunTime/earlyFailureDivisor
}
