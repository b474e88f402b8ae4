package follower_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/buffer"
	"corianderroad/encoder"
	"corianderroad/follower"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// service is the read side of a log service.
type service struct {
	mutex   sync.Mutex
	first   uint64
	appends []encoder.ReadEntry
	// fault is consulted before each answer: "" serves, "hang" never answers.
	fault func() string
	grown chan struct{}
}

func newService() *service {
	return &service{first: 1, fault: func() string { return "" }, grown: make(chan struct{})}
}

func (service *service) add(payload []byte) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.appends = append(service.appends, encoder.ReadEntry{
		Offset: uint64(len(service.appends)) + 1, Payload: payload, AppendedAt: time.Now(),
	})
	close(service.grown)
	service.grown = make(chan struct{})
}

func (service *service) read(from uint64, limit int) (int, encoder.ReadAnswer, chan struct{}) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	answer := encoder.ReadAnswer{FirstRetained: service.first, Next: uint64(len(service.appends)) + 1}
	if from < service.first {
		return http.StatusGone, answer, nil
	}
	for offset := from; offset < answer.Next && len(answer.Appends) < limit; offset++ {
		answer.Appends = append(answer.Appends, service.appends[offset-1])
	}
	return http.StatusOK, answer, service.grown
}

func (service *service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch service.fault() {
	case "hang":
		<-request.Context().Done()
		return
	case "error":
		writer.WriteHeader(http.StatusInternalServerError)
		return
	case "gap":
		_ = json.NewEncoder(writer).Encode(encoder.ReadAnswer{FirstRetained: 1, Next: 9, Appends: []encoder.ReadEntry{{Offset: 7}}})
		return
	case "garbage":
		_, _ = writer.Write([]byte("{"))
		return
	}
	query := request.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(query.Get("limit"))
	wait, _ := time.ParseDuration(query.Get("wait"))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		status, answer, grown := service.read(from, limit)
		if status == http.StatusOK && len(answer.Appends) == 0 && wait > 0 {
			select {
			case <-grown:
				continue
			case <-timer.C:
				wait = 0
				continue
			case <-request.Context().Done():
				return
			}
		}
		writer.WriteHeader(status)
		_ = json.NewEncoder(writer).Encode(answer)
		return
	}
}

// direct serves requests without a network, so that tests run in virtual time.
type direct struct{ handler http.Handler }

func (direct direct) Do(request *http.Request) (*http.Response, error) {
	recorder, done := httptest.NewRecorder(), make(chan struct{})
	go func() {
		defer close(done)
		direct.handler.ServeHTTP(recorder, request)
	}()
	select {
	case <-done:
		return recorder.Result(), request.Context().Err()
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// anyAddress is never dialled by direct.
var anyAddress = netip.MustParseAddrPort("127.0.0.1:1")

type sink chan messenger.Event

func (sink sink) Deliver(ctx context.Context, event messenger.Event) error {
	select {
	case sink <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// running is a follower with its ends.
type running struct {
	*follower.Follower
	sink     sink
	advanced *buffer.Ring[messenger.StreamAdvanced]
	stop     func()
}

func run(client follower.Client, address netip.AddrPort, parameters follower.Parameters) *running {
	running := &running{sink: make(sink, 4096), advanced: buffer.New[messenger.StreamAdvanced]("advanced", 4)}
	running.Follower = follower.New(identifier.Intents, address, client, running.sink, running.advanced, parameters)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = running.Run(ctx)
	}()
	running.stop = func() {
		cancel()
		<-done
	}
	return running
}

// appendRead returns the next append and passes over other events.
func (running *running) appendRead() messenger.AppendRead {
	for {
		if read, ok := (<-running.sink).(messenger.AppendRead); ok {
			return read
		}
	}
}

func payload(id int) []byte {
	payload, _ := encoder.MarshalBatch([]messenger.Entry{{ID: strconv.Itoa(id), Record: messenger.Cancellation{Job: "j"}}})
	return payload
}

// TestEveryRetainedAppendIsDelivered guards against gaps and repetitions that
// are not announced by Reset, whatever the log answers, and against a loop that
// does not reach the end.
func TestEveryRetainedAppendIsDelivered(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := plan{
			faults: rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "error", "hang", "garbage"}), 0, 20).Draw(rt, "faults"),
			limit:  rapid.IntRange(1, 5).Draw(rt, "limit"),
			rounds: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) round {
				return round{
					appends: rapid.IntRange(0, 9).Draw(t, "appends"),
					expire:  rapid.Bool().Draw(t, "expire"),
					pause:   time.Duration(rapid.IntRange(0, 9000).Draw(t, "pause")) * time.Millisecond,
				}
			}), 1, 9).Draw(rt, "rounds"),
		}
		problem := ""
		synctest.Test(t, func(*testing.T) { problem = plan.play() })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// plan is what happens to a log while it is followed.
type plan struct {
	faults []string
	limit  int
	rounds []round
}

type round struct {
	appends int
	expire  bool
	pause   time.Duration
}

// play returns what was wrong with the events, empty for nothing.
func (plan plan) play() string {
	service := newService()
	service.fault = func() string {
		service.mutex.Lock()
		defer service.mutex.Unlock()
		if len(plan.faults) == 0 {
			return ""
		}
		fault := plan.faults[0]
		plan.faults = plan.faults[1:]
		return fault
	}
	running := run(direct{service}, anyAddress, follower.Parameters{Limit: plan.limit})
	defer running.stop()
	for _, round := range plan.rounds {
		for range round.appends {
			service.add(payload(1))
		}
		if round.expire {
			service.mutex.Lock()
			service.first = min(service.first+uint64(round.appends), uint64(len(service.appends))+1)
			service.mutex.Unlock()
		}
		time.Sleep(round.pause)
	}
	service.add(payload(1))
	time.Sleep(3 * time.Minute)
	synctest.Wait()
	next, first, ended := identifier.Offset(1), true, false
	for len(running.sink) > 0 {
		switch event := (<-running.sink).(type) {
		case messenger.AppendRead:
			if first && !event.Reset || event.Offset < next || event.Offset > next && !event.Reset {
				return fmt.Sprintf("offset %d follows %d with reset %v", event.Offset, next-1, event.Reset)
			}
			next, first = event.Offset+1, false
		case messenger.StreamEndReached:
			if event.Next != next && !event.Reset {
				return fmt.Sprintf("the end is at %d after offset %d", event.Next, next-1)
			}
			ended = int(event.Next) == len(service.appends)+1
		}
	}
	if int(next) != len(service.appends)+1 || !ended {
		return fmt.Sprintf("stopped at offset %d of %d, end reported: %v", next-1, len(service.appends), ended)
	}
	return ""
}

// TestSilentLogIsReported guards against a log that hangs without notice, and
// against a loop that asks without pause.
func TestSilentLogIsReported(t *testing.T) {
	for _, fault := range []string{"hang", "error", "gap"} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			service := newService()
			var asked atomic.Int64
			began := time.Now()
			service.fault = func() string {
				if time.Since(began) < 12*time.Second {
					return ""
				}
				asked.Add(1)
				return fault
			}
			running := run(direct{service}, anyAddress, follower.Parameters{})
			event := <-running.sink
			for _, ended := event.(messenger.StreamEndReached); ended; _, ended = event.(messenger.StreamEndReached) {
				event = <-running.sink
			}
			silent := event.(messenger.StreamUnavailable)
			c.Assert(silent.Since.Sub(began) > 10*time.Second, quicktest.IsTrue)
			since := time.Since(silent.Since)
			c.Assert(since >= 7*time.Second && since < 9*time.Second, quicktest.IsTrue)
			c.Assert(asked.Load() >= 1 && asked.Load() < 40, quicktest.IsTrue)
			running.stop()
		})
	}
}

// TestIntentsStartRecently guards against a start that reads the whole stream,
// or so late that the first append proves nothing about recent keys.
func TestIntentsStartRecently(t *testing.T) {
	for _, expired := range []uint64{0, 20, 55, 57} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			service := newService()
			for range 60 {
				service.add(payload(1))
				time.Sleep(time.Minute)
			}
			service.first = expired + 1
			if asked := 0; expired == 57 {
				// Retention goes on during the search.
				service.first = 1
				service.fault = func() string {
					if asked++; asked == 3 {
						service.first = expired + 1
					}
					return ""
				}
			}
			running := run(direct{service}, anyAddress, follower.Parameters{Recent: follower.IntentsRecent})
			first := running.appendRead()
			// The append at offset 49 is 12 minutes old.
			c.Assert(first.Offset, quicktest.Equals, identifier.Offset(max(49, expired+1)))
			c.Assert(first.Reset, quicktest.IsTrue)
			running.stop()
		})
	}
}

// TestPositionFollowsTheApplier guards against a follower that goes on reading
// at its own position although the node needs earlier appends or has later ones.
func TestPositionFollowsTheApplier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		service := newService()
		for i := range 9 {
			service.add(payload(i))
		}
		running := run(direct{service}, anyAddress, follower.Parameters{})
		time.Sleep(time.Second)
		for len(running.sink) > 0 {
			<-running.sink
		}
		c.Assert(running.advanced.Offer(messenger.StreamAdvanced{Applied: 3}), quicktest.IsNil)
		began := time.Now()
		read := running.appendRead()
		c.Assert([]any{read.Offset, read.Reset}, quicktest.DeepEquals, []any{identifier.Offset(4), false})
		c.Assert(time.Since(began), quicktest.Equals, time.Duration(0))
		running.stop()
	})
}

// TestCorruptAppendDoesNotStopTheStream guards against one undecodable payload
// that keeps every node from all later records.
func TestCorruptAppendDoesNotStopTheStream(t *testing.T) {
	c := quicktest.New(t)
	service := newService()
	service.add([]byte("not a batch"))
	service.add(payload(7))
	server := httptest.NewServer(service)
	defer server.Close()
	running := run(server.Client(), netip.MustParseAddrPort(server.Listener.Addr().String()), follower.Parameters{})
	defer running.stop()
	c.Assert(running.appendRead().Entries, quicktest.HasLen, 0)
	c.Assert(fmt.Sprint(running.appendRead().Entries), quicktest.Equals, "[{7 {j}}]")
	c.Assert(running.Corrupt(), quicktest.Equals, uint64(1))
}
