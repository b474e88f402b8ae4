package planner

import (
	"fmt"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/profiler"
	"corianderroad/querier"
)

// workProfiler learns from the reports of runs how their minions carry out work.
type workProfiler interface {
	Observe(now time.Time, profile *profiler.Profile, run *profiler.Run, report profiler.Report)
	// Lag returns the time that a run needs and that a copy of its task would need.
	Lag(now time.Time, profile *profiler.Profile, run *profiler.Run, kind profiler.Kind, declared time.Duration, resumes bool) (profiler.Lag, bool)
}

// profiles are what the holder knows of how minions carry out work. Each life of a minion has its
// own profile.
type profiles struct {
	// profiler is nil if the deployment does not enable the rule.
	profiler workProfiler
	// counts are the numbers of minions by condition, as of the last check.
	counts [profiler.Conditions]int
	// nextCheckAt is when the minions are next judged.
	nextCheckAt time.Time
	// nextMoveAt is when runs that should continue elsewhere are next searched for.
	nextMoveAt time.Time
	// lines counts the log lines since linesSince.
	lines      int
	linesSince time.Time
}

// maxProfileLines bounds the log lines about profiles, moves and copies between two reports on
// waiting steps.
const maxProfileLines = 12

// conditionInterval is the time between two judgements of the minions.
const conditionInterval = 250 * time.Millisecond

func newProfiles(features Features) profiles {
	if !features.MinionProfiles {
		return profiles{}
	}
	return profiles{profiler: profiler.New()}
}

// profileReport notes what a report shows of a run.
func (planner *Planner) profileReport(now time.Time, run *run, report messenger.RunReport) {
	spec, minion := run.step.spec, run.minion
	if planner.profiles.profiler == nil || spec.LongRunning || run.state != running {
		return
	}
	isAway := spec.SameRack || (spec.DataRack != "" && spec.DataRack != minion.rack)
	planner.profiles.profiler.Observe(now, &minion.profile, &run.profile, profiler.Report{
		Kind: run.kind(), Percent: report.ProgressPercent, Declared: spec.EstimatedRunTime,
		Siblings: minion.runsOfStep(run.step), IsOwnSpeed: !spec.Gang && !isAway && !now.Before(minion.coldUntil),
		IsHeldBack: run.isHeldBack(),
	})
}

// kind returns the kind of work of the run.
func (run *run) kind() profiler.Kind {
	spec := run.step.spec
	return profiler.Kind{Queue: run.job().spec.Queue, Step: run.step.number, Request: spec.Request, Gang: spec.Gang}
}

// isHeldBack reports whether the run has been ordered to work slowly.
func (run *run) isHeldBack() bool { return run.step.spec.Backfill && run.pacePercent < fullPercent }

// timeFor returns the time that work with a declared run time needs on the minion.
func (minion *minion) timeFor(declared time.Duration) time.Duration {
	if minion.speedFactor <= 0 {
		return declared
	}
	return time.Duration(float64(declared) / minion.speedFactor)
}

func (minion *minion) runsOfStep(step *step) int {
	count := 0
	for _, run := range minion.runs {
		if run.step == step {
			count++
		}
	}
	return count
}

// profileEnd notes a run that has ended by itself.
func (planner *Planner) profileEnd(now time.Time, minion *minion, kind messenger.EndKind) {
	if planner.profiles.profiler != nil && (kind == messenger.EndDone || kind == messenger.EndFailed) {
		minion.profile.AddEnd(now, kind == messenger.EndFailed)
	}
}

// updateConditions judges all minions when that is due.
func (planner *Planner) updateConditions(now time.Time) {
	profiles := &planner.profiles
	if profiles.profiler == nil || now.Before(profiles.nextCheckAt) {
		return
	}
	profiles.nextCheckAt = now.Add(conditionInterval)
	profiles.counts = [profiler.Conditions]int{}
	minions, stalling := make(map[identifier.Service]int), make(map[identifier.Service]int)
	for _, minion := range planner.sortedMinions() {
		condition := minion.profile.Condition(now)
		if condition != minion.condition {
			planner.emitProfileLine(now, string(minion.report.Minion), "minion-profile", condition.String(),
				fmt.Sprintf("before=%s runs=%d speed=%.2f", minion.condition, len(minion.runs), minion.profile.SpeedFactor(now)), 0)
			minion.condition = condition
		}
		minion.speedFactor = minion.profile.SpeedFactor(now)
		profiles.counts[condition]++
		minions[minion.report.Service]++
		if condition == profiler.Stalling {
			stalling[minion.report.Service]++
		}
	}
	for _, minion := range planner.minions {
		// Where half of a pool stalls, its minions have a common cause.
		service := minion.report.Service
		minion.isAvoided = minion.condition == profiler.Stalling && 2*stalling[service] < minions[service]
	}
}

// emitProfileLine writes a log line unless there were too many.
func (planner *Planner) emitProfileLine(now time.Time, subject, outcome, reason, detail string, age time.Duration) {
	profiles := &planner.profiles
	if now.Sub(profiles.linesSince) >= waitReportInterval {
		profiles.lines, profiles.linesSince = 0, now
	}
	profiles.lines++
	if profiles.lines <= maxProfileLines {
		planner.emitDecision(subject, outcome, reason, detail, age)
	}
}

// profileGauges returns the numbers of minions by condition, none without the rule.
func (planner *Planner) profileGauges() []querier.Gauge {
	if planner.profiles.profiler == nil {
		return nil
	}
	var gauges []querier.Gauge
	for value, count := range planner.profiles.counts {
		if condition := profiler.Condition(value); condition != profiler.Sound {
			gauges = append(gauges, querier.Gauge{Name: "minions-by-profile", Label: condition.String(), Value: float64(count)})
		}
	}
	return gauges
}
