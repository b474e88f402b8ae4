package explainer

import (
	"net/http"
	"time"

	"corianderroad/identifier"
	"corianderroad/querier"
)

// StatusPattern is the pattern of the requests that a Status answers.
const StatusPattern = "GET /status"

// Status answers the queries about the pool as a whole. It is safe for concurrent use.
type Status struct {
	planQuerier
}

// NewStatus returns a Status of the pool that the planner of a node knows.
func NewStatus(node identifier.Node, inspector Inspector, clock func() time.Time) *Status {
	return &Status{newPlanQuerier(node, inspector, clock)}
}

// ServeHTTP implements http.Handler.
func (status *Status) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	answer, ok := status.ask(writer, request, querier.Query{Kind: querier.PoolStatus})
	switch {
	case !ok:
	case len(answer.Pools) == 0:
		status.refuse(writer, http.StatusServiceUnavailable, "not-answered", "the planner has no answer")
	default:
		writeJSON(writer, http.StatusOK, renderPool(status.node, answer.IsHolder, &answer.Pools[0]))
	}
}

// poolStatus is the body of an answer. Nodes that are not the holder know only the evacuations.
type poolStatus struct {
	Node     identifier.Node `json:"node"`
	IsHolder bool            `json:"holder"`
	AsOf     time.Time       `json:"as-of"`
	// EvacuationsAgeMs is the age of the newest reading of the operator's requests.
	EvacuationsAgeMs *int64      `json:"evacuations-age-ms,omitempty"`
	Evacuations      []evacuated `json:"evacuated-domains"`
	*holderStatus
}

// holderStatus is the part of an answer that only the holder knows.
type holderStatus struct {
	Token                 identifier.Term `json:"token"`
	AcceptedJobs          int             `json:"accepted-jobs"`
	WaitingSteps          map[string]int  `json:"waiting-steps"`
	Minions               map[string]int  `json:"minions-by-availability"`
	GangReservations      int             `json:"gang-reservations"`
	ReclaimedReservations int             `json:"reclaimed-reservations"`
}

// evacuated is an evacuated failure domain in the body of an answer.
type evacuated struct {
	Domain identifier.FailureDomain `json:"domain"`
	ReadAt time.Time                `json:"read-at"`
	AgeMs  int64                    `json:"age-ms"`
	*evacuatedCounts
}

// evacuatedCounts is the part about a failure domain that only the holder knows.
type evacuatedCounts struct {
	Minions int  `json:"minions"`
	Runs    int  `json:"runs"`
	IsEmpty bool `json:"empty"`
}

func renderPool(node identifier.Node, isHolder bool, pool *querier.Pool) poolStatus {
	body := poolStatus{Node: node, IsHolder: isHolder, AsOf: pool.AsOf.UTC(), Evacuations: make([]evacuated, 0, len(pool.Evacuations))}
	if !pool.EvacuationsReadAt.IsZero() {
		age := pool.AsOf.Sub(pool.EvacuationsReadAt).Milliseconds()
		body.EvacuationsAgeMs = &age
	}
	for _, row := range pool.Evacuations {
		domain := evacuated{Domain: row.Domain, ReadAt: row.ReadAt.UTC(), AgeMs: pool.AsOf.Sub(row.ReadAt).Milliseconds()}
		if isHolder {
			domain.evacuatedCounts = &evacuatedCounts{row.Minions, row.Runs, row.IsEmpty}
		}
		body.Evacuations = append(body.Evacuations, domain)
	}
	if isHolder {
		body.holderStatus = &holderStatus{
			Token: pool.Token, AcceptedJobs: pool.AcceptedJobs, WaitingSteps: countsByName(pool.WaitingSteps), Minions: countsByName(pool.Minions),
			GangReservations: pool.GangReservations, ReclaimedReservations: pool.ReclaimedReservations,
		}
	}
	return body
}

// countsByName returns the tallies as an object, which JSON writes in the order of the names.
func countsByName(tallies []querier.Tally) map[string]int {
	counts := make(map[string]int, len(tallies))
	for _, tally := range tallies {
		counts[tally.Name] = tally.Count
	}
	return counts
}
