package planner

import (
	"fmt"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// Advice.
const (
	// adviceLimit bounds the minions of one question, because each takes time.
	adviceLimit = 24
	// adviceSlack is added to the time that the service says it takes.
	adviceSlack = 900 * time.Millisecond
	// adviceRetry is the time before a question that failed is repeated.
	adviceRetry = 200 * time.Millisecond
	// ticketMargin is kept before a ticket expires for the way of the order.
	ticketMargin = 300 * time.Millisecond
)

// advice is what is known about who may run a step.
type advice struct {
	tickets map[identifier.Minion]ticket
	denied  map[identifier.Minion]bool
}

type ticket struct {
	value       string
	until       time.Time
	incarnation identifier.Incarnation
}

// advising is the one question that is under way. The service handles the
// questions of one node in turn.
type advising struct {
	step     *step
	notUntil time.Time
}

// prepareAdvice drops tickets that are about to expire. Minions that may run a
// step keep that right, so that only their ticket is asked for again.
func (planner *Planner) prepareAdvice(now time.Time, waiting *waiting) {
	if waiting.queue.Advice == nil {
		return
	}
	step := waiting.step
	if step.advice == nil {
		step.advice = &advice{tickets: make(map[identifier.Minion]ticket), denied: make(map[identifier.Minion]bool)}
	}
	for name, held := range step.advice.tickets {
		minion, ok := planner.minions[name]
		if !ok || minion.report.Incarnation != held.incarnation || now.Add(ticketMargin).After(held.until) {
			delete(step.advice.tickets, name)
		}
	}
}

// allowed reports whether a minion is not known to be denied.
func (step *step) allowed(minion *minion) bool {
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

// ticketed reports whether all chosen minions may run the step. If not, it asks
// about them and about others with room.
func (planner *Planner) ticketed(now time.Time, waiting *waiting, chosen, fleet []*minion) bool {
	if waiting.queue.Advice == nil {
		return true
	}
	step := waiting.step
	names := make([]identifier.Minion, 0, adviceLimit)
	asked := make(map[identifier.Minion]bool)
	add := func(minion *minion) {
		name := minion.report.Minion
		if len(names) < adviceLimit && !asked[name] && step.ticket(minion) == "" && step.suits(minion) {
			asked[name] = true
			names = append(names, name)
		}
	}
	for _, minion := range chosen {
		add(minion)
	}
	if len(names) == 0 {
		return true
	}
	for _, minion := range fleet {
		if len(names) < 2*len(chosen) && planner.room(step, minion) > 0 {
			add(minion)
		}
	}
	planner.ask(now, waiting, names)
	return false
}

func (planner *Planner) ask(now time.Time, waiting *waiting, names []identifier.Minion) {
	if planner.advising.step != nil || now.Before(planner.advising.notUntil) {
		return
	}
	step := waiting.step
	planner.advising.step = step
	planner.decide(string(step.occurrence.job.spec.ID), "ask-advice", "the queue has a policy",
		fmt.Sprintf("step=%d minions=%d", step.number, len(names)), now.Sub(step.waitingSince))
	planner.emit(messenger.RequestAdvice{
		Job: step.occurrence.job.spec.ID, Occurrence: step.occurrence.number, Step: step.number, Minions: names,
		Timeout: waiting.queue.Advice.DecisionTime + time.Duration(len(names))*waiting.queue.Advice.TimePerMinion + adviceSlack,
	})
}

func (planner *Planner) advised(now time.Time, event messenger.AdviceReceived) {
	step := planner.advising.step
	if step == nil || step.occurrence.job.spec.ID != event.Sent.Job || step.number != event.Sent.Step ||
		step.occurrence.number != event.Sent.Occurrence {
		return
	}
	planner.advising.step = nil
	planner.changed = true
	if event.Err != nil {
		planner.advising.notUntil = now.Add(adviceRetry)
		planner.emit(messenger.Count{Counter: messenger.Retries, Reason: "advice-" + event.Err.Code.Name()})
		return
	}
	if step.advice == nil {
		return
	}
	for _, name := range event.Sent.Minions {
		step.advice.denied[name] = true
	}
	for _, given := range event.Tickets {
		minion, ok := planner.minions[given.Minion]
		if !ok {
			continue
		}
		delete(step.advice.denied, given.Minion)
		step.advice.tickets[given.Minion] = ticket{given.Ticket, event.SentAt.Add(event.Validity), minion.report.Incarnation}
	}
	planner.decide(string(event.Sent.Job), "advice-given", "", fmt.Sprintf("step=%d asked=%d approved=%d",
		step.number, len(event.Sent.Minions), len(event.Tickets)), now.Sub(event.SentAt))
}
