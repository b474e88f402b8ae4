package explainer_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/explainer"
	"corianderroad/querier"
)

// askStatus sends a request by the pattern that a Status is registered with.
func askStatus(handler http.Handler) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	mux.Handle(explainer.StatusPattern, handler)
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/status", nil))
	return recorder
}

func pool() querier.Pool {
	return querier.Pool{
		AsOf: epoch, EvacuationsReadAt: epoch.Add(-900 * time.Millisecond),
		Evacuations: []querier.Evacuation{{Domain: "zone-a", ReadAt: epoch.Add(-time.Minute), Minions: 20, Runs: 3}, {Domain: "zone-b", ReadAt: epoch, IsEmpty: true}},
	}
}

// TestStatusOfHolder guards against fields that are missing or have other names, and against a
// domain that seems unknown because nothing is left there.
func TestStatusOfHolder(t *testing.T) {
	c, known := quicktest.New(t), pool()
	known.Token, known.AcceptedJobs, known.GangReservations, known.ReclaimedReservations = 7, 40, 2, 1
	known.Minions = []querier.Tally{{Name: "accepting", Count: 330}, {Name: "evacuated", Count: 20}}
	known.WaitingSteps = []querier.Tally{{Name: "no-capacity", Count: 5}}
	inspector := &stubInspector{answer: querier.Answer{IsHolder: true, Pools: []querier.Pool{known}}}
	recorder := askStatus(explainer.NewStatus("n1", inspector, func() time.Time { return epoch }))
	c.Assert(inspector.queries, quicktest.DeepEquals, []querier.Query{{Kind: querier.PoolStatus}})
	c.Assert(recorder.Code, quicktest.Equals, http.StatusOK)
	c.Assert(recorder.Body.String(), quicktest.Equals, `{"node":"n1","holder":true,"as-of":"2026-12-07T00:00:00Z","evacuations-age-ms":900,`+
		`"evacuated-domains":[{"domain":"zone-a","read-at":"2026-12-06T23:59:00Z","age-ms":60000,"minions":20,"runs":3,"empty":false},`+
		`{"domain":"zone-b","read-at":"2026-12-07T00:00:00Z","age-ms":0,"minions":0,"runs":0,"empty":true}],"token":7,"accepted-jobs":40,`+
		`"waiting-steps":{"no-capacity":5},"minions-by-availability":{"accepting":330,"evacuated":20},"gang-reservations":2,"reclaimed-reservations":1}`+"\n")
}

// TestStatusOfOtherNode guards against counts of zero from a node that does not know them.
func TestStatusOfOtherNode(t *testing.T) {
	c := quicktest.New(t)
	inspector := &stubInspector{answer: querier.Answer{Pools: []querier.Pool{pool()}}}
	recorder := askStatus(explainer.NewStatus("n1", inspector, func() time.Time { return epoch }))
	c.Assert(recorder.Code, quicktest.Equals, http.StatusOK)
	c.Assert(recorder.Body.String(), quicktest.Equals, `{"node":"n1","holder":false,"as-of":"2026-12-07T00:00:00Z","evacuations-age-ms":900,`+
		`"evacuated-domains":[{"domain":"zone-a","read-at":"2026-12-06T23:59:00Z","age-ms":60000},{"domain":"zone-b","read-at":"2026-12-07T00:00:00Z","age-ms":0}]}`+"\n")
	inspector.answer.Pools = []querier.Pool{{AsOf: epoch}}
	recorder = askStatus(explainer.NewStatus("n1", inspector, func() time.Time { return epoch }))
	c.Assert(recorder.Body.String(), quicktest.Equals, `{"node":"n1","holder":false,"as-of":"2026-12-07T00:00:00Z","evacuated-domains":[]}`+"\n")
}

// TestStatusIsRefused guards against an empty answer in place of none, and against clients that
// keep the holder from its decisions by asking without end.
func TestStatusIsRefused(t *testing.T) {
	c, now := quicktest.New(t), epoch
	inspector := &stubInspector{err: classifier.New(classifier.RingFull, "full")}
	status := explainer.NewStatus("n1", inspector, func() time.Time { return now })
	for _, expected := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		recorder := askStatus(status)
		c.Assert(recorder.Code, quicktest.Equals, expected)
		c.Assert(recorder.Header().Get("Retry-After"), quicktest.Equals, "1")
	}
	inspector.err, now = nil, now.Add(time.Second)
	c.Assert(askStatus(status).Code, quicktest.Equals, http.StatusServiceUnavailable)
}
