package profiler

import (
	"math"
	"time"
)

const (
	// copyStartTime is the time from the decision to copy a task until the copy works.
	copyStartTime = time.Second
	// copyFactor is by how much the run has to be slower than its copy, so that the copy is likely
	// to end first although both times are rough.
	copyFactor = 1.3
	// resumeShare is the share of a task's work that a copy does again beside what its run has left,
	// if it resumes from the newest checkpoint of the run.
	resumeShare = 0.1
	// minLagPercent is the progress from which on the speed of a run itself is precise enough to compare
	// it with a copy. The polls show a change up to 1.2 s late.
	minLagPercent = 20
)

// Lag is the time that a run needs and that a copy of its task would need.
type Lag struct {
	Left, Copy time.Duration
	// HasStalled means that the run makes no progress. It keeps no place that is of use to others, so
	// that a copy need not be certain to pay.
	HasStalled bool
}

// CopyPays reports whether a copy is expected to end clearly before the run.
func (lag Lag) CopyPays() bool {
	if lag.HasStalled {
		return lag.Left >= copyStartTime+lag.Copy
	}
	return lag.Left >= copyStartTime+time.Duration(copyFactor*float64(lag.Copy))
}

// Lag returns the times for a run on a minion that is slow or stalls, false if the minion is neither
// or the speed of the run is not known. A task that is merely large is as slow elsewhere.
func (profiler *Profiler) Lag(now time.Time, profile *Profile, run *Run, kind Kind, declared time.Duration, resumes bool) (Lag, bool) {
	speed, weight := profiler.usualSpeed(kind).mean(now)
	factor := profile.SpeedFactor(now)
	if run.percent >= nearlyDone || weight <= 0 || (factor >= 1 && !run.hasStalled) {
		return Lag{}, false
	}
	whole := time.Duration(float64(declared) / math.Exp(speed))
	if percents := run.percent - run.firstPercent; !run.firstAt.IsZero() && percents >= minLagPercent {
		whole = time.Duration(factor * float64(run.changedAt.Sub(run.firstAt)) / float64(percents) * fullPercent)
	}
	left := float64(fullPercent-run.percent) / fullPercent
	lag := Lag{Left: time.Duration(left / factor * float64(whole)), Copy: whole, HasStalled: run.hasStalled}
	if run.hasStalled {
		lag.Left += run.StalledFor()
	}
	if resumes {
		lag.Copy = time.Duration(min(left+resumeShare, 1) * float64(whole))
	}
	return lag, true
}
