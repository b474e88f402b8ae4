package requester_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/platform/imitator"
	"corianderroad/requester"
)

// TestOnlyUnreachableNodesAreSkipped guards against a request that is sent to a
// second node although the first may have run it, and against a refusal that
// doesn't report to the caller whether the request may have run.
func TestOnlyUnreachableNodesAreSkipped(t *testing.T) {
	c := quicktest.New(t)
	var sent atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		sent.Add(1)
		switch request.URL.Path {
		case "/whole":
			_, _ = writer.Write([]byte("whole"))
		case "/refused":
			writer.WriteHeader(http.StatusServiceUnavailable)
			_, _ = writer.Write([]byte(`{"code":301,"name":"queue-full","message":"m","ran":"unknown","retry-after":"1.5s"}`))
		default:
			panic(http.ErrAbortHandler) // the connection ends without an answer
		}
	}))
	defer server.Close()
	closed := httptest.NewServer(nil)
	unreachable := address(c, closed.URL)
	closed.Close()
	nodes := requester.New([]netip.AddrPort{unreachable, address(c, server.URL), address(c, server.URL)}, "token", 5*time.Second)
	post := func(path, body string) ([]byte, error) {
		return nodes.Do(t.Context(), requester.Request{
			Method: http.MethodPost, Path: path, Body: []byte(body),
			Header: http.Header{"Idempotency-Key": {"k"}},
		})
	}
	body, err := post("/whole", "x")
	c.Assert(err, quicktest.IsNil)
	c.Assert(string(body), quicktest.Equals, "whole")
	_, err = post("/refused", "x")
	c.Assert(classifier.CodeOf(err), quicktest.Equals, classifier.QueueFull)
	c.Assert(classifier.ExecutionOf(err), quicktest.Equals, classifier.Unknown)
	c.Assert(err.(*classifier.Error).RetryAfter, quicktest.Equals, 1500*time.Millisecond)
	for _, body := range []string{"x", ""} {
		// If the first answer left an idle connection, net/http would use it again, and
		// repeat the request when that connection ends.
		_, err = post("/whole", body)
		c.Assert(err, quicktest.IsNil)
		sent.Store(0)
		_, err = post("/broken", body)
		c.Assert(classifier.CodeOf(err), quicktest.Equals, classifier.OutcomeUnknown)
		c.Assert(sent.Load(), quicktest.Equals, int32(1))
	}
}

// TestSecondAnswerIsNotThatOfTheNextRequest guards against a command that is reported as accepted by the
// second answer to the one before.
func TestSecondAnswerIsNotThatOfTheNextRequest(t *testing.T) {
	c := quicktest.New(t)
	node := imitator.Repeater{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, request.URL.Path)
	}), IsRepeated: imitator.Always}.Listen(c)
	requests := requester.New([]netip.AddrPort{node}, "token", 5*time.Second)
	for _, path := range []string{"/one", "/two", "/three"} {
		body, err := requests.Do(t.Context(), requester.Request{Method: http.MethodPost, Path: path})
		c.Assert(err, quicktest.IsNil)
		c.Assert(string(body), quicktest.Equals, path)
	}
}

func address(c *quicktest.C, url string) netip.AddrPort {
	parsed, err := netip.ParseAddrPort(strings.TrimPrefix(url, "http://"))
	c.Assert(err, quicktest.IsNil)
	return parsed
}
