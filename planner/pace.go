package planner

import (
	"time"

	"corianderroad/messenger"
)

// Pacing of backfill tasks beside tasks that serve users of their own.
const (
	// strainedAt is the share of its latency target at which a serving task is
	// relieved, so that the target itself is not passed for long.
	throttleThreshold = 0.8
	// relaxedAt is the share below which backfill tasks may work more again.
	speedUpThreshold = 0.5
	// paceStep is how many percent a backfill task is given back at a time.
	paceIncrementPercent = 25
	// paceEvery is the least time between two changes upwards. The load that a
	// minion tells is that of the last half second.
	minPaceIncreaseInterval = time.Second
	// sharedWait is how long a look waits at a minion with tasks of both kinds.
	mixedLoadPollWait = 400 * time.Millisecond
)

// sharing reports whether a minion has tasks that serve users of their own and
// backfill tasks beside them.
func (minion *minion) hasMixedLoad() bool {
	serving, backfill := false, false
	for _, run := range minion.runs {
		serving = serving || run.step.spec.LatencyTarget > 0
		backfill = backfill || run.step.spec.Backfill
	}
	return serving && backfill
}

// pace slows the backfill tasks of a minion down at once when a serving task
// nears its target, and lets them work more step by step.
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
		if percent == run.pacePercent {
			continue
		}
		run.pacePercent, run.paceSetAt = percent, now
		planner.emitDecision(run.id.String(), "pace", "load of the serving tasks beside it", "", 0)
		planner.sendOrder(now, minion, messenger.PaceRun{Task: run.id, Run: run.number, Percent: percent}, answerTimeout, nil)
	}
}

// pace returns the share of its speed at which a backfill run should work.
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
