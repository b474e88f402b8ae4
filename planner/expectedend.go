package planner

import (
	"time"
)

const (
	// minMeaningfulPercent is the progress from which on it tells the pace of a run better
	// than the declared run time.
	minMeaningfulPercent = 10
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
	if step.spec.LongRunning {
		return endlessRunTime
	}
	return startDelay + step.spec.EstimatedRunTime
}

// endlessRunTime exceeds the time of any reservation.
const endlessRunTime = 10000 * time.Hour

// expectedEnd returns when a run is expected to end, from its progress if it has one, and
// from the declared run time otherwise. An overdue run is expected to end soon.
func (planner *Planner) expectedEnd(now time.Time, run *run) time.Time {
	if run.state == stopping {
		return later(now, run.stopOrderedAt.Add(planner.bounds.StopTimeout))
	}
	end := run.startedAt.Add(startDelay + run.step.spec.EstimatedRunTime)
	if run.progressPercent >= minMeaningfulPercent {
		end = run.endByProgress()
	}
	if overdue := now.Sub(end); overdue >= 0 {
		return now.Add(max(minOverdueTime, time.Duration(overdueFactor*float64(overdue))))
	}
	return end
}

// endByProgress returns when the run ends if it goes on at its pace. The progress of a run
// that began at a checkpoint does not tell its pace, which is taken as the declared one.
func (run *run) endByProgress() time.Time {
	rest := float64(fullPercent-run.progressPercent) / float64(run.progressPercent)
	worked := run.progressAt.Sub(run.startedAt)
	if run.step.spec.Checkpoints && run.previousRun > 0 {
		rest = float64(fullPercent-run.progressPercent) / fullPercent
		worked = run.step.spec.EstimatedRunTime
	}
	return run.progressAt.Add(time.Duration(rest * float64(worked)))
}

func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}
