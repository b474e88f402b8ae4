package forecaster

import "time"

const (
	// StartDelay is the time from the decision to start a task until its run begins.
	StartDelay = 100 * time.Millisecond
	// overdueFactor is the share of the time since its expected end for which an overdue run
	// is expected to run on.
	overdueFactor = 0.5
	// minOverdueTime is how long an overdue run is expected to run on at least.
	minOverdueTime = 250 * time.Millisecond
	// minMeasuredPercent is the progress from which on the speed of a run is measured. Below,
	// the submitter's estimate of its run time counts.
	minMeasuredPercent = 10
	// fullPercent is the progress of a finished run.
	fullPercent = 100
)

// Run is what is known of a run that has not ended. Its methods are estimates of its end for
// different uses.
type Run struct {
	// StartedAt is when the start of the run was decided, RunTime its declared run time.
	StartedAt time.Time
	RunTime   time.Duration
	// IsLongRunning means that the run has no end of its own.
	IsLongRunning bool
	// IsAdopted means that the start of the run is not known, and StartedAt is a later time.
	IsAdopted bool
	// IsStopping means that the run is being stopped and has ended by StopsBy.
	IsStopping bool
	StopsBy    time.Time

	// Percent is the progress of the run at ProgressAt, when it last changed.
	Percent    int
	ProgressAt time.Time
	// IsObserved means that the run has been reported at least once.
	IsObserved bool
	// FirstPercent is the first progress that differs from that of the first report, at
	// FirstAt, which is zero before. The time up to then says little about the run's speed.
	FirstPercent int
	FirstAt      time.Time
}

// IsMeasured reports whether the speed of the run is known from its progress.
func (run Run) IsMeasured() bool {
	return !run.FirstAt.IsZero() && run.Percent-run.FirstPercent >= minMeasuredPercent
}

// EndByProgress returns when the run is expected to end by its progress, the zero time if it
// has reported none.
func (run Run) EndByProgress() time.Time {
	if run.IsLongRunning || run.Percent <= 0 || !run.IsObserved {
		return time.Time{}
	}
	timePerPercent := run.RunTime / fullPercent
	if run.IsMeasured() {
		timePerPercent = run.ProgressAt.Sub(run.FirstAt) / time.Duration(run.Percent-run.FirstPercent)
	}
	return run.ProgressAt.Add(time.Duration(fullPercent-run.Percent) * timePerPercent)
}

// LikelyEnd returns when the run is likely to end, by its progress if that tells it, and by the
// declared run time otherwise. An overdue run is likely to end soon.
func (run Run) LikelyEnd(now time.Time) time.Time {
	if run.IsStopping {
		if run.StopsBy.After(now) {
			return run.StopsBy
		}
		return now
	}
	end := run.EndByProgress()
	if end.IsZero() {
		end = run.StartedAt.Add(StartDelay + run.RunTime)
	}
	if overdue := now.Sub(end); overdue >= 0 {
		return now.Add(max(minOverdueTime, time.Duration(overdueFactor*float64(overdue))))
	}
	return end
}

// ExtrapolatedEnd returns the end of a run that goes on as fast as until its progress last changed,
// the declared one before it has any. The start of an adopted run is not known.
func (run Run) ExtrapolatedEnd() time.Time {
	percentLeft := time.Duration(fullPercent - run.Percent)
	switch {
	case run.IsAdopted:
		return run.ProgressAt.Add(run.RunTime * percentLeft / fullPercent)
	case run.Percent > 0:
		return run.ProgressAt.Add(run.ProgressAt.Sub(run.StartedAt) * percentLeft / time.Duration(run.Percent))
	}
	return run.StartedAt.Add(run.RunTime)
}

// CautiousEnd returns the end that a caller is told, false if the run may run for ever. A run that
// is overdue is expected to need as long again, because the longer it is overdue, the less its
// estimate says.
func (run Run) CautiousEnd(now time.Time) (time.Time, bool) {
	var at time.Time
	switch {
	case run.IsStopping:
		at = run.StopsBy
	case run.IsLongRunning:
		return time.Time{}, false
	default:
		at = run.ExtrapolatedEnd()
	}
	if overdue := now.Sub(at); overdue > 0 {
		at = now.Add(overdue)
	}
	return at, true
}
