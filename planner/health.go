package planner

import "time"

// Health of a minion.
const (
	// strikesAllowed is how many runs in a row may fail on a minion before it is
	// set aside. Single failures are the tasks' own.
	strikesAllowed = 2
	firstAside     = 4 * time.Second
	longestAside   = 30 * time.Second
)

// health says whether a minion fails what others complete.
type health struct {
	strikes    int
	asideUntil time.Time
	aside      time.Duration
}

// fail notes a run that failed or was refused, and reports whether the minion
// is set aside by it.
func (health *health) fail(now time.Time) bool {
	health.strikes++
	if health.strikes < strikesAllowed {
		return false
	}
	health.strikes = 0
	health.aside = min(max(2*health.aside, firstAside), longestAside)
	health.asideUntil = now.Add(health.aside)
	return true
}

// succeed notes a run that was done.
func (health *health) succeed() {
	health.strikes = 0
	health.aside = 0
}

func (health *health) setAside(now time.Time) bool { return now.Before(health.asideUntil) }
