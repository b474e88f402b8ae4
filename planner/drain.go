package planner

import (
	"time"

	"corianderroad/accountant"
)

// clearDraining stops the runs of a draining minion that can't end before it
// leaves and that lose little work when stopped. They are started again
// elsewhere.
func (planner *Planner) clearDraining(now time.Time, minion *minion) {
	if minion.leavesAt.IsZero() {
		return
	}
	for _, run := range minion.sortedRuns() {
		if planner.stops != nil && !run.step.spec.LongRunning {
			continue // saved in time by saveLeaving
		}
		if run.state != running || !(run.step.spec.Checkpoints || run.step.spec.LongRunning) || !planner.mayInterrupt(run) {
			continue
		}
		if now.Add(run.remainingTime(now) + planner.bounds.StopTimeout).After(minion.leavesAt) {
			planner.stopRun(now, run, accountant.StopForDrain, "its minion is leaving")
		}
	}
}

// remainingTime estimates the run's remaining time from its progress, or from
// the submitter's estimate if it has reported none.
func (run *run) remainingTime(now time.Time) time.Duration {
	if run.step.spec.LongRunning {
		return time.Hour
	}
	if run.progressPercent <= 0 {
		return run.step.spec.EstimatedRunTime
	}
	return time.Duration(float64(now.Sub(run.startedAt)) * float64(fullPercent-run.progressPercent) / float64(run.progressPercent))
}

// fullPercent is the progress of a finished run, and the pace of a run at full
// speed.
const fullPercent = 100
