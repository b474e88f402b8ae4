package planner

import (
	"time"

	"corianderroad/messenger"
)

// evidence tells what shows that a minion has ended while it had a run of a task. Answers of
// that incarnation that arrive later are not read, so that a proof stays one.
type evidence uint8

const (
	// unproven means that the minion may be alive, or may have ended after the run.
	unproven evidence = iota
	// restarted means that the minion has begun anew since the run was ordered. The run may
	// have ended before, or may never have begun.
	restarted
	// proven means that the minion has begun anew before the lease of the run, which it
	// had reported, could end.
	proven
)

// String returns the name in log lines.
func (evidence evidence) String() string {
	return [...]string{"unproven", "restarted", "proven"}[evidence]
}

const (
	// maxClockRate is the highest rate of a minion's clock relative to this node's.
	maxClockRate = 1.02
	// maxWallClockSkew bounds the difference between the wall clocks of a minion and this
	// node, as far as evidence relies on them.
	maxWallClockSkew = 500 * time.Millisecond
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
func (death *death) evidenceAgainst(run *run) evidence {
	switch {
	case !death.isCertain || death.wasOutOfReach:
		return unproven
	case run.startConfirmedAt.IsZero() || run.state == stopping || run.hasLostMember():
		return restarted
	case death.latest().After(run.minion.lease.holdsUntil):
		return restarted
	}
	return proven
}

// hasLostMember reports whether another member of the run's gang does not work any more as
// far as the holder knows. This one may have ended with it.
func (run *run) hasLostMember() bool {
	if !run.step.spec.Gang {
		return false
	}
	for index := range run.step.tasks {
		member := run.step.tasks[index].run
		if member == nil || member.number != run.number || member.state != running {
			return true
		}
		if member.minion != run.minion && member.minion.unresponsive {
			return true
		}
	}
	return false
}
