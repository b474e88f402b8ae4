package explainer_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/explainer"
	"corianderroad/querier"
	"corianderroad/specifier"
)

// stubInspector answers each query alike and counts them.
type stubInspector struct {
	answer  querier.Answer
	err     error
	queries []querier.Query
}

func (stubInspector *stubInspector) Inspect(_ context.Context, query querier.Query) (querier.Answer, error) {
	stubInspector.queries = append(stubInspector.queries, query)
	return stubInspector.answer, stubInspector.err
}

var epoch = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)

func explanation() querier.Explanation {
	return querier.Explanation{
		Job: "j", Queue: "q", Workspace: "w", State: specifier.Queued, Token: 7, AsOf: epoch, Omitted: 2,
		Steps: []querier.WaitingStep{
			{
				Step: 1, Tasks: 13, Startable: 12, Reason: "no-capacity", Since: epoch.Add(-time.Second), Place: 3, Waiting: 9, Late: true,
				FittingMinions: 20, ExpectedStart: epoch.Add(1500 * time.Millisecond), Basis: querier.RoomFreeAt,
			},
			{Step: 2, Tasks: 1, Reason: "former-runs-unresolved"},
		},
	}
}

// ask sends a request by the pattern that the Explainer is registered with.
func ask(handler http.Handler, path string) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	mux.Handle(explainer.Pattern, handler)
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder
}

// TestExplanationIsWrittenInKebabCase guards against fields that are missing, have other
// names, or show a time that is not known.
func TestExplanationIsWrittenInKebabCase(t *testing.T) {
	c := quicktest.New(t)
	inspector := &stubInspector{answer: querier.Answer{IsHolder: true, Explanations: []querier.Explanation{explanation()}}}
	recorder := ask(explainer.New("n1", inspector, func() time.Time { return epoch }), "/explain/a%2Fb")
	c.Assert(inspector.queries, quicktest.DeepEquals, []querier.Query{{Kind: querier.Explain, Subject: "a/b"}})
	c.Assert(recorder.Code, quicktest.Equals, http.StatusOK)
	c.Assert(recorder.Header().Get("Content-Type"), quicktest.Equals, "application/json")
	c.Assert(recorder.Body.String(), quicktest.Equals, `{"node":"n1","token":7,"as-of":"2026-12-07T00:00:00Z","job":"j","queue":"q","workspace":"w","state":"queued",`+
		`"waiting-steps":[{"occurrence":0,"step":1,"tasks":13,"startable-tasks":12,"reason":"no-capacity","waiting-since":"2026-12-06T23:59:59Z",`+
		`"place":3,"steps-in-order":9,"late":true,"fitting-minions":20,"expected-start":"2026-12-07T00:00:01.5Z","basis":"room-free-at"},`+
		`{"occurrence":0,"step":2,"tasks":1,"startable-tasks":0,"reason":"former-runs-unresolved","place":0,"steps-in-order":0,"late":false,`+
		`"fitting-minions":0,"basis":"unknown"}],"omitted-steps":2}`+"\n")
}

// TestRefusalsAreTold guards against an empty answer that looks like a job without waiting
// steps when the node is not the holder, does not know the job, or does not answer.
func TestRefusalsAreTold(t *testing.T) {
	for name, test := range map[string]struct {
		path      string
		inspector *stubInspector
		status    int
		mayRetry  bool
	}{
		"not-the-holder": {"/explain/j", &stubInspector{}, http.StatusConflict, false},
		"unknown-job":    {"/explain/j", &stubInspector{answer: querier.Answer{IsHolder: true}}, http.StatusNotFound, false},
		"not-answered":   {"/explain/j", &stubInspector{err: classifier.New(classifier.RingFull, "full")}, http.StatusServiceUnavailable, true},
		"bad-request":    {"/explain/" + strings.Repeat("j", 257), &stubInspector{}, http.StatusBadRequest, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			recorder := ask(explainer.New("n1", test.inspector, func() time.Time { return epoch }), test.path)
			c.Assert(recorder.Code, quicktest.Equals, test.status)
			var body map[string]string
			c.Assert(json.Unmarshal(recorder.Body.Bytes(), &body), quicktest.IsNil)
			c.Assert(body["error"], quicktest.Equals, name)
			c.Assert(body["node"], quicktest.Equals, "n1")
			c.Assert(body["reason"], quicktest.Not(quicktest.Equals), "")
			c.Assert(recorder.Header().Get("Retry-After") != "", quicktest.Equals, test.mayRetry)
		})
	}
}

// TestQueriesAreLimited guards against clients that keep the holder from its decisions by
// asking without end, and against a limit that remains after they stop.
func TestQueriesAreLimited(t *testing.T) {
	c := quicktest.New(t)
	now := epoch
	inspector := &stubInspector{answer: querier.Answer{IsHolder: true}}
	explainer := explainer.New("n1", inspector, func() time.Time { return now })
	refused := 0
	for range 1000 {
		if ask(explainer, "/explain/j").Code == http.StatusTooManyRequests {
			refused++
		}
		now = now.Add(time.Millisecond)
	}
	c.Assert(refused, quicktest.Equals, 995)
	c.Assert(inspector.queries, quicktest.HasLen, 5)
	now = now.Add(time.Second)
	c.Assert(ask(explainer, "/explain/j").Code, quicktest.Equals, http.StatusNotFound)
}
