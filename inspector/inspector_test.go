package inspector_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/buffer"
	"corianderroad/identifier"
	"corianderroad/inspector"
	"corianderroad/querier"
	"corianderroad/runner"
)

// TestInspectMergesAllDuties guards against a job that is listed twice or in an
// older state, and against a query that waits longer than its context for a duty
// that does not answer.
func TestInspectMergesAllDuties(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		accepted := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
		rows := []querier.Job{
			{Job: "draw", State: "accepted", Since: accepted},
			{Job: "draw", State: "running", Since: accepted.Add(time.Second), Workers: []identifier.Worker{"w"}},
		}
		for range 2 {
			var rings []*buffer.Ring[runner.QueryRequest]
			for _, row := range rows {
				ring := buffer.New[runner.QueryRequest]("questions", 1)
				rings = append(rings, ring)
				go func() { (<-ring.Entries()).Answer <- querier.Answer{Jobs: []querier.Job{row}} }()
			}
			answer, err := inspector.New(rings).Inspect(t.Context(), querier.Query{Kind: querier.Status})
			c.Assert(err, quicktest.IsNil)
			c.Assert(answer.Jobs, quicktest.HasLen, 1)
			c.Assert(answer.Jobs[0].State, quicktest.Equals, "running")
			rows[0], rows[1] = rows[1], rows[0]
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		unanswered := buffer.New[runner.QueryRequest]("silent", 1)
		_, err := inspector.New([]*buffer.Ring[runner.QueryRequest]{unanswered}).Inspect(ctx, querier.Query{})
		c.Assert(err, quicktest.Equals, context.DeadlineExceeded)
	})
}
