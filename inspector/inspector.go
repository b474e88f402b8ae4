// Package inspector answers queries from the state machines of this node. It
// belongs to the query side and changes no state.
package inspector

import (
	"cmp"
	"context"
	"slices"

	"corianderroad/buffer"
	"corianderroad/querier"
	"corianderroad/runner"
)

// Inspector queries the duties of this node through their query rings. It is safe
// for concurrent use.
type Inspector struct {
	duties []*buffer.Ring[runner.QueryRequest]
}

// New returns an Inspector of the duties with the given query rings.
func New(duties []*buffer.Ring[runner.QueryRequest]) *Inspector {
	return &Inspector{duties: duties}
}

// Inspect returns the merged answers of all duties. It returns an error if a
// duty's ring is full (code RingFull) or the context ends first.
func (inspector *Inspector) Inspect(ctx context.Context, query querier.Query) (querier.Answer, error) {
	parts := make(chan querier.Answer, len(inspector.duties))
	for _, duty := range inspector.duties {
		if err := duty.Offer(runner.QueryRequest{Query: query, Answer: parts}); err != nil {
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
	answer.Jobs = newestRows(answer.Jobs)
	return answer, nil
}

// newestRows returns the newest row of each job. The applier reports every job, and
// the scheduler of the job's region reports its present state.
func newestRows(rows []querier.Job) []querier.Job {
	slices.SortFunc(rows, func(a, b querier.Job) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), b.Since.Compare(a.Since), len(b.Workers)-len(a.Workers), cmp.Compare(a.State, b.State))
	})
	return slices.CompactFunc(rows, func(a, b querier.Job) bool { return a.Job == b.Job })
}
