package planner

import (
	"time"

	"corianderroad/profiler"
)

// Profiles of minions, from the reports and the ends of their runs. They take effect only
// where the deployment enables them.

// noteSuccess notes a run that is done. The start is zero for a run that this holder did not
// know, which proves nothing.
func (planner *Planner) noteSuccess(run *run) {
	if planner.features.MinionProfiles && run != nil {
		run.minion.profile.AddSuccess(run.startedAt)
	}
}

// noteFailure notes a run that has failed on a minion.
func (planner *Planner) noteFailure(now time.Time, minion *minion) {
	if planner.features.MinionProfiles {
		minion.profile.AddFailure(now)
	}
}

// notePace notes the progress of a run since its last change. A member of a gang works at the
// pace of the slowest one, and a task away from its rack is slow wherever it runs: neither says
// anything about its minion.
func (planner *Planner) notePace(now time.Time, run *run, percent int) {
	spec := run.step.spec
	isAway := spec.DataRack != "" && spec.DataRack != run.minion.rack
	if !planner.features.MinionProfiles || spec.Gang || spec.SameRack || spec.LongRunning || isAway || spec.EstimatedRunTime <= 0 {
		return
	}
	done := spec.EstimatedRunTime * time.Duration(percent-run.progressPercent) / fullPercent
	kind := profiler.Kind{Queue: run.job().spec.Queue, Step: run.step.number}
	planner.baseline.Observe(now, &run.minion.profile, kind, done, now.Sub(run.progressAt))
}

// profilePenalty returns the penalty of a minion for a step. One whose tasks have failed before
// avoids a minion after a single failure, because it may use up its attempts there.
func (planner *Planner) profilePenalty(minion *minion, hasFailures bool) int {
	if !planner.features.MinionProfiles {
		return 0
	}
	penalty := 0
	reliability := minion.profile.Reliability(planner.lastPassAt)
	if reliability == profiler.Unreliable || (reliability == profiler.Doubtful && hasFailures) {
		penalty |= likelyToFail
	}
	if minion.profile.IsSlow(planner.lastPassAt) {
		penalty |= slow
	}
	return penalty
}

// hasFailures reports whether a task of the step that is not done has failed.
func (step *step) hasFailures() bool {
	for index := range step.tasks {
		if task := &step.tasks[index]; !task.done && len(task.failedRuns) > 0 {
			return true
		}
	}
	return false
}
