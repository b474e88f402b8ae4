package responder_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/kataras/iris/v12"

	"corianderroad/classifier"
	"corianderroad/gatherer"
	"corianderroad/identifier"
	"corianderroad/querier"
	"corianderroad/responder"
)

// deployment implements the dependencies of a Responder.
type deployment struct{ readiness error }

func (deployment) Gather(_ context.Context, query querier.Query) gatherer.Report {
	return gatherer.Report{
		Answers: []gatherer.NodeAnswer{{Node: "a", Answer: querier.Answer{
			Members: []querier.Member{{Node: "a"}},
			Jobs:    []querier.Job{{Job: "own", Workspace: "county"}, {Job: "other", Workspace: "juniors"}},
			Decisions: []querier.Decision{
				{Subject: "own", Reason: "placed"}, {Subject: "other", Reason: "placed"}, {Subject: query.Subject, Reason: "asked"},
			},
			Shares: []querier.Share{{Workspace: "county"}, {Workspace: "juniors"}},
		}}},
		Unresponsive: []identifier.Node{"b"},
	}
}

func (deployment) Workspace(token string) (identifier.Workspace, error) {
	if token != "county" {
		return "", classifier.New(classifier.Unauthenticated, "unknown token")
	}
	return "county", nil
}

func (deployment) Operator(token string) (identifier.Organisation, error) {
	if token != "operator" {
		return "", classifier.New(classifier.Unauthenticated, "unknown token")
	}
	return "mallet", nil
}

func (deployment deployment) Check() error { return deployment.readiness }

func get(c *quicktest.C, deployment deployment, path, token string) *httptest.ResponseRecorder {
	app := iris.New()
	app.Logger().SetLevel("disable")
	responder.New(responder.Dependencies{
		Gatherer: deployment, Access: deployment, Readiness: deployment, Metrics: http.NotFoundHandler(),
	}).Register(app)
	c.Assert(app.Build(), quicktest.IsNil)
	request := httptest.NewRequest(http.MethodGet, path, nil)
	request.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	app.ServeHTTP(recorder, request)
	return recorder
}

// TestWorkspaceSeesOnlyItsOwn guards against disclosure of one workspace's jobs,
// shares and decisions to another.
func TestWorkspaceSeesOnlyItsOwn(t *testing.T) {
	c := quicktest.New(t)
	for _, path := range []string{"/v1/queries/status", "/v1/queries/shares", "/v1/queries/explain?subject=other"} {
		var report responder.Report
		c.Assert(json.Unmarshal(get(c, deployment{}, path, "county").Body.Bytes(), &report), quicktest.IsNil)
		node := report.Nodes[0]
		c.Assert(node.Members, quicktest.HasLen, 0)
		c.Assert(node.Jobs, quicktest.HasLen, 1)
		c.Assert(node.Jobs[0].Job, quicktest.Equals, identifier.Job("own"))
		c.Assert(node.Decisions, quicktest.HasLen, 1)
		c.Assert(node.Decisions[0].Subject, quicktest.Equals, "own")
		c.Assert(node.Shares, quicktest.HasLen, 1)
		c.Assert(report.Unresponsive, quicktest.DeepEquals, []identifier.Node{"b"})
	}
}

// TestOperatorSeesAll guards against an operator's report that omits rows or the
// nodes that did not answer.
func TestOperatorSeesAll(t *testing.T) {
	c := quicktest.New(t)
	var report responder.Report
	c.Assert(json.Unmarshal(get(c, deployment{}, "/v1/queries/status", "operator").Body.Bytes(), &report), quicktest.IsNil)
	c.Assert(report.Nodes[0].Jobs, quicktest.HasLen, 2)
	c.Assert(report.Nodes[0].Members, quicktest.HasLen, 1)
	c.Assert(report.Unresponsive, quicktest.DeepEquals, []identifier.Node{"b"})
}

// TestRefusals guards against answers to queries that have no valid token or no
// subject, and against a readiness check that makes a load balancer send calls to a
// leaving node.
func TestRefusals(t *testing.T) {
	c := quicktest.New(t)
	leaving := deployment{classifier.New(classifier.Leaving, "stopping")}
	c.Assert(get(c, deployment{}, "/v1/queries/status", "").Code, quicktest.Equals, 401)
	c.Assert(get(c, deployment{}, "/v1/queries/explain", "operator").Code, quicktest.Equals, 400)
	c.Assert(get(c, deployment{}, "/health/ready", "").Code, quicktest.Equals, 200)
	c.Assert(get(c, leaving, "/health/ready", "").Code, quicktest.Equals, 503)
	c.Assert(get(c, leaving, "/health/live", "").Code, quicktest.Equals, 200)
}
