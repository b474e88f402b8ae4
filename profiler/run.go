package profiler

import (
	"math"
	"time"
)

const (
	// minStall is the time without progress from which on a run has stalled. The polls come
	// when something ends, or about once a second.
	minStall = 3 * time.Second
	// startTime is the additional time for a run that has not begun to work.
	startTime = 2 * time.Second
	// ownFactor and usualFactor are how many times as long as usual a percent may take: by the
	// run itself, and by others of its kind. 3 of 100 run 7 times as long as others.
	ownFactor   = 8
	usualFactor = 20
	// minOwnPercent is the progress from which on the speed of a run itself is known.
	minOwnPercent = 5
	// nearlyDone is the progress from which on a run without progress may be about to end.
	nearlyDone = 99
	// fullWeightTime is the working time after which a run has its full weight in the speed of
	// its minion.
	fullWeightTime = 3 * time.Second
	// minSpeedChange is the change of the logarithm of a run's speed that is no inaccuracy of the
	// progress in percent.
	minSpeedChange = 0.5
)

// Report is what a poll shows of a run.
type Report struct {
	Kind     Kind
	Percent  int
	Declared time.Duration
	// Siblings is the number of runs of the same step on the minion, with this one. The tasks of a
	// job are often longer than declared together, so that they count as one.
	Siblings int
	// IsOwnSpeed means that the speed of the run is that of its minion. A member of a gang waits
	// for the slowest one, and a task away from its data is slow wherever it runs.
	IsOwnSpeed bool
	// IsHeldBack means that the run has been ordered to work slowly, or not at all.
	IsHeldBack bool
}

// Run is the progress of one run. The zero value is a run that no poll has shown.
type Run struct {
	percent int
	// changedAt is when the progress last changed, or when the run was first shown; reportedAt
	// is the time of the newest report.
	changedAt, reportedAt time.Time
	// firstPercent was reached at firstAt, when the run was seen to begin to work.
	firstPercent int
	firstAt      time.Time
	// stalledUntil is up to when the time without progress counts against the minion.
	stalledUntil time.Time
	// sample is the progress from which on the speed is measured next.
	sample sample
	// weight is that of the run in the speed of its minion, up to 1. logSpeed is the logarithm of its
	// speed in that time, and ratio the difference to the usual one.
	weight, logSpeed, ratio float64
	// hasStalled means that the run has made no progress for too long.
	hasStalled bool
}

// Observe applies a report of a run on a minion.
func (profiler *Profiler) Observe(now time.Time, profile *Profile, run *Run, report Report) {
	usual := profiler.usualSpeed(report.Kind)
	switch {
	case run.reportedAt.IsZero():
		run.percent, run.changedAt, run.stalledUntil = report.Percent, now, now
	case report.IsHeldBack:
		run.percent, run.changedAt, run.stalledUntil, run.hasStalled = report.Percent, now, now, false
		run.firstPercent, run.firstAt = report.Percent, now
		run.sample = sample{report.Percent, now}
	case report.Percent != run.percent:
		run.advance(now, profile, usual, report)
	default:
		run.checkStall(now, profile, usual, report)
	}
	run.reportedAt = now
}

// advance applies progress. That of a run which had stalled shows that its minion works again.
func (run *Run) advance(now time.Time, profile *Profile, usual *average, report Report) {
	if run.hasStalled {
		profile.stalled = average{}
	} else {
		profile.addWorking(now, now.Sub(run.changedAt))
	}
	if run.firstAt.IsZero() || run.hasStalled || report.Percent < run.sample.percent { // the time up to here says little about its speed
		run.firstPercent, run.firstAt = report.Percent, now
		run.sample = sample{report.Percent, now}
	} else if done, span := report.Percent-run.sample.percent, now.Sub(run.sample.at); done >= minOwnPercent && span > 0 {
		run.sample = sample{report.Percent, now}
		if (report.IsOwnSpeed || report.Kind.Gang) && report.Declared > 0 {
			logSpeed := math.Log(report.Declared.Seconds() * float64(done) / fullPercent / span.Seconds())
			run.addSpeed(now, profile, usual, observation{logSpeed, span, report})
		}
	}
	run.percent, run.changedAt, run.stalledUntil, run.hasStalled = report.Percent, now, now, false
}

// sample is the progress at a time.
type sample struct {
	percent int
	at      time.Time
}

// observation is the logarithm of a speed, in seconds of declared work a second, over a span.
type observation struct {
	logSpeed float64
	span     time.Duration
	report   Report
}

// addSpeed adds an observation. The first ones are compared with the usual speed. Declared run times
// are rough, so that all of them weigh no more than one run; later ones count only if they show that
// the run has become slower or faster than it was.
func (run *Run) addSpeed(now time.Time, profile *Profile, usual *average, observed observation) {
	weight := observed.span.Seconds() / fullWeightTime.Seconds()
	value := run.ratio + observed.logSpeed - run.logSpeed
	if run.weight < 1 {
		mean, known := usual.mean(now)
		weight = min(weight, 1-run.weight)
		run.logSpeed = (run.logSpeed*run.weight + observed.logSpeed*weight) / (run.weight + weight)
		run.weight += weight
		usual.add(now, observed.logSpeed, weight)
		if known <= 0 {
			return
		}
		value = observed.logSpeed - mean
		run.ratio = run.logSpeed - mean
	} else if math.Abs(observed.logSpeed-run.logSpeed) < minSpeedChange {
		return
	}
	if observed.report.IsOwnSpeed {
		limit := math.Log(maxSpeedFactor)
		profile.speed.addBounded(now, max(-limit, min(value, limit)), weight/float64(max(observed.report.Siblings, 1)), maxSpeedWeight)
	}
}

func (run *Run) checkStall(now time.Time, profile *Profile, usual *average, report Report) {
	limit, known := run.stallLimit(now, usual, report)
	run.hasStalled = known && report.Percent < nearlyDone && now.Sub(run.changedAt) >= limit
	if run.hasStalled && report.IsOwnSpeed {
		profile.addStalled(now, now.Sub(run.stalledUntil))
		run.stalledUntil = now
	}
}

// stallLimit returns the time without progress from which on a run has stalled, false if runs
// of its kind are not known to report progress.
func (run *Run) stallLimit(now time.Time, usual *average, report Report) (time.Duration, bool) {
	speed, weight := usual.mean(now)
	if run.firstAt.IsZero() {
		if weight <= 0 {
			return 0, false
		}
		perPercent := float64(report.Declared) / fullPercent / math.Exp(speed)
		return startTime + max(minStall, time.Duration(usualFactor*perPercent)), true
	}
	if percents := run.percent - run.firstPercent; percents >= minOwnPercent {
		return max(minStall, ownFactor*run.changedAt.Sub(run.firstAt)/time.Duration(percents)), true
	}
	perPercent := float64(report.Declared) / fullPercent
	if weight > 0 {
		perPercent /= math.Exp(speed)
	}
	return max(minStall, time.Duration(usualFactor*perPercent)), true
}

// HasStalled reports whether the newest report shows that the run has made no progress for too
// long.
func (run *Run) HasStalled() bool { return run.hasStalled }

// StalledFor returns for how long the run had made no progress at its newest report, zero if it
// works.
func (run *Run) StalledFor() time.Duration {
	if !run.hasStalled {
		return 0
	}
	return run.reportedAt.Sub(run.changedAt)
}

// ChangedAt returns when the progress last changed, or when the run was first shown.
func (run *Run) ChangedAt() time.Time { return run.changedAt }
