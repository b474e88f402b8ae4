package profiler

import (
	"math"
	"time"
)

const (
	// slowFactor is the ratio to the usual speed below which a minion is slow.
	slowFactor = 0.6
	// speedUncertainty is the uncertainty of the logarithm of one run's speed. Declared run times are
	// off by a factor of up to 2 to 3. That of the mean falls with the number of runs.
	speedUncertainty = 0.9
	// maxSpeedFactor bounds what one run says, so that a single one does not decide: 3 of 100 run
	// 7 times as long as declared.
	maxSpeedFactor = 4
	// maxSpeedWeight and maxEndsWeight are the numbers of runs after which earlier ones count little.
	maxSpeedWeight = 3
	maxEndsWeight  = 8

	// minStalledTime is the time without progress, in all runs, from which on a minion is
	// stalling, and maxStalledTime the most that counts. A minion that gets no work after it
	// stalled is judged as sound again after about 18 s.
	minStalledTime = 3 * time.Second
	maxStalledTime = 4500 * time.Millisecond

	// failingShare is the share of runs that fail from which on a minion is failing, and
	// minFailures the failures that it takes, less what has decayed.
	failingShare = 0.4
	minFailures  = 2.5
)

// Profile is what is known of one life of a minion. The zero value knows nothing.
type Profile struct {
	// speed is the mean logarithm of the ratio to the usual speed. A run weighs 1 at most.
	speed average
	// stalled is the time in seconds in which runs made no progress, less that in which runs have
	// made progress since.
	stalled average
	// ends has 1 for each run that failed and 0 for each that is done.
	ends average
}

// AddEnd adds the end of a run by itself.
func (profile *Profile) AddEnd(now time.Time, failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	profile.ends.addBounded(now, value, 1, maxEndsWeight)
}

func (profile *Profile) addStalled(now time.Time, span time.Duration) {
	_, known := profile.stalled.mean(now)
	if span = min(span, maxStalledTime-seconds(known)); span > 0 {
		profile.stalled.add(now, 1, span.Seconds())
	}
}

func (profile *Profile) addWorking(now time.Time, span time.Duration) {
	if _, known := profile.stalled.mean(now); known > 0 {
		profile.stalled.add(now, 1, -min(known, span.Seconds()))
	}
}

// Condition returns the judgement at a time. A minion that is both slow and failing counts as
// failing.
func (profile *Profile) Condition(now time.Time) Condition {
	switch {
	case profile.IsStalling(now):
		return Stalling
	case profile.isFailing(now):
		return Failing
	case profile.SpeedFactor(now) < 1:
		return Slow
	}
	return Sound
}

// IsStalling reports whether runs on the minion make no progress.
func (profile *Profile) IsStalling(now time.Time) bool {
	_, stalled := profile.stalled.mean(now)
	return stalled >= minStalledTime.Seconds()
}

func (profile *Profile) isFailing(now time.Time) bool {
	share, ends := profile.ends.mean(now)
	return share >= failingShare && share*ends >= minFailures
}

// SpeedFactor returns the minion's speed as a ratio to the usual one if it is certain that the
// minion is slow, 1 otherwise.
func (profile *Profile) SpeedFactor(now time.Time) float64 {
	mean, weight := profile.speed.mean(now)
	if weight <= 0 || mean+speedUncertainty/weight >= math.Log(slowFactor) {
		return 1
	}
	return math.Exp(mean)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
