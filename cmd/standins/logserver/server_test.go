package logserver

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
)

type fixture struct {
	log    *executor.Executor[*Log]
	server *Server
}

func run(t *testing.T, test func(c *quicktest.C, fixture fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		log := executor.New("log", NewLog(Limits{AppendsPerSecond: 400, Retention: time.Hour, RetainedAppends: 100}, 1), time.Now)
		go func() { _ = log.Run(ctx) }()
		test(quicktest.New(t), fixture{log, New(log)})
		cancel()
		synctest.Wait()
	})
}

// call returns status 0 if the connection was aborted without a response.
func (fixture fixture) call(method, target, body string) (response *httptest.ResponseRecorder) {
	response = httptest.NewRecorder()
	response.Code = 0
	defer func() {
		if reason := recover(); reason != nil && reason != http.ErrAbortHandler {
			panic(reason)
		}
	}()
	recorded := httptest.NewRecorder()
	fixture.server.ServeHTTP(recorded, httptest.NewRequest(method, target, strings.NewReader(body)))
	return recorded
}

const appends = "/streams/jobs/appends"

// TestLongPollEndsWithAppend guards against a poll that spins, misses an append
// or continues to wait after one.
func TestLongPollEndsWithAppend(t *testing.T) {
	run(t, func(c *quicktest.C, fixture fixture) {
		start := time.Now()
		empty := fixture.call("GET", appends+"?from=1&wait=5s", "")
		c.Check(empty.Body.String(), quicktest.Equals, `{"first-retained":1,"next":1,"appends":[]}`+"\n")
		c.Check(time.Since(start), quicktest.Equals, 5*time.Second)

		polled := make(chan string, 1)
		go func() { polled <- fixture.call("GET", appends+"?from=1&wait=5s", "").Body.String() }()
		synctest.Wait()
		added := fixture.call("POST", appends, `{"id":"a","payload":"aGk="}`)
		c.Check(added.Body.String(), quicktest.Equals, `{"offset":1}`+"\n")
		c.Check(<-polled, quicktest.Contains, `"id":"a","payload":"aGk="`)
		c.Check(time.Since(start), quicktest.Equals, 5*time.Second)
	})
}

// TestLostAnswerTakesEffect guards against a fault that loses the append together
// with its response. Clients must resolve an append whose response alone was lost,
// and that case would then never be tested.
func TestLostAnswerTakesEffect(t *testing.T) {
	run(t, func(c *quicktest.C, fixture fixture) {
		inject := func(faults Faults) {
			err := fixture.log.Do(context.Background(), func(_ time.Time, log *Log) { log.Inject(faults) })
			c.Assert(err, quicktest.IsNil)
		}
		inject(Faults{LostAnswers: 1})
		c.Check(fixture.call("POST", appends, `{"id":"a","payload":""}`).Code, quicktest.Equals, 0)
		inject(Faults{Mode: Down})
		c.Check(fixture.call("GET", appends+"?from=1", "").Code, quicktest.Equals, 0)
		inject(Faults{})
		c.Check(fixture.call("GET", appends+"?from=1", "").Body.String(), quicktest.Contains, `"offset":1,"id":"a"`)
	})
}

// TestRefusals guards against a log that serves malformed requests.
func TestRefusals(t *testing.T) {
	run(t, func(c *quicktest.C, fixture fixture) {
		c.Check(fixture.call("GET", appends+"?from=0", "").Code, quicktest.Equals, 400)
		c.Check(fixture.call("GET", appends+"?from=1&wait=1h", "").Code, quicktest.Equals, 400)
		c.Check(fixture.call("GET", "/streams/other/appends?from=1", "").Code, quicktest.Equals, 404)
		c.Check(fixture.call("POST", appends, `{"id":""}`).Code, quicktest.Equals, 400)
		c.Check(fixture.call("POST", appends, `{"name":"a"}`).Code, quicktest.Equals, 400)
		for range 101 {
			fixture.call("POST", appends, `{"id":"a"}`)
			time.Sleep(time.Second) // Virtual time, so that the rate suffices.
		}
		gone := fixture.call("GET", appends+"?from=1", "")
		c.Check(gone.Code, quicktest.Equals, 410)
		c.Check(gone.Body.String(), quicktest.Contains, `"first-retained":2,"next":102`)
	})
}
