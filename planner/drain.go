package planner

import "time"

// leaving moves the runs of a draining minion that can't end before it leaves
// and that lose little by a stop.
func (planner *Planner) evacuateDraining(now time.Time, minion *minion) {
	if minion.leavesAt.IsZero() {
		return
	}
	for _, run := range minion.sortedRuns() {
		if run.state != running || !(run.step.spec.Checkpoints || run.step.spec.LongRunning) || !planner.mayInterrupt(run) {
			continue
		}
		if now.Add(run.remainingTime(now) + planner.bounds.StopTimeout).After(minion.leavesAt) {
			planner.stopRun(now, run, "its minion is leaving")
		}
	}
}

// left returns how long the run still takes, by its progress so far, or by its
// estimate if it has shown none.
func (run *run) remainingTime(now time.Time) time.Duration {
	if run.step.spec.LongRunning {
		return time.Hour
	}
	if run.progressPercent <= 0 {
		return run.step.spec.EstimatedRunTime
	}
	return time.Duration(float64(now.Sub(run.startedAt)) * float64(fullPercent-run.progressPercent) / float64(run.progressPercent))
}

// wholeRun is the percentage of a run that is done.
const fullPercent = 100
