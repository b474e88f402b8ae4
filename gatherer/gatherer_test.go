package gatherer_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/gatherer"
	"corianderroad/identifier"
	"corianderroad/querier"
)

type deployment struct{}

func (deployment) Others() map[identifier.Node]netip.AddrPort {
	return map[identifier.Node]netip.AddrPort{"b": {}, "silent": {}}
}

func (deployment) Inspect(context.Context, querier.Query) (querier.Answer, error) {
	return querier.Answer{Gauges: []querier.Gauge{{Name: "local"}}}, nil
}

func (deployment) Ask(ctx context.Context, node identifier.Node, _ netip.AddrPort, _ querier.Query) (querier.Answer, error) {
	if node == "silent" {
		<-ctx.Done()
		return querier.Answer{}, ctx.Err()
	}
	return querier.Answer{Gauges: []querier.Gauge{{Name: "remote"}}}, nil
}

// TestGatherNamesSilentNodes guards against an operator who waits for a node
// that does not answer, or takes a partial answer for a whole one.
func TestGatherNamesSilentNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		start := time.Now()
		report := gatherer.New("a", deployment{}, deployment{}, deployment{}).Gather(t.Context(), querier.Query{Kind: querier.Status})
		c.Assert(time.Since(start) <= 2*time.Second, quicktest.IsTrue)
		c.Assert(report.Silent, quicktest.DeepEquals, []identifier.Node{"silent"})
		c.Assert(report.Parts, quicktest.HasLen, 2)
		c.Assert(report.Parts[0].Node, quicktest.Equals, identifier.Node("a"))
		c.Assert(report.Parts[1].Answer.Gauges[0].Name, quicktest.Equals, "remote")
	})
}
