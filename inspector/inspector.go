// Package inspector answers queries from the machines of this node. It is on
// the query side only: it asks and changes nothing.
package inspector

import (
	"context"

	"corianderroad/buffer"
	"corianderroad/querier"
	"corianderroad/runner"
)

// Inspector asks the duties of this node over their query rings. It is safe
// for concurrent use.
type Inspector struct {
	duties []*buffer.Ring[runner.Question]
}

// New returns an Inspector of the given duties.
func New(duties []*buffer.Ring[runner.Question]) *Inspector {
	return &Inspector{duties: duties}
}

// Inspect returns the merged answers of all duties. It returns an error if a
// duty's ring is full (code RingFull) or the context ends first.
func (inspector *Inspector) Inspect(ctx context.Context, query querier.Query) (querier.Answer, error) {
	parts := make(chan querier.Answer, len(inspector.duties))
	for _, duty := range inspector.duties {
		if err := duty.Offer(runner.Question{Query: query, Answer: parts}); err != nil {
			return querier.Answer{}, err
		}
	}
	var answer querier.Answer
	for range inspector.duties {
		select {
		case part := <-parts:
			answer.Merge(part)
		case <-ctx.Done():
			return querier.Answer{}, ctx.Err()
		}
	}
	return answer, nil
}
