package planner

import (
	"fmt"
	"strings"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// Details of log lines about what is concluded from the answers of a minion, or from their absence.

// describeAnswer describes the answer to an order.
func describeAnswer(event *messenger.OrderAnswered) string {
	return fmt.Sprintf("order=%d answer-clock=%s min-clock=%s %s", event.Sent.ID, event.Clock, event.Sent.MinClock, event.Exchange)
}

// describeList describes the list that does not have a run, beside the answers to the orders to
// start and to stop it.
func (run *run) describeList(event *messenger.OrderAnswered) string {
	return fmt.Sprintf("%s started-clock=%s stopped-clock=%s start-until=%s", describeAnswer(event), run.startConfirmedClock, run.stopAcknowledgedClock, run.startLeaseUntil)
}

// describeSilence describes since when a minion has not answered, and what the store says of it.
func (minion *minion) describeSilence(now time.Time) string {
	return fmt.Sprintf("%s clock-age=%s %s", minion.leaseDetail(now), now.Sub(minion.clockAt), describeStore(minion))
}

// describeStore describes what the store says of a minion.
func describeStore(minion *minion) string {
	return fmt.Sprintf("registered=%t draining=%t incarnation=%d", minion.registered, minion.report.Draining, minion.report.Incarnation)
}

// describeNextLife describes which life of a minion follows another one, zero if it is not known.
func describeNextLife(minion *minion, next identifier.Incarnation) string {
	return fmt.Sprintf("%s next-incarnation=%d", describeStore(minion), next)
}

// isRejected reports whether an order got an answer that was not taken for its own. A connection that has not
// brought any answer in time is no rejection.
func isRejected(event *messenger.OrderAnswered) bool {
	return event.Exchange.Rejection != messenger.NotRejected && event.Exchange.Rejection != messenger.NoAnswer
}

// noteResentOrder logs that an order was sent twice, or would have been if its time had not ended. The run is
// nil if the order concerns none.
func (planner *Planner) noteResentOrder(event *messenger.OrderAnswered, run *run) {
	if event.IsRepeat {
		planner.emit(messenger.Count{Counter: messenger.Retries, Reason: "order-resent"})
	}
	subject := string(event.Sent.Minion)
	if run != nil {
		subject = run.id.String()
	}
	kind := strings.TrimPrefix(fmt.Sprintf("%T", event.Sent.Order), "messenger.")
	code := classifier.OK
	if event.Err != nil {
		code = event.Err.Code
	}
	planner.emitDecision(subject, "order-resent", event.Exchange.Rejection.String(),
		fmt.Sprintf("minion=%s order-kind=%s result=%s resent=%t %s", event.Sent.Minion, kind, code.Name(), event.IsRepeat, describeAnswer(event)), time.Duration(0))
}
