package planner

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"corianderroad/querier"
)

// Reports on steps that wait.
const (
	// waitReportInterval is the time between two reports.
	waitReportInterval = 2 * time.Second
	// minReportedWait is how long a step must have had nothing running to be
	// reported.
	minReportedWait = 3 * time.Second
	// maxReportedSteps bounds the lines of one report. The gauges count all steps.
	maxReportedSteps = 6
)

// waitReason is why a step whose turn has come has nothing running.
type waitReason uint8

const (
	waitsForPass waitReason = iota // no pass has considered it yet
	waitsForQueue
	waitsForClaim
	waitsForFormerRuns
	waitsForRunEnds
	waitsForStarts
	waitsAfterRefusal
	waitsForOrders
	waitsForMinions
	waitsForAdvice
	waitsForRecord
	waitsForCapacity
	waitsForTrial
	waitsForReports
	waitsForOperator
	waitsForEvacuated
	waitsForRunLimit
	waitReasons // the number of reasons
)

// String returns the name of the reason in log lines and metrics.
func (reason waitReason) String() string {
	return [...]string{
		"pass-pending", "queue-unknown", "claim-unconfirmed", "former-runs-unresolved", "runs-ending", "starts-unanswered",
		"start-refused", "orders-pending", "no-minions", "advice-pending", "record-pending", "no-capacity", "trial-pending", "reports-outdated",
		"evacuations-outdated", "domain-evacuated", "run-limit",
	}[reason]
}

// waiting holds the reports on steps that wait.
type waiting struct {
	nextReportAt time.Time
	// counts are the steps of the last report by their reason.
	counts [waitReasons]int
}

// reportWaitingSteps logs the steps that have had nothing running for the longest
// time, with the reason, and counts all of them.
func (planner *Planner) reportWaitingSteps(now time.Time) {
	if now.Before(planner.waiting.nextReportAt) {
		return
	}
	planner.waiting = waiting{nextReportAt: now.Add(waitReportInterval)}
	steps := planner.stalledSteps(now)
	if len(steps) == 0 {
		return
	}
	slices.SortFunc(steps, func(one, other *step) int {
		return cmp.Or(one.stalledSince.Compare(other.stalledSince), compareArrival(one, other))
	})
	check := planner.newCapacityCheck(now)
	reasons := make(map[*step]waitReason, len(steps))
	for _, step := range steps {
		reason := planner.reportedReason(now, step, check)
		reasons[step] = reason
		planner.waiting.counts[reason]++
	}
	minions := planner.describeMinions(now)
	for _, step := range steps[:min(len(steps), maxReportedSteps)] {
		planner.emitDecision(string(step.occurrence.job.spec.ID), "step-waits", reasons[step].String(),
			fmt.Sprintf("occurrence=%d step=%d tasks=%d startable=%d waiting-steps=%d %s", step.occurrence.number, step.number,
				len(step.tasks)-step.done, step.countStartableTasks(now), len(steps), minions), now.Sub(step.stalledSince))
	}
}

// stalledSteps returns the steps whose turn has come and that have had nothing
// running for minReportedWait.
func (planner *Planner) stalledSteps(now time.Time) []*step {
	var stalled []*step
	for _, job := range planner.openJobs {
		for step := range job.dueSteps(now) {
			if step.isComplete() || !step.isReady() || step.isWorking() {
				step.stalledSince = time.Time{}
				continue
			}
			if step.stalledSince.IsZero() {
				step.stalledSince = now
			}
			if now.Sub(step.stalledSince) >= minReportedWait {
				stalled = append(stalled, step)
			}
		}
	}
	return stalled
}

// isWorking reports whether a minion has confirmed a run of the step that is not
// being stopped.
func (step *step) isWorking() bool {
	for index := range step.tasks {
		if run := step.tasks[index].run; run != nil && run.state == running {
			return true
		}
	}
	return false
}

// waitReason returns why the step has nothing running.
func (planner *Planner) waitReason(now time.Time, step *step) waitReason {
	switch {
	case planner.queue(step.occurrence.job) == nil:
		return waitsForQueue
	case !planner.holder.isClaimValid(now):
		return waitsForClaim
	case step.hasUnresolvedTask() && (step.spec.Gang || step.countStartableTasks(now) == 0):
		return waitsForFormerRuns
	}
	if reason, blocked := step.blockingRun(); blocked {
		return reason
	}
	switch {
	case step.hasSuspect():
		return step.passResult
	case step.countStartableTasks(now) > 0:
		return step.passResult
	case step.awaitsRecord(now):
		return waitsForRecord
	}
	return waitsAfterRefusal
}

// reportedReason returns why the step has nothing running, as it is reported: a step that only
// lacks capacity because of an evacuation waits for its end.
func (planner *Planner) reportedReason(now time.Time, step *step, check *capacityCheck) waitReason {
	reason := planner.waitReason(now, step)
	if reason == waitsForCapacity && check.awaitsEvacuated(now, step) {
		return waitsForEvacuated
	}
	return reason
}

// blockingRun returns the reason if the step waits for runs that are not confirmed
// or not ended yet.
func (step *step) blockingRun() (waitReason, bool) {
	reason, runs := waitsForStarts, 0
	for index := range step.tasks {
		run := step.tasks[index].run
		if run == nil {
			continue
		}
		runs++
		if run.state == stopping {
			reason = waitsForRunEnds
		}
	}
	return reason, runs > 0 && (step.spec.Gang || runs == len(step.tasks)-step.done)
}

// describeMinions returns the number of minions by their availability, as inputs
// of a log line.
func (planner *Planner) describeMinions(now time.Time) string {
	var parts []string
	for value, count := range planner.countMinions(now) {
		if count > 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", availability(value), count))
		}
	}
	return strings.Join(parts, " ")
}

// waitingGauges returns the gauges of minions by availability and of waiting steps
// by reason.
func (planner *Planner) waitingGauges(now time.Time) []querier.Gauge {
	var gauges []querier.Gauge
	for value, count := range planner.countMinions(now) {
		gauges = append(gauges, querier.Gauge{Name: "minions-by-availability", Label: availability(value).String(), Value: float64(count)})
	}
	gauges = append(gauges, querier.Gauge{Name: "half-open-minions", Value: float64(planner.countHalfOpenMinions())})
	gauges = append(gauges, querier.Gauge{Name: "headroom-minions", Value: float64(planner.headroom.kept)})
	for reason, count := range planner.waiting.counts {
		gauges = append(gauges, querier.Gauge{Name: "waiting-steps", Label: waitReason(reason).String(), Value: float64(count)})
	}
	return gauges
}
