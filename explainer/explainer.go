// Package explainer serves what the holder knows of a job over HTTP, as JSON. It belongs to
// the query side and changes no state.
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

// Pattern is the pattern of the requests that an Explainer answers.
const Pattern = "GET /explain/{job}"

// Limits of the queries.
const (
	// minInterval is the minimum time between two queries. One query looks at all waiting
	// steps and all runs of a service, and the holder decides nothing meanwhile.
	minInterval = 200 * time.Millisecond
	// answerTimeout limits the wait for the planner's answer.
	answerTimeout = 2 * time.Second
	// retryDelay is the delay after which a refused client may ask again.
	retryDelay = time.Second
	// maxJobBytes limits the length of a job's ID.
	maxJobBytes = 256
)

// Inspector queries the planner of this node.
type Inspector interface {
	Inspect(ctx context.Context, query querier.Query) (querier.Answer, error)
}

// Explainer answers the queries about jobs. It is safe for concurrent use.
type Explainer struct {
	node      identifier.Node
	inspector Inspector
	clock     func() time.Time

	// slot is empty while a query is pending. Otherwise it holds when the last one was admitted.
	slot chan time.Time
}

// New returns an Explainer of the jobs that the planner of a node knows.
func New(node identifier.Node, inspector Inspector, clock func() time.Time) *Explainer {
	explainer := &Explainer{node: node, inspector: inspector, clock: clock, slot: make(chan time.Time, 1)}
	explainer.slot <- time.Time{}
	return explainer
}

// ServeHTTP implements http.Handler.
func (explainer *Explainer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.PathValue("job")
	if id == "" || len(id) > maxJobBytes {
		explainer.refuse(writer, http.StatusBadRequest, "bad-request", "the job's ID must have 1 to 256 bytes")
		return
	}
	admittedAt, admitted := explainer.admit()
	if !admitted {
		explainer.refuse(writer, http.StatusTooManyRequests, "too-many-queries", "another query is pending or was answered just now")
		return
	}
	defer func() { explainer.slot <- admittedAt }()
	ctx, cancel := context.WithTimeout(request.Context(), answerTimeout)
	defer cancel()
	answer, err := explainer.inspector.Inspect(ctx, querier.Query{Kind: querier.Explain, Subject: id})
	switch {
	case err != nil:
		explainer.refuse(writer, http.StatusServiceUnavailable, "not-answered", err.Error())
	case !answer.IsHolder:
		explainer.refuse(writer, http.StatusConflict, "not-the-holder", "this node does not hold the claim, or has not taken over yet; ask the other nodes")
	case len(answer.Explanations) == 0:
		explainer.refuse(writer, http.StatusNotFound, "unknown-job", "the holder has no such job, or its state has expired")
	default:
		writeJSON(writer, http.StatusOK, render(explainer.node, &answer.Explanations[0]))
	}
}

// admit reports whether a query may be passed to the planner, and takes the slot if so. It also
// returns the time at which the query was admitted.
func (explainer *Explainer) admit() (time.Time, bool) {
	var lastAt time.Time
	select {
	case lastAt = <-explainer.slot:
	default:
		return time.Time{}, false
	}
	now := explainer.clock()
	if now.Sub(lastAt) < minInterval {
		explainer.slot <- lastAt
		return time.Time{}, false
	}
	return now, true
}

// refuse answers without an explanation. Clients may repeat refusals that depend on the
// state of the node.
func (explainer *Explainer) refuse(writer http.ResponseWriter, status int, name, reason string) {
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		writer.Header().Set("Retry-After", strconv.Itoa(int(retryDelay/time.Second)))
	}
	writeJSON(writer, status, refusal{Node: explainer.node, Error: name, Reason: reason})
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body) // the client may have gone
}
