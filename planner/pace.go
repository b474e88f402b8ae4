package planner

import (
	"time"

	"corianderroad/messenger"
)

// Pacing of backfill tasks on minions with tasks that serve their own users.
const (
	// throttleThreshold is the share of a serving task's latency target at which
	// the backfill tasks beside it are paused, so that the target itself is
	// exceeded only briefly.
	throttleThreshold = 0.8
	// speedUpThreshold is the share of the target below which backfill tasks may
	// run faster again.
	speedUpThreshold = 0.5
	// paceIncrementPercent is by how many percentage points the pace of a backfill
	// task rises at a time.
	paceIncrementPercent = 25
	// minPaceIncreaseInterval is the minimum time between two increases. The load
	// that a minion reports is that of the last half second.
	minPaceIncreaseInterval = time.Second
	// pauseRepeatInterval is the time after which the pause of a backfill task is ordered
	// again while the serving task beside it still nears its target. The first order may
	// have been lost, or overtaken by an earlier one.
	pauseRepeatInterval = time.Second
	// mixedLoadPollWait is how long a poll waits at a minion with both kinds of
	// tasks.
	mixedLoadPollWait = 400 * time.Millisecond
)

// hasMixedLoad reports whether a minion runs both serving tasks and backfill
// tasks.
func (minion *minion) hasMixedLoad() bool {
	serving, backfill := false, false
	for _, run := range minion.runs {
		serving = serving || run.step.spec.LatencyTarget > 0
		backfill = backfill || run.step.spec.Backfill
	}
	return serving && backfill
}

// paceBackfillRuns pauses the backfill tasks of a minion at once when a serving
// task nears its latency target, and raises their pace step by step afterwards.
func (planner *Planner) paceBackfillRuns(now time.Time, minion *minion) {
	latencyRatio := 0.0
	for _, run := range minion.runs {
		if target := run.step.spec.LatencyTarget; target > 0 {
			latencyRatio = max(latencyRatio, run.load/float64(target.Milliseconds()))
		}
	}
	for _, run := range minion.sortedRuns() {
		if !run.step.spec.Backfill || run.state != running {
			continue
		}
		percent := run.targetPacePercent(now, latencyRatio)
		if percent == run.pacePercent && !run.mustRepeatPause(now, latencyRatio) {
			continue
		}
		run.pacePercent, run.paceSetAt = percent, now
		planner.emitDecision(run.id.String(), "pace", "load of the serving tasks beside it", "", 0)
		planner.sendOrder(now, minion, messenger.PaceRun{Task: run.id, Run: run.number, Percent: percent}, answerTimeout, nil)
	}
}

// targetPacePercent returns the share of its speed at which a backfill run
// should work.
func (run *run) targetPacePercent(now time.Time, latencyRatio float64) int {
	switch {
	case latencyRatio >= throttleThreshold:
		return 0
	case latencyRatio < speedUpThreshold && now.Sub(run.paceSetAt) >= minPaceIncreaseInterval:
		return min(run.pacePercent+paceIncrementPercent, fullPercent)
	default:
		return run.pacePercent
	}
}

// mustRepeatPause reports whether a backfill run may be working although it counts as
// paused. The pace of a run that a former holder started is unknown at first.
func (run *run) mustRepeatPause(now time.Time, latencyRatio float64) bool {
	return latencyRatio >= throttleThreshold && now.Sub(run.paceSetAt) >= pauseRepeatInterval
}
