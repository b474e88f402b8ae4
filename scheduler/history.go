package scheduler

import (
	"time"

	"corianderroad/querier"
)

// historyLength bounds the decisions that are kept for explain.
const historyLength = 2048

// history is a bounded list of decisions, the oldest of which are overwritten.
type history struct {
	decisions []querier.Decision
	oldest    int
}

func (history *history) add(decision querier.Decision) {
	if len(history.decisions) < historyLength {
		history.decisions = append(history.decisions, decision)
		return
	}
	history.decisions[history.oldest] = decision
	history.oldest = (history.oldest + 1) % historyLength
}

// about returns the decisions about a subject, the oldest first.
func (history *history) about(subject string) []querier.Decision {
	var decisions []querier.Decision
	for i := range history.decisions {
		decision := history.decisions[(history.oldest+i)%len(history.decisions)]
		if decision.Subject == subject {
			decisions = append(decisions, decision)
		}
	}
	return decisions
}

func (scheduler *Scheduler) decide(now time.Time, subject, reason, detail string) {
	scheduler.history.add(querier.Decision{
		At: now, Node: scheduler.identity.Node, Subject: subject, Reason: reason, Detail: detail,
	})
}
