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

type fakeDeployment struct{}

func (fakeDeployment) OtherMembers() map[identifier.Node]netip.AddrPort {
	return map[identifier.Node]netip.AddrPort{"b": {}, "silent": {}}
}

func (fakeDeployment) Inspect(context.Context, querier.Query) (querier.Answer, error) {
	return querier.Answer{Gauges: []querier.Gauge{{Name: "local"}}}, nil
}

func (fakeDeployment) Query(ctx context.Context, node identifier.Node, _ netip.AddrPort, _ querier.Query) (querier.Answer, error) {
	if node == "silent" {
		<-ctx.Done()
		return querier.Answer{}, ctx.Err()
	}
	return querier.Answer{Gauges: []querier.Gauge{{Name: "remote"}}}, nil
}

// TestGatherReportsUnresponsiveNodes guards against a query that waits for a node
// that does not answer, and against a partial answer that looks complete.
func TestGatherReportsUnresponsiveNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		start := time.Now()
		report := gatherer.New("a", fakeDeployment{}, fakeDeployment{}, fakeDeployment{}).Gather(t.Context(), querier.Query{Kind: querier.Status})
		c.Assert(time.Since(start) <= 2*time.Second, quicktest.IsTrue)
		c.Assert(report.Unresponsive, quicktest.DeepEquals, []identifier.Node{"silent"})
		c.Assert(report.Answers, quicktest.HasLen, 2)
		c.Assert(report.Answers[0].Node, quicktest.Equals, identifier.Node("a"))
		c.Assert(report.Answers[1].Answer.Gauges[0].Name, quicktest.Equals, "remote")
	})
}
