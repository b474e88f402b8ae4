package planner

import (
	"time"

	"corianderroad/messenger"
)

// A run that no list has shown is released by the first list that was made after the order to stop it,
// because the minion may have started it before. The waiting poll would bring that list late, so
// that the task of a start that was refused, but not certainly, would wait for up to two polls.

// checkWait is the wait of a poll that checks for a run. It lets the clock in the list be later than that in the
// answer to the stop.
const checkWait = 2 * time.Millisecond

// checkBarredRun polls the minion of a run that may not have arrived, whose stop has been confirmed, beside
// the poll that waits. It renews no lease and acknowledges no end. The end of a run whose start was confirmed
// comes with the waiting poll.
func (planner *Planner) checkBarredRun(now time.Time, run *run, event messenger.OrderAnswered) {
	if stop := event.Sent.Order.(messenger.StopRun); stop.BarsStart && run.mayHaveArrived && !run.isListed() {
		planner.sendOrder(now, run.minion, messenger.PollRuns{Wait: checkWait}, answerTimeout, run)
	}
}

// handleCheckAnswer handles the answer to a poll that checks for a run. The schedule of the other polls does not
// depend on it.
func (planner *Planner) handleCheckAnswer(now time.Time, minion *minion, event messenger.OrderAnswered) {
	if event.Err == nil && event.Clock >= minion.listClock {
		planner.applyLists(now, minion, event)
	}
}
