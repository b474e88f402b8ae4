package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/dispatcher"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

type sink chan messenger.Event

// Deliver implements dispatcher.EventSink.
func (sink sink) Deliver(ctx context.Context, event messenger.Event) error {
	select {
	case sink <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// harness is a running Dispatcher with its rings and results.
type harness struct {
	calls   *buffer.Ring[messenger.CallMinion]
	queries *buffer.Ring[messenger.QuerySlots]
	results sink
}

func startDispatcher(t *testing.T, parameters dispatcher.Parameters) harness {
	return startDispatcherWith(t, parameters, func(*dispatcher.Dispatcher) {})
}

// startDispatcherWith does the same as startDispatcher after a change of the Dispatcher.
func startDispatcherWith(t *testing.T, parameters dispatcher.Parameters, change func(*dispatcher.Dispatcher)) harness {
	harness := harness{
		calls:   buffer.New[messenger.CallMinion]("calls", 64),
		queries: buffer.New[messenger.QuerySlots]("asks", 64), results: make(sink, 64),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	started := dispatcher.New(harness.calls, harness.queries, harness.results, parameters)
	change(started)
	go func() { done <- started.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return harness
}

func (harness harness) newCall(address netip.AddrPort, attempt identifier.Attempt, body string) messenger.CallMinion {
	call := messenger.CallMinion{
		Minion: "m", Address: address, Request: "q", Attempt: attempt, Timeout: 10 * time.Second,
		Call: commander.Call{Workspace: "w", Method: "swap", Key: "k", Deadline: time.Now().Add(time.Minute), Body: []byte(body)},
	}
	return call
}

func (harness harness) await(t *testing.T, call messenger.CallMinion) messenger.MinionAnswered {
	quicktest.Assert(t, harness.calls.Offer(call), quicktest.IsNil)
	return (<-harness.results).(messenger.MinionAnswered)
}

// startMinion starts a server that answers calls with the request's body and the
// headers of the protocol. Change may alter the answer before it is sent.
func startMinion(t *testing.T, change func(http.ResponseWriter, *http.Request, []byte) bool) netip.AddrPort {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
		writer.Header().Set("Attempt-Id", request.Header.Get("Attempt-Id"))
		writer.Header().Set("Body-Digest", dispatcher.Digest(body))
		writer.Header().Set("Slots-Busy", "3")
		if change == nil || change(writer, request, body) {
			_, _ = writer.Write(body)
		}
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// change alters an answer and reports whether the body must be written.
type change = func(http.ResponseWriter, *http.Request, []byte) bool

// withHeader sets a header and the status of an answer.
func withHeader(name, value string, status int) change {
	return func(writer http.ResponseWriter, _ *http.Request, _ []byte) bool {
		writer.Header().Set(name, value)
		writer.WriteHeader(status)
		return true
	}
}

// rawAnswer sends raw bytes in place of the answer and closes the connection.
func rawAnswer(answer string) change {
	return func(writer http.ResponseWriter, _ *http.Request, _ []byte) bool {
		connection, _, _ := writer.(http.Hijacker).Hijack()
		_, _ = io.WriteString(connection, answer)
		_ = connection.Close()
		return false
	}
}

// TestAnswersAreVerified guards against accepting an answer that is incomplete or
// belongs to another attempt, and against "not run" for a request that may have run.
func TestAnswersAreVerified(t *testing.T) {
	headers := "HTTP/1.1 200 OK\r\nRequest-Id: q\r\nAttempt-Id: 1\r\nBody-Digest: " + dispatcher.Digest([]byte("body")) + "\r\n"
	tests := map[string]struct {
		change change
		want   classifier.Code
	}{
		"complete":             {nil, classifier.OK},
		"complete, no length":  {rawAnswer(headers + "Connection: close\r\n\r\nbody"), classifier.OK},
		"truncated":            {rawAnswer(headers + "Content-Length: 9\r\n\r\nbody"), classifier.OutcomeUnknown},
		"truncated, no length": {rawAnswer(headers + "Connection: close\r\n\r\nbo"), classifier.CorruptAnswer},
		"nothing":              {rawAnswer(""), classifier.OutcomeUnknown},
		"another request":      {withHeader("Request-Id", "other", 200), classifier.CorruptAnswer},
		"another attempt":      {withHeader("Attempt-Id", "2", 200), classifier.CorruptAnswer},
		"another digest":       {withHeader("Body-Digest", "0", 200), classifier.CorruptAnswer},
		"no digest":            {withHeader("Body-Digest", "", 200), classifier.CorruptAnswer},
		"refused":              {withHeader("Not-Run", "true", 503), classifier.MinionBusy},
		"503 without Not-Run":  {withHeader("Retry-After", "1", 503), classifier.OutcomeUnknown},
		"not-run in a success": {withHeader("Not-Run", "true", 200), classifier.OK},
		"error":                {withHeader("Not-Run", "true", 500), classifier.OutcomeUnknown},
		"redirect":             {withHeader("Location", "/call/other", 307), classifier.OutcomeUnknown},
		"refusal without attempt": {func(w http.ResponseWriter, r *http.Request, b []byte) bool {
			w.Header().Del("Attempt-Id")
			return withHeader("Not-Run", "true", 503)(w, r, b)
		}, classifier.CorruptAnswer},
	}
	harness := startDispatcher(t, dispatcher.Parameters{})
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			answer := harness.await(t, harness.newCall(startMinion(t, test.change), 1, "body"))
			if test.want == classifier.OK {
				quicktest.Assert(t, answer.Err == nil, quicktest.IsTrue)
				quicktest.Assert(t, string(answer.Body), quicktest.Equals, "body")
				return
			}
			quicktest.Assert(t, answer.Err, quicktest.IsNotNil)
			quicktest.Assert(t, answer.Err.Code, quicktest.Equals, test.want, quicktest.Commentf("%v", answer.Err))
			quicktest.Assert(t, answer.Body, quicktest.IsNil)
		})
	}
}

// TestUnreachable guards against "may have run" for a minion that accepts no
// connection.
func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	address := netip.MustParseAddrPort(listener.Addr().String())
	_ = listener.Close()
	harness := startDispatcher(t, dispatcher.Parameters{})
	answer := harness.await(t, harness.newCall(address, 1, "body"))
	quicktest.Assert(t, answer.Err.Code, quicktest.Equals, classifier.MinionUnreachable)
	quicktest.Assert(t, harness.queries.Offer(messenger.QuerySlots{Minion: "m", Address: address}), quicktest.IsNil)
	quicktest.Assert(t, (<-harness.results).(messenger.SlotsAnswered).Err, quicktest.IsNotNil)
}

// TestExpiredCallIsNotSent guards against sending a call whose deadline passed while
// it waited in the ring, for example during a pause of the process.
func TestExpiredCallIsNotSent(t *testing.T) {
	var received atomic.Int32
	address := startMinion(t, func(http.ResponseWriter, *http.Request, []byte) bool { received.Add(1); return true })
	harness := startDispatcher(t, dispatcher.Parameters{Now: func() time.Time { return time.Now().Add(time.Hour) }})
	answer := harness.await(t, harness.newCall(address, 1, "body"))
	quicktest.Assert(t, answer.Err.Code, quicktest.Equals, classifier.DeadlineUnmet)
	quicktest.Assert(t, received.Load(), quicktest.Equals, int32(0))
}

// TestTimeoutClosesConnection guards against a connection that stays open after its
// request timed out: its late answer would be read as that of the next request.
func TestTimeoutClosesConnection(t *testing.T) {
	const timeout = 50 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		closed := make(chan struct{})
		harness := startDispatcherWith(t, dispatcher.Parameters{}, func(started *dispatcher.Dispatcher) {
			started.SetDialer(func(context.Context) (net.Conn, error) {
				connection, accepted := net.Pipe()
				t.Cleanup(func() { _ = connection.Close() }) // the dispatcher may have closed it
				go func() {
					_, _ = io.Copy(io.Discard, accepted) // until the dispatcher closes the connection
					close(closed)
				}()
				return connection, nil
			})
		})
		begun := time.Now()
		call := harness.newCall(netip.MustParseAddrPort("10.0.0.1:80"), 1, "body")
		call.Timeout = timeout
		answer := harness.await(t, call)
		quicktest.Assert(t, answer.Err.Code, quicktest.Equals, classifier.TimedOut)
		quicktest.Assert(t, time.Since(begun), quicktest.Equals, timeout)
		synctest.Wait()
		select {
		case <-closed:
		default:
			t.Error("the connection is open after the timeout")
		}
	})
}

// TestRequestIsSentOnce guards against the retry of net/http, which sends a request
// again if a reused connection breaks and the request has an idempotency key.
func TestRequestIsSentOnce(t *testing.T) {
	for _, body := range []string{"", "body"} {
		t.Run(fmt.Sprintf("%d bytes", len(body)), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			quicktest.Assert(t, err, quicktest.IsNil)
			t.Cleanup(func() { _ = listener.Close() })
			var received atomic.Int32
			go func() {
				for {
					connection, err := listener.Accept()
					if err != nil {
						return
					}
					go serveFirstAttempt(connection, &received)
				}
			}()
			address := netip.MustParseAddrPort(listener.Addr().String())
			harness := startDispatcher(t, dispatcher.Parameters{})
			quicktest.Assert(t, harness.await(t, harness.newCall(address, 1, body)).Err == nil, quicktest.IsTrue)
			answer := harness.await(t, harness.newCall(address, 2, body))
			quicktest.Assert(t, answer.Err, quicktest.IsNotNil)
			quicktest.Assert(t, answer.Err.Code, quicktest.Equals, classifier.OutcomeUnknown)
			quicktest.Assert(t, received.Load(), quicktest.Equals, int32(1))
		})
	}
}

// serveFirstAttempt answers the first attempt, and closes the connection after it
// has read the second one. Received counts the second attempts.
func serveFirstAttempt(connection net.Conn, received *atomic.Int32) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		attempt := request.Header.Get("Attempt-Id")
		if attempt == "2" {
			received.Add(1)
			return
		}
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nRequest-Id: q\r\nAttempt-Id: %s\r\nBody-Digest: %s\r\nContent-Length: %d\r\n\r\n%s",
			attempt, dispatcher.Digest(body), len(body), body)
	}
}

// TestConnectionsAreBounded guards against more connections to a minion than its
// owner may use, against a call without exactly one result, and against "may have
// run" for a call that timed out while it waited for a connection.
func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	var started sync.WaitGroup
	started.Add(3)
	address := startMinion(t, func(_ http.ResponseWriter, request *http.Request, _ []byte) bool {
		if request.Header.Get("Attempt-Id") != "4" {
			started.Done()
		}
		select {
		case <-release:
		case <-request.Context().Done():
		}
		return true
	})
	harness := startDispatcher(t, dispatcher.Parameters{Connections: 3})
	for attempt := range identifier.Attempt(3) {
		quicktest.Assert(t, harness.calls.Offer(harness.newCall(address, attempt+1, "body")), quicktest.IsNil)
	}
	started.Wait()
	fourth := harness.newCall(address, 4, "body")
	fourth.Timeout = 50 * time.Millisecond
	answer := harness.await(t, fourth)
	quicktest.Assert(t, answer.Err.Code, quicktest.Equals, classifier.MinionUnreachable)
	close(release)
	got := map[identifier.Attempt]bool{}
	for range 3 {
		answer := (<-harness.results).(messenger.MinionAnswered)
		quicktest.Assert(t, answer.Err == nil, quicktest.IsTrue)
		quicktest.Assert(t, answer.Busy, quicktest.Equals, 3)
		got[answer.Attempt] = true
	}
	quicktest.Assert(t, got, quicktest.HasLen, 3)
}
