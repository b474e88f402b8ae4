package planner

import (
	"slices"
	"time"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

const (
	// maxClockRate is the highest rate of a minion's clock relative to this node's.
	maxClockRate = 1.02
	// maxWallClockSkew bounds the difference between the wall clocks of a minion and this
	// node, as far as evidence relies on them.
	maxWallClockSkew = 500 * time.Millisecond
	// maxDownTime is the time within which a crashed minion is back. One that was silent for
	// longer may have been out of reach first.
	maxDownTime = 6 * time.Second
	// maxReachDelay is the time from the start of an incarnation after which it has answered
	// or is listed, unless it is out of reach: two of the longest intervals of polls and their
	// timeouts.
	maxReachDelay = maxIdleRetryDelay + 2*answerTimeout
)

// leaseReading is what an answer of a minion has shown about its lease.
type leaseReading struct {
	// clock was read at readAt or later.
	clock  time.Duration
	readAt time.Time
	// holdsUntil is the time up to which the lease that the minion has received certainly
	// holds, zero if it has received none.
	holdsUntil time.Time
}

// update applies an answer of the minion to an order, with the end of the lease in the order,
// zero if there was none.
func (reading *leaseReading) update(clock time.Duration, sentAt time.Time, leaseUntil time.Duration) {
	if clock < reading.clock {
		return // an answer to an earlier order
	}
	readAt := sentAt
	if reading.clock > 0 {
		earliest := reading.readAt.Add(time.Duration(float64(clock-reading.clock) / maxClockRate))
		if earliest.After(readAt) {
			readAt = earliest
		}
	}
	reading.clock, reading.readAt = clock, readAt
	if leaseUntil <= clock {
		return
	}
	holdsUntil := readAt.Add(time.Duration(float64(leaseUntil-clock) / maxClockRate))
	if holdsUntil.After(reading.holdsUntil) {
		reading.holdsUntil = holdsUntil
	}
}

// leaseOf returns the end of the lease in an order, zero if it has none.
func leaseOf(order messenger.Order) time.Duration {
	switch order := order.(type) {
	case messenger.StartRun:
		return order.LeaseUntil
	case messenger.PollRuns:
		return order.LeaseUntil
	}
	return 0
}

// evidenceAgainst returns what the death of a minion proves against the task of a run.
func (planner *Planner) evidenceAgainst(run *run, death *death) specifier.CrashEvidence {
	switch {
	case !death.isCertain || death.wasOutOfReach || death.downTime(run) > maxSilenceOf(run):
		return specifier.Unproven
	case run.startConfirmedAt.IsZero() || run.mayHaveBeenStopped() || planner.hasLostMember(run):
		return specifier.Restarted
	case death.latest().After(run.minion.lease.holdsUntil) || run.mayHaveCompleted():
		return specifier.Restarted
	}
	return specifier.Proven
}

// maxSilenceOf returns the longest time from the last answer of a run's minion to its next life
// if the minion has crashed: until the poll that it would have answered, and then its down time.
func maxSilenceOf(run *run) time.Duration {
	if run.onTrial {
		return maxDownTime + trialPollWait
	}
	return maxDownTime + maxPollWait
}

// mayHaveBeenStopped reports whether the run may have ended because it was ordered to. The
// order did not arrive if its minion had ended before, as refused connections show.
func (run *run) mayHaveBeenStopped() bool {
	refusedSince := run.minion.refusedSince()
	return run.state == stopping && (refusedSince.IsZero() || run.account.StoppedAt.Before(refusedSince))
}

// mayHaveCompleted reports whether the run may have ended by itself, by its submitter's
// estimate, before a connection to its minion was first refused. It ended then, or later.
func (run *run) mayHaveCompleted() bool {
	refusedAt := run.minion.firstRefusedAt
	return !run.step.spec.LongRunning && !refusedAt.IsZero() && refusedAt.Sub(run.startedAt) >= run.step.spec.EstimatedRunTime
}

// hasLostMember reports whether the minion of another member of the run's gang fell silent
// before the run's own minion answered for the last time. The run may have ended with it.
func (planner *Planner) hasLostMember(run *run) bool {
	if !run.step.spec.Gang {
		return false
	}
	return slices.ContainsFunc(planner.silences, func(silence silence) bool {
		return silence.minion != run.minion.report.Minion && slices.Contains(silence.steps, run.step) &&
			silence.before.After(run.startedAt) && silence.before.Before(run.minion.answeredAt)
	})
}
