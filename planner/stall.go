package planner

import "time"

// Stalled runs.
const (
	// stallAfter is how long a run may show no progress. A look comes at least
	// every 1.2 s.
	stallAfter = 3 * time.Second
	// stallShare is the part of its estimated run time for which a long run may
	// show none, because progress is told in whole percents.
	stallShare = 0.1
)

// checkStalls stops the runs of a minion that stand still although the minion
// answers. They start again elsewhere, from their checkpoints if they have any.
// A member of a gang that has done its own part waits for the others.
func (planner *Planner) checkStalls(now time.Time, minion *minion) {
	for _, run := range minion.sortedRuns() {
		if run.state != working || run.step.spec.LongRunning || run.percent >= wholeRun || now.Sub(run.progressAt) < run.patience() {
			continue
		}
		run.task().avoid = minion.report.Minion
		planner.strike(now, minion)
		planner.stop(now, run, "no progress")
	}
}

// patience returns how long the run may show no progress.
func (run *run) patience() time.Duration {
	return max(stallAfter, time.Duration(stallShare*float64(run.step.spec.EstimatedRunTime)))
}

// leaving moves the runs of a draining minion that can't end before it leaves
// and that lose little by a stop.
func (planner *Planner) leaving(now time.Time, minion *minion) {
	if minion.leavesAt.IsZero() {
		return
	}
	for _, run := range minion.sortedRuns() {
		if run.state != working || !(run.step.spec.Checkpoints || run.step.spec.LongRunning) || !planner.mayMiss(run) {
			continue
		}
		if now.Add(run.left(now) + planner.bounds.StopTimeout).After(minion.leavesAt) {
			planner.stop(now, run, "its minion is leaving")
		}
	}
}

// left returns how long the run still takes, by its progress so far, or by its
// estimate if it has shown none.
func (run *run) left(now time.Time) time.Duration {
	if run.step.spec.LongRunning {
		return time.Hour
	}
	if run.percent <= 0 {
		return run.step.spec.EstimatedRunTime
	}
	return time.Duration(float64(now.Sub(run.startedAt)) * float64(wholeRun-run.percent) / float64(run.percent))
}

// wholeRun is the percentage of a run that is done.
const wholeRun = 100
