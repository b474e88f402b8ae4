package planner

import (
	"time"

	"corianderroad/messenger"
)

// Pacing of backfill tasks beside tasks that serve users of their own.
const (
	// strainedAt is the share of its latency target at which a serving task is
	// relieved, so that the target itself is not passed for long.
	strainedAt = 0.8
	// relaxedAt is the share below which backfill tasks may work more again.
	relaxedAt = 0.5
	// paceStep is how many percent a backfill task is given back at a time.
	paceStep = 25
	// paceEvery is the least time between two changes upwards. The load that a
	// minion tells is that of the last half second.
	paceEvery = time.Second
	// sharedWait is how long a look waits at a minion with tasks of both kinds.
	sharedWait = 400 * time.Millisecond
)

// sharing reports whether a minion has tasks that serve users of their own and
// backfill tasks beside them.
func (minion *minion) sharing() bool {
	serving, backfill := false, false
	for _, run := range minion.runs {
		serving = serving || run.step.spec.LatencyTarget > 0
		backfill = backfill || run.step.spec.Backfill
	}
	return serving && backfill
}

// pace slows the backfill tasks of a minion down at once when a serving task
// nears its target, and lets them work more step by step.
func (planner *Planner) pace(now time.Time, minion *minion) {
	strain := 0.0
	for _, run := range minion.runs {
		if target := run.step.spec.LatencyTarget; target > 0 {
			strain = max(strain, run.load/float64(target.Milliseconds()))
		}
	}
	for _, run := range minion.sortedRuns() {
		if !run.step.spec.Backfill || run.state != working {
			continue
		}
		percent := run.pace(now, strain)
		if percent == run.paced {
			continue
		}
		run.paced, run.pacedAt = percent, now
		planner.decide(run.id.String(), "pace", "load of the serving tasks beside it", "", 0)
		planner.order(now, minion, messenger.PaceRun{Task: run.id, Run: run.number, Percent: percent}, answerTimeout, nil)
	}
}

// pace returns the share of its speed at which a backfill run should work.
func (run *run) pace(now time.Time, strain float64) int {
	switch {
	case strain >= strainedAt:
		return 0
	case strain < relaxedAt && now.Sub(run.pacedAt) >= paceEvery:
		return min(run.paced+paceStep, wholeRun)
	default:
		return run.paced
	}
}
