package appender_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/appender"
	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/platform/imitator"
)

// TestSecondAnswerIsNotThatOfTheNextAppend guards against a record that counts as appended, or as
// refused, by the second answer to the append before.
func TestSecondAnswerIsNotThatOfTheNextAppend(t *testing.T) {
	c := quicktest.New(t)
	service := newService(func(string) string { return "" })
	var busy atomic.Bool
	address := imitator.Repeater{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body) // its source is in memory
		request.Body = io.NopCloser(bytes.NewReader(body))
		var posted encoder.AppendRequest
		_ = json.Unmarshal(body, &posted) // a read has no body
		batch, _ := encoder.UnmarshalBatch(posted.Payload)
		switch {
		case len(batch.Entries) == 1 && batch.Entries[0].ID == "1" && !busy.Swap(true): // has no effect once
			writer.WriteHeader(http.StatusServiceUnavailable)
		case len(batch.Entries) == 1 && batch.Entries[0].ID == "3": // is refused
			writer.WriteHeader(http.StatusRequestEntityTooLarge)
		default:
			service.ServeHTTP(writer, request)
		}
	}), IsRepeated: imitator.Always}.Listen(c)
	client := &http.Client{Transport: &http.Transport{}}
	sink := run(identifier.Configuration, client, address, appender.NewLimiter(), records(6, time.Minute), func(sink *sink) {
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if sink.count()+len(service.recordCounts()) == 6 {
				return
			}
		}
	})
	counts := service.recordCounts()
	for id := range 6 {
		failures := sink.failed[fmt.Sprint(id)]
		isInLog := counts[fmt.Sprint(id)] > 0
		c.Check(isInLog || len(failures) > 0, quicktest.IsTrue, quicktest.Commentf("record %d is neither in the log nor reported", id))
		isRefused := len(failures) > 0 && failures[0].Execution == classifier.NotRun
		c.Check(isInLog && isRefused, quicktest.IsFalse, quicktest.Commentf("record %d is in the log and reported as not run", id))
	}
	c.Check(sink.failed, quicktest.HasLen, 1)
}

func (sink *sink) count() int {
	sink.mutex.Lock()
	defer sink.mutex.Unlock()
	return len(sink.failed)
}
