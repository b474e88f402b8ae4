package explainer

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"corianderroad/identifier"
	"corianderroad/querier"
)

// Limits of the queries of one kind.
const (
	// minInterval is the minimum time between two queries. One query looks at all waiting
	// steps and all runs of a service, and the holder decides nothing meanwhile.
	minInterval = 200 * time.Millisecond
	// answerTimeout limits the wait for the planner's answer.
	answerTimeout = 2 * time.Second
	// retryDelay is the delay after which a refused client may ask again.
	retryDelay = time.Second
)

// Inspector queries the planner of this node.
type Inspector interface {
	Inspect(ctx context.Context, query querier.Query) (querier.Answer, error)
}

// planQuerier passes the queries of one kind to the planner, one at a time.
type planQuerier struct {
	node      identifier.Node
	inspector Inspector
	clock     func() time.Time

	// slot is empty while a query is pending. Otherwise it holds when the last one was admitted.
	slot chan time.Time
}

func newPlanQuerier(node identifier.Node, inspector Inspector, clock func() time.Time) planQuerier {
	planQuerier := planQuerier{node: node, inspector: inspector, clock: clock, slot: make(chan time.Time, 1)}
	planQuerier.slot <- time.Time{}
	return planQuerier
}

// ask returns the planner's answer to a query. Without one it refuses the request and returns
// false.
func (planQuerier planQuerier) ask(writer http.ResponseWriter, request *http.Request, query querier.Query) (querier.Answer, bool) {
	admittedAt, admitted := planQuerier.admit()
	if !admitted {
		planQuerier.refuse(writer, http.StatusTooManyRequests, "too-many-queries", "another query is pending or was answered just now")
		return querier.Answer{}, false
	}
	defer func() { planQuerier.slot <- admittedAt }()
	ctx, cancel := context.WithTimeout(request.Context(), answerTimeout)
	defer cancel()
	answer, err := planQuerier.inspector.Inspect(ctx, query)
	if err != nil {
		planQuerier.refuse(writer, http.StatusServiceUnavailable, "not-answered", err.Error())
		return querier.Answer{}, false
	}
	return answer, true
}

// admit reports whether a query may be passed to the planner, and takes the slot if so. It also
// returns the time at which the query was admitted.
func (planQuerier planQuerier) admit() (time.Time, bool) {
	var lastAt time.Time
	select {
	case lastAt = <-planQuerier.slot:
	default:
		return time.Time{}, false
	}
	now := planQuerier.clock()
	if now.Sub(lastAt) < minInterval {
		planQuerier.slot <- lastAt
		return time.Time{}, false
	}
	return now, true
}

// refuse answers without a result. Clients may repeat refusals that depend on the state of the
// node.
func (planQuerier planQuerier) refuse(writer http.ResponseWriter, status int, name, reason string) {
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		writer.Header().Set("Retry-After", strconv.Itoa(int(retryDelay/time.Second)))
	}
	writeJSON(writer, status, refusal{Node: planQuerier.node, Error: name, Reason: reason})
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body) // the client may have gone
}
