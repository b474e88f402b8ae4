package planner

import (
	"fmt"
	"time"

	"corianderroad/messenger"
)

// Only the entries and the lists of runs tell which life of a minion they are from. The header
// of an order names the minion, so that its next life carries out an order to the earlier one
// and answers it. The clock in the answer shows that: it starts anew with each life.

// isFromLaterLife reports whether an answer that does not name its incarnation is from a later
// life than the order was addressed to, because its clock has gone back.
func isFromLaterLife(event *messenger.OrderAnswered) bool {
	return event.Incarnation == 0 && event.Clock > 0 && event.Clock < event.Sent.MinClock.Truncate(time.Millisecond)
}

// handleAnswerOfLaterLife handles the answer of a later life whose incarnation is not known to
// an order for a run. The order says nothing about the addressed life, and the later one may
// have the run. A poll tells which life it is.
func (planner *Planner) handleAnswerOfLaterLife(now time.Time, minion *minion, run *run, event messenger.OrderAnswered) {
	planner.emitDecision(string(minion.report.Minion), "minion-clock-back", "a later life has answered",
		fmt.Sprintf("clock=%s expected-clock=%s", event.Clock, event.Sent.MinClock.Truncate(time.Millisecond)), now.Sub(minion.clockAt))
	minion.laterLifeAt = now
	minion.leaseLimit.expectStrays(now)
	if !minion.polling {
		minion.schedulePoll(now)
	}
	if run == nil {
		return
	}
	switch event.Sent.Order.(type) {
	case messenger.StartRun:
		run.mayHaveArrived = true
		run.isAnsweredByOther = run.startAttempts == 1
	case messenger.StopRun:
		if run.awaitsStop() {
			planner.scheduleStop(now, run)
		}
	}
}

// refuteLaterLife notes that this life has answered a poll that was sent after an answer had
// shown a later one. That answer was not what its clock made it look like.
func (minion *minion) refuteLaterLife(event *messenger.OrderAnswered) {
	if minion.laterLifeAt.IsZero() || event.Incarnation == 0 || event.SentAt.Before(minion.laterLifeAt) {
		return
	}
	minion.laterLifeAt = time.Time{}
	if minion.polled {
		minion.leaseLimit.endStrays()
	}
}
