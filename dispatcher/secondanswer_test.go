package dispatcher_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/dispatcher"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/platform/imitator"
)

// slowAnswer is how long the second attempt takes, so that the next one is sent before its answer.
const slowAnswer = 100 * time.Millisecond

// countingMinion answers calls with their body, and queries for its slots with their number.
type countingMinion struct {
	queries atomic.Int32
}

func (minion *countingMinion) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/slots" {
		_, _ = fmt.Fprintf(writer, `{"slots":8,"busy":%d}`, minion.queries.Add(1))
		return
	}
	body, _ := io.ReadAll(request.Body) // its source is in memory
	if request.Header.Get("Attempt-Id") == "2" {
		time.Sleep(slowAnswer)
	}
	writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
	writer.Header().Set("Attempt-Id", request.Header.Get("Attempt-Id"))
	writer.Header().Set("Body-Digest", dispatcher.Digest(body))
	writer.Header().Set("Slots-Busy", "0")
	_, _ = writer.Write(body)
}

// TestSecondAnswerAffectsOneCall guards against a connection on which a minion has answered twice,
// and all later answers are those of the calls before: the outcome of each call is then unknown.
func TestSecondAnswerAffectsOneCall(t *testing.T) {
	harness := startDispatcher(t, dispatcher.Parameters{Connections: 1})
	address := imitator.Repeater{
		Handler: &countingMinion{}, IsRepeated: func(number int) bool { return number == 2 },
	}.Listen(t)
	for attempt := identifier.Attempt(1); attempt <= 3; attempt++ {
		answer := harness.await(t, harness.newCall(address, attempt, "body"))
		if attempt == 2 {
			quicktest.Check(t, answer.Err.Code, quicktest.Equals, classifier.CorruptAnswer)
			quicktest.Check(t, answer.Busy, quicktest.Equals, -1)
			continue
		}
		quicktest.Assert(t, answer.Err == nil, quicktest.IsTrue, quicktest.Commentf("attempt %d: %v", attempt, answer.Err))
	}
}

// TestSecondAnswerAffectsNoWaitingCall guards against a call that waits for a connection, gets the one on which the
// call before has received a second answer, and fails with an unknown outcome when that call closes it.
func TestSecondAnswerAffectsNoWaitingCall(t *testing.T) {
	harness := startDispatcher(t, dispatcher.Parameters{Connections: 1})
	address := imitator.Repeater{
		Handler: &countingMinion{}, IsRepeated: func(number int) bool { return number == 2 },
	}.Listen(t)
	first := harness.await(t, harness.newCall(address, 1, "body"))
	quicktest.Assert(t, first.Err == nil, quicktest.IsTrue, quicktest.Commentf("%v", first.Err))
	for attempt := identifier.Attempt(2); attempt <= 3; attempt++ {
		quicktest.Assert(t, harness.calls.Offer(harness.newCall(address, attempt, "body")), quicktest.IsNil)
	}
	codes := make(map[classifier.Code]int) // either call may be the one that waits
	for range 2 {
		answer := (<-harness.results).(messenger.MinionAnswered)
		code := classifier.OK
		if answer.Err != nil {
			code = answer.Err.Code
			t.Logf("attempt %d: %v", answer.Attempt, answer.Err)
		}
		codes[code]++
	}
	quicktest.Assert(t, codes, quicktest.DeepEquals, map[classifier.Code]int{classifier.OK: 1, classifier.CorruptAnswer: 1})
}

// TestSecondAnswerOfSlots guards against an answer to a query for slots that is taken for that of the
// next query, and against the answer to a call that is: its body can look like one.
func TestSecondAnswerOfSlots(t *testing.T) {
	harness := startDispatcher(t, dispatcher.Parameters{Connections: 1})
	address := imitator.Repeater{Handler: &countingMinion{}, IsRepeated: imitator.Always}.Listen(t)
	query := func() messenger.SlotsAnswered {
		quicktest.Assert(t, harness.queries.Offer(messenger.QuerySlots{Minion: "m", Address: address}), quicktest.IsNil)
		return (<-harness.results).(messenger.SlotsAnswered)
	}
	for busy := 1; busy <= 3; busy++ {
		answer := query()
		quicktest.Assert(t, answer.Err == nil, quicktest.IsTrue, quicktest.Commentf("query %d: %v", busy, answer.Err))
		quicktest.Assert(t, answer.Busy, quicktest.Equals, busy)
	}
	called := harness.await(t, harness.newCall(address, 1, `{"slots":8,"busy":0}`))
	quicktest.Assert(t, called.Err == nil, quicktest.IsTrue, quicktest.Commentf("%v", called.Err))
	answer := query()
	quicktest.Assert(t, answer.Err != nil && answer.Err.Code == classifier.CorruptAnswer, quicktest.IsTrue, quicktest.Commentf("%+v", answer))
}
