// Package explainer serves what a node knows of jobs and of the pool over HTTP, as JSON. It
// belongs to the query side and changes no state.
package explainer

import (
	"net/http"
	"time"

	"corianderroad/identifier"
	"corianderroad/querier"
)

// Pattern is the pattern of the requests that an Explainer answers.
const Pattern = "GET /explain/{job}"

// maxJobBytes limits the length of a job's ID.
const maxJobBytes = 256

// Explainer answers the queries about jobs. It is safe for concurrent use.
type Explainer struct {
	planQuerier
}

// New returns an Explainer of the jobs that the planner of a node knows.
func New(node identifier.Node, inspector Inspector, clock func() time.Time) *Explainer {
	return &Explainer{newPlanQuerier(node, inspector, clock)}
}

// ServeHTTP implements http.Handler.
func (explainer *Explainer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.PathValue("job")
	if id == "" || len(id) > maxJobBytes {
		explainer.refuse(writer, http.StatusBadRequest, "bad-request", "the job's ID must have 1 to 256 bytes")
		return
	}
	answer, ok := explainer.ask(writer, request, querier.Query{Kind: querier.Explain, Subject: id})
	switch {
	case !ok:
	case !answer.IsHolder:
		explainer.refuse(writer, http.StatusConflict, "not-the-holder", "this node does not hold the claim, or has not taken over yet; ask the other nodes")
	case len(answer.Explanations) == 0:
		explainer.refuse(writer, http.StatusNotFound, "unknown-job", "the holder has no such job, or its state has expired")
	default:
		writeJSON(writer, http.StatusOK, render(explainer.node, &answer.Explanations[0]))
	}
}
