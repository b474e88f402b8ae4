package planner

import "time"

const (
	// overdueFactor is the share of the time since its expected end for which an overdue run
	// is expected to run on.
	overdueFactor = 0.5
	// minOverdueTime is how long an overdue run is expected to run on at least.
	minOverdueTime = 250 * time.Millisecond
	// startDelay is the time from the decision to start a task until its run begins.
	startDelay = 100 * time.Millisecond
)

// expectedRunTime returns the time from the decision to start a task of the step until its
// expected end.
func (step *step) expectedRunTime() time.Duration {
	return startDelay + step.spec.EstimatedRunTime
}

// likelyEnd returns when a run is likely to end, by its progress if that tells it, and by the
// declared run time otherwise. An overdue run is likely to end soon.
func (planner *Planner) likelyEnd(now time.Time, run *run) time.Time {
	if run.state == stopping {
		return latest(now, run.stopOrderedAt.Add(planner.bounds.StopTimeout))
	}
	end := run.expectedEnd()
	if end.IsZero() {
		end = run.startedAt.Add(startDelay + run.step.spec.EstimatedRunTime)
	}
	if overdue := now.Sub(end); overdue >= 0 {
		return now.Add(max(minOverdueTime, time.Duration(overdueFactor*float64(overdue))))
	}
	return end
}

// extrapolatedEnd returns the end of a run that goes on as fast as until its progress last changed,
// the declared one before it has any. The start of an adopted run is not known.
func (run *run) extrapolatedEnd() time.Time {
	declared, percentLeft := run.step.spec.EstimatedRunTime, time.Duration(fullPercent-run.progressPercent)
	switch {
	case run.isAdopted:
		return run.progressAt.Add(declared * percentLeft / fullPercent)
	case run.progressPercent > 0:
		return run.progressAt.Add(run.progressAt.Sub(run.startedAt) * percentLeft / time.Duration(run.progressPercent))
	}
	return run.startedAt.Add(declared)
}

// likelyEndOf returns when the last of the runs is likely to end.
func (planner *Planner) likelyEndOf(now time.Time, runs []*run) time.Time {
	var last time.Time
	for _, run := range runs {
		last = latest(last, planner.likelyEnd(now, run))
	}
	return last
}

func latest(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

func earliest(one, other time.Time) time.Time {
	if one.Before(other) {
		return one
	}
	return other
}
