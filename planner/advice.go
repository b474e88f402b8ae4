package planner

import (
	"fmt"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// Advice requests.
const (
	// maxMinionsPerAdviceRequest limits the minions of one request, because the
	// service needs time for each.
	maxMinionsPerAdviceRequest = 24
	// minAdviceSlack is added to the decision time that the service announces. It is
	// doubled up to maxAdviceSlack while requests fail.
	minAdviceSlack = 900 * time.Millisecond
	maxAdviceSlack = 4 * time.Second
	// adviceRetryDelay is the time before a failed request is repeated.
	adviceRetryDelay = 200 * time.Millisecond
	// ticketMargin is how long before its expiry a ticket is no longer used,
	// because the order still has to reach the minion.
	ticketMargin = 300 * time.Millisecond
)

// advice holds what the advice service has decided for a step.
type advice struct {
	tickets map[identifier.Minion]ticket
	denied  map[identifier.Minion]bool
}

type ticket struct {
	value       string
	expiresAt   time.Time
	incarnation identifier.Incarnation
}

// adviceRequest is the one pending request. The service handles the requests of
// one node one after another.
type adviceRequest struct {
	step    *step
	retryAt time.Time
	// slack is that of the last request.
	slack time.Duration
}

// updateTickets drops tickets that are about to expire. Minions that were
// approved for the step stay approved, so that only their ticket is requested
// again.
func (planner *Planner) updateTickets(now time.Time, waitingStep *waitingStep) {
	if waitingStep.queue.Advice == nil {
		return
	}
	step := waitingStep.step
	if step.advice == nil {
		step.advice = &advice{tickets: make(map[identifier.Minion]ticket), denied: make(map[identifier.Minion]bool)}
	}
	for name, ticket := range step.advice.tickets {
		minion, ok := planner.minions[name]
		if !ok || minion.report.Incarnation != ticket.incarnation || now.Add(ticketMargin).After(ticket.expiresAt) {
			delete(step.advice.tickets, name)
		}
	}
}

// isAllowed returns false if the service has denied the minion for the step.
func (step *step) isAllowed(minion *minion) bool {
	return step.advice == nil || !step.advice.denied[minion.report.Minion]
}

// ticket returns the ticket for a minion, empty if there is none.
func (step *step) ticket(minion *minion) string {
	if step.advice == nil {
		return ""
	}
	return step.advice.tickets[minion.report.Minion].value
}

func (step *step) dropTicket(minion *minion) {
	if step.advice != nil {
		delete(step.advice.tickets, minion.report.Minion)
	}
}

// hasValidTicket reports whether the ticket of a run, if it needs one, can be used again.
func (run *run) hasValidTicket(now time.Time) bool {
	if run.ticket == "" {
		return true
	}
	if run.step.advice == nil {
		return false
	}
	ticket := run.step.advice.tickets[run.minion.report.Minion]
	return ticket.value == run.ticket && !now.Add(ticketMargin).After(ticket.expiresAt)
}

// ensureTickets reports whether the step has a ticket for each chosen minion. If
// not, it requests advice about those without one and about other minions with
// free capacity.
func (planner *Planner) ensureTickets(now time.Time, waitingStep *waitingStep, chosen, available []*minion) bool {
	if waitingStep.queue.Advice == nil {
		return true
	}
	step := waitingStep.step
	names := make([]identifier.Minion, 0, maxMinionsPerAdviceRequest)
	requested := make(map[identifier.Minion]bool)
	add := func(minion *minion) {
		name := minion.report.Minion
		if len(names) < maxMinionsPerAdviceRequest && !requested[name] && step.ticket(minion) == "" && step.canRunOn(minion) {
			requested[name] = true
			names = append(names, name)
		}
	}
	for _, minion := range chosen {
		add(minion)
	}
	if len(names) == 0 {
		return true
	}
	// Each request without success makes the next one larger.
	wanted := max(2*len(chosen), len(step.advice.denied))
	for _, minion := range available {
		if len(names) < wanted && planner.taskCapacity(step, minion) > 0 {
			add(minion)
		}
	}
	planner.requestAdvice(now, waitingStep, names)
	return false
}

func (planner *Planner) requestAdvice(now time.Time, waitingStep *waitingStep, names []identifier.Minion) {
	if planner.adviceRequest.step != nil || now.Before(planner.adviceRequest.retryAt) {
		return
	}
	step := waitingStep.step
	planner.adviceRequest.step = step
	planner.adviceRequest.slack = max(planner.adviceRequest.slack, minAdviceSlack)
	planner.emitDecision(string(step.occurrence.job.spec.ID), "ask-advice", "the queue requires advice",
		fmt.Sprintf("step=%d minions=%d", step.number, len(names)), now.Sub(step.waitingSince))
	planner.emit(messenger.RequestAdvice{
		Job: step.occurrence.job.spec.ID, Occurrence: step.occurrence.number, Step: step.number, Minions: names,
		Timeout: waitingStep.queue.Advice.DecisionTime + time.Duration(len(names))*waitingStep.queue.Advice.TimePerMinion + planner.adviceRequest.slack,
	})
}

func (planner *Planner) handleAdvice(now time.Time, event messenger.AdviceReceived) {
	step := planner.adviceRequest.step
	if step == nil || step.occurrence.job.spec.ID != event.Sent.Job || step.number != event.Sent.Step ||
		step.occurrence.number != event.Sent.Occurrence {
		return
	}
	planner.adviceRequest.step = nil
	planner.passNeeded = true
	if event.Err != nil {
		planner.adviceRequest.retryAt = now.Add(adviceRetryDelay)
		planner.adviceRequest.slack = min(2*planner.adviceRequest.slack, maxAdviceSlack)
		planner.emit(messenger.Count{Counter: messenger.Retries, Reason: "advice-" + event.Err.Code.Name()})
		return
	}
	planner.adviceRequest.slack = 0
	if step.advice == nil {
		return
	}
	for _, name := range event.Sent.Minions {
		step.advice.denied[name] = true
	}
	for _, granted := range event.Tickets {
		// An approved minion that is missing now may be back when its advice is
		// requested again.
		delete(step.advice.denied, granted.Minion)
		if minion, ok := planner.minions[granted.Minion]; ok {
			step.advice.tickets[granted.Minion] = ticket{granted.Ticket, event.SentAt.Add(event.Validity), minion.report.Incarnation}
		}
	}
	planner.emitDecision(string(event.Sent.Job), "advice-given", "", fmt.Sprintf("step=%d asked=%d approved=%d",
		step.number, len(event.Sent.Minions), len(event.Tickets)), now.Sub(event.SentAt))
}
