package router

import (
	"time"

	"corianderroad/querier"
)

// View implements decider.StateMachine.
func (router *Router) View(_ time.Time, query querier.Query) querier.Answer {
	switch query.Kind {
	case querier.Status:
		return querier.Answer{Minions: router.viewMinions(), Gauges: router.viewGauges()}
	case querier.Explain:
		return querier.Answer{Decisions: router.decisions.Find(query.Subject)}
	default:
		return querier.Answer{}
	}
}

func (router *Router) viewMinions() []querier.Minion {
	var rows []querier.Minion
	for _, minion := range router.sortedMinions() {
		rows = append(rows, querier.Minion{
			Minion: minion.name, Service: minion.endpoint.service,
			Busy: minion.limiter.Busy(), Slots: minion.limiter.Slots(), State: minion.state.String(),
		})
	}
	return rows
}

// viewGauges counts as open the requests that a departing process must finish:
// those of its own callers and the attempts of other entries.
func (router *Router) viewGauges() []querier.Gauge {
	queued, free := router.measureLoad()
	open, running := len(router.calls), 0
	for _, attempt := range router.attempts {
		if router.calls[attempt.id.request] == nil {
			open++
		}
		if attempt.minion != nil {
			running++
		}
	}
	return []querier.Gauge{
		{Name: "open-calls", Value: float64(open)},
		{Name: "queued-calls", Value: float64(queued)},
		{Name: "free-slots", Value: float64(free)},
		// A running attempt occupies one slot and one connection of its minion.
		{Name: "used-slots", Value: float64(running)},
		{Name: "kept-outcomes", Value: float64(len(router.outcomes.byKey))},
		{Name: "learned-run-times", Value: float64(router.runTimes.Len())},
	}
}

// recordDecision stores a decision about an attempt for explain queries.
func (router *Router) recordDecision(now time.Time, attempt *attempt, reason, details string) {
	router.decisions.Record(now, string(attempt.id.request), string(attempt.call.Workspace), reason, details)
}
