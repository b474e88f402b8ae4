package lister

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/platform/imitator"
)

// recordingSink records the delivered lists.
type recordingSink struct{ events []messenger.VMsListed }

func (recordingSink *recordingSink) Deliver(_ context.Context, event messenger.Event) error {
	recordingSink.events = append(recordingSink.events, event.(messenger.VMsListed))
	return nil
}

const oneVM = `{"vms":[{"name":"w","role":"worker","address":"10.0.0.1:80","state":"leaving"},{"name":"x","role":"oracle","address":"10.0.0.2:80"}]}`

// TestUnchangedListIsNotFetchedAgain guards against a node that uses its control
// traffic for copies of a list that it has already received, and against receivers
// that treat a current list as outdated.
func TestUnchangedListIsNotFetchedAgain(t *testing.T) {
	c := quicktest.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("ETag", `"one"`)
		if request.Header.Get("If-None-Match") == `"one"` {
			writer.WriteHeader(http.StatusNotModified)
			return
		}
		_, _ = writer.Write([]byte(oneVM))
	}))
	defer server.Close()
	var sink recordingSink
	lister := New(server.Client(), server.URL, &sink, nil)
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	for poll, want := range []struct {
		after     time.Duration
		unchanged bool
		delivered int
	}{{0, false, 1}, {time.Second, true, 1}, {redeliveryInterval, true, 2}} {
		answer, err := lister.poll(context.Background())
		c.Assert(err, quicktest.IsNil)
		c.Assert(answer.unchanged, quicktest.Equals, want.unchanged, quicktest.Commentf("poll %d", poll))
		c.Assert(lister.handleAnswer(context.Background(), now.Add(want.after), answer), quicktest.IsNil)
		c.Assert(sink.events, quicktest.HasLen, want.delivered)
		c.Assert(lister.pollDelay(answer), quicktest.Equals, pollInterval)
	}
	c.Assert(sink.events[1].VMs, quicktest.HasLen, 1)
	c.Assert(sink.events[1].VMs[0].Leaving, quicktest.IsTrue)
}

// TestSecondAnswerIsNotThatOfTheNextPoll guards against an outdated list that is taken for the answer
// to a later poll, and with its entity tag holds until the next change.
func TestSecondAnswerIsNotThatOfTheNextPoll(t *testing.T) {
	c := quicktest.New(t)
	var polls atomic.Int32
	address := imitator.Repeater{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(writer, `{"vms":[{"name":"w-%d","role":"worker","address":"10.0.0.1:80"}]}`, polls.Add(1))
	}), IsRepeated: imitator.Always}.Listen(c)
	lister := New(&http.Client{}, "http://"+address.String(), nil, nil)
	for _, name := range []string{"w-1", "w-2", "w-3"} {
		answer, err := lister.poll(t.Context())
		c.Assert(err, quicktest.IsNil)
		c.Assert(answer.vms, quicktest.HasLen, 1)
		c.Assert(answer.vms[0].Name, quicktest.Equals, name)
	}
}

// TestPollsWithoutTagAreWithinTrafficLimit guards against polls of a long list that
// use more than their part of the control traffic.
func TestPollsWithoutTagAreWithinTrafficLimit(t *testing.T) {
	c := quicktest.New(t)
	for _, want := range []struct {
		bytes int64
		delay time.Duration
	}{{100, pollInterval}, {4 * maxBytesPerSecond, 4 * time.Second}, {maxListBytes, maxPollInterval}} {
		c.Assert((&Lister{}).pollDelay(answer{bytes: want.bytes}), quicktest.Equals, want.delay)
	}
}
