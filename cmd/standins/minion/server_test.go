package minion

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/cmd/standins/executor"
	"corianderroad/cmd/standins/recorder"
)

type fixture struct {
	minion *executor.Executor[*Minion]
	record *executor.Executor[*recorder.Record]
	server *Server
}

func run(t *testing.T, test func(c *quicktest.C, fixture fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		minion := executor.New("minion", NewMinion(8, 1), time.Now)
		record := executor.New("record", recorder.New(), time.Now)
		go func() { _ = minion.Run(ctx) }()
		go func() { _ = record.Run(ctx) }()
		test(quicktest.New(t), fixture{minion, record, New("rota-0", minion, record)})
		cancel()
		synctest.Wait()
	})
}

func (fixture fixture) inject(faults Faults) {
	_ = fixture.minion.Do(context.Background(), func(_ time.Time, minion *Minion) { minion.Inject(faults) })
}

func (fixture fixture) counts() (counts recorder.Counts) {
	_ = fixture.record.Do(context.Background(), func(_ time.Time, record *recorder.Record) { counts = record.Counts() })
	return counts
}

// call returns nil if the connection was aborted without a response.
func (fixture fixture) call(id string) (response *httptest.ResponseRecorder) {
	defer func() {
		if reason := recover(); reason != nil && reason != http.ErrAbortHandler {
			panic(reason)
		}
	}()
	body := `{"run-time":"50ms","call":"` + id + `","once":true}`
	request := httptest.NewRequest("POST", "/call/swap", strings.NewReader(body))
	request.Header.Set("Request-Id", id)
	request.Header.Set("Attempt-Id", "1")
	request.Header.Set("Workspace", "county")
	recorded := httptest.NewRecorder()
	fixture.server.ServeHTTP(recorded, request)
	return recorded
}

// TestMinionRefusesCallsBeyondSlots guards against a stand-in that runs more calls
// than it has slots: an entry node that oversubscribes would then not be detected.
func TestMinionRefusesCallsBeyondSlots(t *testing.T) {
	run(t, func(c *quicktest.C, fixture fixture) {
		start := time.Now()
		answers := make(chan *httptest.ResponseRecorder, 8)
		for index := range 8 {
			go func() { answers <- fixture.call(string(rune('a' + index))) }()
		}
		synctest.Wait()
		ninth := fixture.call("i")
		c.Check(ninth.Code, quicktest.Equals, http.StatusServiceUnavailable)
		c.Check(ninth.Header().Get("Not-Run"), quicktest.Equals, "true")
		c.Check(ninth.Header().Get("Slots-Busy"), quicktest.Equals, "8")
		for range 8 {
			answer := <-answers
			c.Check(answer.Code, quicktest.Equals, http.StatusOK)
			c.Check(answer.Header().Get("Body-Digest"), quicktest.Equals, Digest(answer.Body.Bytes()))
		}
		c.Check(time.Since(start), quicktest.Equals, 50*time.Millisecond)
		c.Check(fixture.counts().Executions, quicktest.Equals, uint64(8))
	})
}

// TestDamagedAnswersAreDetectable guards against damaged answers that a node
// cannot detect, and against a second execution that is not counted.
func TestDamagedAnswersAreDetectable(t *testing.T) {
	run(t, func(c *quicktest.C, fixture fixture) {
		fixture.inject(Faults{Truncated: 1})
		truncated := fixture.call("a")
		c.Check(truncated.Header().Get("Body-Digest"), quicktest.Not(quicktest.Equals), Digest(truncated.Body.Bytes()))
		fixture.inject(Faults{Crossed: 1})
		c.Check(fixture.call("b").Header().Get("Request-Id"), quicktest.Equals, "a")
		fixture.inject(Faults{LostAnswers: 1})
		c.Check(fixture.call("c"), quicktest.IsNil)
		fixture.inject(Faults{Mode: Leaving})
		c.Check(fixture.call("d").Header().Get("Leaving"), quicktest.Equals, "true")
		c.Check(fixture.counts().CallsRunTwice, quicktest.Equals, uint64(0))
		fixture.inject(Faults{})
		fixture.call("c")
		c.Check(fixture.counts(), quicktest.Equals, recorder.Counts{Executions: 4, CallsRunTwice: 1, RequestsRunAgain: 1})
	})
}
