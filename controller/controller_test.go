package controller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/controller"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/platform/imitator"
	"corianderroad/specifier"
)

// inbox is a sink that passes answers to the test.
type inbox chan messenger.WorkerAnswered

// Deliver implements controller.EventSink.
func (inbox inbox) Deliver(ctx context.Context, event messenger.Event) error {
	select {
	case inbox <- event.(messenger.WorkerAnswered):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// testTimeout limits the duration of a call that is answered. It is not a performance target.
const testTimeout = 30 * time.Second

// run starts a controller and returns its ring and the inbox of its answers.
func run(t *testing.T) (*buffer.Ring[messenger.CallWorker], inbox) {
	ring, answers := buffer.New[messenger.CallWorker]("workers", 64), make(inbox)
	start(t, controller.New(ring, answers, controller.Parameters{MaxCalls: 4, Timeout: testTimeout}))
	return ring, answers
}

// start runs a controller until the test ends.
func start(t *testing.T, client *controller.Controller) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- client.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		quicktest.Check(t, <-ended, quicktest.ErrorIs, context.Canceled)
	})
}

func serve(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func respond(status int, body string) http.HandlerFunc {
	return func(response http.ResponseWriter, _ *http.Request) {
		response.WriteHeader(status)
		_, _ = io.WriteString(response, body)
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// TestErrorCodesStateWhetherCallTookEffect guards against a call that is reported
// as not executed although the worker may have executed it.
func TestErrorCodesStateWhetherCallTookEffect(t *testing.T) {
	ring, answers := run(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	closed := netip.MustParseAddrPort(listener.Addr().String())
	quicktest.Assert(t, listener.Close(), quicktest.IsNil)
	for name, test := range map[string]struct {
		address     netip.AddrPort
		code        classifier.Code
		highestTerm identifier.Term
	}{
		"no listener":   {closed, classifier.NodeUnreachable, 0},
		"stale term":    {serve(t, respond(409, `{"code":704,"message":"term 1","term":9}`)), classifier.StaleTerm, 9},
		"no capacity":   {serve(t, respond(409, `{"code":705,"message":"full","term":2}`)), classifier.NoCapacity, 2},
		"other code":    {serve(t, respond(409, `{"code":1,"message":"?"}`)), classifier.OutcomeUnknown, 0},
		"other status":  {serve(t, respond(500, `{}`)), classifier.OutcomeUnknown, 0},
		"redirect":      {serve(t, respond(302, `{}`)), classifier.OutcomeUnknown, 0},
		"truncated":     {serve(t, respond(200, `{"worker":"w1","te`)), classifier.OutcomeUnknown, 0},
		"other worker":  {serve(t, respond(200, `{"worker":"w2","mark":"1s"}`)), classifier.OutcomeUnknown, 0},
		"unknown state": {serve(t, respond(200, `{"worker":"w1","mark":"1s","tasks":[{"state":"odd","progress":"0s"}]}`)), classifier.OutcomeUnknown, 0},
		"broken off":    {serve(t, abort), classifier.OutcomeUnknown, 0},
	} {
		t.Run(name, func(t *testing.T) {
			quicktest.Assert(t, ring.Offer(messenger.CallWorker{Sequence: 7, Worker: "w1", Address: test.address, Kind: messenger.ReleaseTask, Term: 1}), quicktest.IsNil)
			answer := <-answers
			quicktest.Assert(t, answer.Err, quicktest.Not(quicktest.IsNil))
			quicktest.Assert(t, answer.Err.Code, quicktest.Equals, test.code, quicktest.Commentf("%v", answer.Err))
			quicktest.Assert(t, answer.HighestTerm, quicktest.Equals, test.highestTerm)
			quicktest.Assert(t, answer.Sequence, quicktest.Equals, uint64(7))
		})
	}
}

// TestSilentWorkerTimesOut guards against a call that lasts longer than its timeout, and against one without
// an answer that is reported as not executed although the worker has its request.
func TestSilentWorkerTimesOut(t *testing.T) {
	const timeout = 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ring, answers := buffer.New[messenger.CallWorker]("workers", 1), make(inbox)
		client := controller.New(ring, answers, controller.Parameters{MaxCalls: 4, Timeout: timeout})
		client.SetDialer(func(context.Context) (net.Conn, error) {
			connection, accepted := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, accepted) }() // until the client closes the connection
			return connection, nil
		})
		start(t, client)
		begun := time.Now()
		call := messenger.CallWorker{Sequence: 7, Worker: "w1", Address: netip.MustParseAddrPort("10.0.0.1:80"), Kind: messenger.ReleaseTask, Term: 1}
		quicktest.Assert(t, ring.Offer(call), quicktest.IsNil)
		answer := <-answers
		quicktest.Assert(t, time.Since(begun), quicktest.Equals, timeout)
		quicktest.Assert(t, answer.Err, quicktest.Not(quicktest.IsNil))
		quicktest.Assert(t, answer.Err.Code, quicktest.Equals, classifier.TimedOut, quicktest.Commentf("%v", answer.Err))
		quicktest.Assert(t, answer.HighestTerm, quicktest.Equals, identifier.Term(0))
		quicktest.Assert(t, answer.Sequence, quicktest.Equals, uint64(7))
	})
}

// TestSecondAnswerIsNotThatOfTheNextCall guards against a refusal, or a list of tasks, that is taken for
// the answer to a later call: tasks that run count as refused or lost, and are started elsewhere.
func TestSecondAnswerIsNotThatOfTheNextCall(t *testing.T) {
	ring, answers := run(t)
	address := imitator.Repeater{Handler: http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/reserve" {
			respond(409, `{"code":705,"message":"full","term":1}`)(response, request)
			return
		}
		respond(200, `{"worker":"w1","term":1,"mark":"2s"}`)(response, request)
	}), IsRepeated: imitator.Always}.Listen(t)
	for _, kind := range []messenger.WorkerCallKind{messenger.ReserveTask, messenger.StartTask, messenger.ReserveTask, messenger.RenewTasks} {
		quicktest.Assert(t, ring.Offer(messenger.CallWorker{Worker: "w1", Address: address, Kind: kind, Term: 1}), quicktest.IsNil)
		answer := <-answers
		isRefused := answer.Err != nil && answer.Err.Code == classifier.NoCapacity
		quicktest.Assert(t, isRefused, quicktest.Equals, kind == messenger.ReserveTask, quicktest.Commentf("%v: %v", kind, answer.Err))
	}
}

// TestCallsFollowTheProtocol guards against calls and answers that differ from
// docs/WORKER-PROTOCOL.md, and against calls without exactly one answer.
func TestCallsFollowTheProtocol(t *testing.T) {
	ring, answers := run(t)
	calls := make(chan string, 64)
	address := serve(t, func(response http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		calls <- fmt.Sprintf("%s %s %s", request.Method, request.URL, body)
		respond(200, `{"worker":"w1","term":12,"mark":"1m0.5s","accelerators":8,"tasks":[{"gang":{"job":"j","placement":13},
			"state":"running","accelerators":4,"members":["w1"],"progress":"10s"}]}`)(response, request)
	})
	gang := messenger.Gang{Job: "j", Placement: 13}
	call := messenger.CallWorker{
		Worker: "w1", Address: address, Term: 12, Gang: gang, Gangs: []messenger.Gang{gang}, Accelerators: 4,
		Members: []identifier.Worker{"w1"}, Lease: 15 * time.Second, WorkerClock: 1500 * time.Millisecond,
		RunTime: time.Hour, Progress: time.Second, Grace: 10 * time.Second,
	}
	for kind, want := range map[messenger.WorkerCallKind]string{
		messenger.ReserveTask:    `POST /reserve {"term":12,"gang":{"job":"j","placement":13},"accelerators":4,"members":["w1"],"lease":"15s"}`,
		messenger.StartTask:      `POST /start {"term":12,"gang":{"job":"j","placement":13},"mark":"1.5s","lease":"15s","run-time":"1h0m0s","progress":"1s"}`,
		messenger.RenewTasks:     `POST /renew {"term":12,"gangs":[{"job":"j","placement":13}],"mark":"1.5s","lease":"15s"}`,
		messenger.CheckpointTask: `POST /checkpoint {"term":12,"gang":{"job":"j","placement":13},"grace":"10s"}`,
		messenger.ReleaseTask:    `POST /release {"term":12,"gang":{"job":"j","placement":13}}`,
		messenger.ReadState:      `GET /state?term=12 `,
	} {
		call.Kind = kind
		call.Sequence++
		quicktest.Assert(t, ring.Offer(call), quicktest.IsNil)
		answer := <-answers
		quicktest.Assert(t, <-calls, quicktest.Equals, want)
		quicktest.Assert(t, answer, quicktest.DeepEquals, messenger.WorkerAnswered{
			Sequence: call.Sequence, Worker: "w1", Kind: kind, Gang: gang, Accelerators: 8, HighestTerm: 12, WorkerClock: 60500 * time.Millisecond,
			Tasks: []messenger.Task{{Gang: gang, State: messenger.Running, Accelerators: 4, Members: []identifier.Worker{"w1"}, Progress: 10 * time.Second}},
		})
	}
}

// FuzzAnswer guards against a panic, against success with an answer that is not
// from the called worker, and against numbers outside the bounds that the scheduler
// relies on.
func FuzzAnswer(f *testing.F) {
	f.Add(200, []byte(`{"worker":"w1","mark":"1s","tasks":[]}`))
	f.Add(409, []byte(`{"code":705}`))
	f.Add(409, []byte(`{"code":704,"term":18446744073709551615}`))
	f.Add(200, []byte(`{"worker":"w1","mark":"1s","accelerators":8,"tasks":[`+
		`{"gang":{"job":"j","placement":1},"state":"running","accelerators":4,"members":["w1"],"progress":"1s"}]}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		answer := controller.Decode(messenger.CallWorker{Worker: "w1"}, status, body)
		var content struct {
			Worker string `json:"worker"`
		}
		_ = json.Unmarshal(body, &content)
		if answer.Err == nil && (status != http.StatusOK || content.Worker != "w1") {
			t.Fatalf("status %d with body %q is accepted as success", status, body)
		}
		if answer.HighestTerm > messenger.MaxTerm || answer.Accelerators < 0 || answer.Accelerators > messenger.MaxWorkerAccelerators ||
			answer.WorkerClock < 0 || answer.WorkerClock > messenger.MaxWorkerClock {
			t.Fatalf("answer %+v is out of bounds", answer)
		}
		for _, task := range answer.Tasks {
			if task.Progress < 0 || task.Progress > specifier.MaxDuration || task.Accelerators < 0 || task.Accelerators > commander.MaxAccelerators {
				t.Fatalf("task %+v is out of bounds", task)
			}
		}
	})
}
