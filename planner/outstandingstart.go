package planner

import (
	"maps"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// A start without an answer is outstanding: for maxOrderDelay it may still be carried out, also
// by a later life of its minion. That life knows nothing of the run, and has another clock, so that
// neither the run's number nor the lease in the order makes the order void there.

// outstandingStarts is until when a start may still be carried out at the minions that have not
// answered one. It outlives the removal of a minion from the table.
type outstandingStarts map[identifier.Minion]time.Time

// noteOutcome notes an order to start a run that a minion may still carry out. The minion is
// polled from now on although it is idle.
func (planner *Planner) noteOutcome(now time.Time, event *messenger.OrderAnswered) {
	if _, isStart := event.Sent.Order.(messenger.StartRun); !isStart || !isOutstanding(event) {
		return
	}
	planner.addOutstandingStart(now, event.Sent.Minion)
	minion := planner.minions[event.Sent.Minion]
	if minion != nil && !minion.polling && minion.nextPollAt.IsZero() {
		minion.schedulePoll(now)
	}
}

// addOutstandingStart notes that a minion may still carry out a start.
func (planner *Planner) addOutstandingStart(now time.Time, minion identifier.Minion) {
	maps.DeleteFunc(planner.outstandingStarts, func(_ identifier.Minion, until time.Time) bool { return now.After(until) })
	planner.outstandingStarts[minion] = now.Add(maxOrderDelay)
}

// isOutstanding reports whether an order may be carried out after this event.
func isOutstanding(event *messenger.OrderAnswered) bool {
	if event.Err == nil {
		return false
	}
	return event.Err.MayHaveRun || (event.Clock == 0 && event.Err.Code.Execution() != classifier.NotRun)
}

// hasOutstandingStart reports whether a minion, or a later life of it, may still carry out a start
// that it has not answered. It is polled although it is idle, because a later life refuses the
// start only once it has answered a poll with a token of its own.
func (planner *Planner) hasOutstandingStart(now time.Time, minion *minion) bool {
	return now.Before(planner.outstandingStarts[minion.report.Minion])
}

// mayStartLate reports whether a later life of a silent minion may carry out an attempt to start
// the run, or have done so, although the leases of the known life have expired. The run is then
// kept until the minion answers, refuses connections, or has been silent for maxSilence, or another
// one is listed at its address. A task that lasts must be at work again sooner.
func (planner *Planner) mayStartLate(now time.Time, run *run) bool {
	minion := run.minion
	hasEnded := minion.hasEnded || planner.laterLife(minion.placement(0)) != nil
	if run.step.spec.LongRunning || hasEnded || now.Sub(minion.clockAt) >= maxSilence {
		return false
	}
	return minion.clockAt.Before(run.unansweredAt.Add(maxOrderDelay))
}
