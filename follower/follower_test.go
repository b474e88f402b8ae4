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
	"corianderroad/commander"
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
	// fault returns the fault of the next answer: "" is none, "hang" never answers.
	fault func() string
	// appended is closed and replaced by each append.
	appended chan struct{}
}

func newService() *service {
	return &service{first: 1, fault: func() string { return "" }, appended: make(chan struct{})}
}

func (service *service) add(payload []byte) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.appends = append(service.appends, encoder.ReadEntry{
		Offset: uint64(len(service.appends)) + 1, Payload: payload, AppendedAt: time.Now(),
	})
	close(service.appended)
	service.appended = make(chan struct{})
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
	return http.StatusOK, answer, service.appended
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
		status, answer, appended := service.read(from, limit)
		if status == http.StatusOK && len(answer.Appends) == 0 && wait > 0 {
			select {
			case <-appended:
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

// inProcessClient serves requests without a network, so that tests run in virtual
// time.
type inProcessClient struct{ handler http.Handler }

func (inProcessClient inProcessClient) Do(request *http.Request) (*http.Response, error) {
	recorder, done := httptest.NewRecorder(), make(chan struct{})
	go func() {
		defer close(done)
		inProcessClient.handler.ServeHTTP(recorder, request)
	}()
	select {
	case <-done:
		return recorder.Result(), request.Context().Err()
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// anyAddress is an address that inProcessClient never dials.
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

// harness is a follower under test with its sink and ring.
type harness struct {
	*follower.Follower
	sink     sink
	advanced *buffer.Ring[messenger.StreamAdvanced]
	stop     func()
}

func run(client follower.Client, address netip.AddrPort, parameters follower.Parameters) *harness {
	harness := &harness{sink: make(sink, 4096), advanced: buffer.New[messenger.StreamAdvanced]("advanced", 4)}
	harness.Follower = follower.New(identifier.Intents, address, client, harness.sink, harness.advanced, parameters)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = harness.Run(ctx)
	}()
	harness.stop = func() {
		cancel()
		<-done
	}
	return harness
}

// appendRead returns the next append and skips other events.
func (harness *harness) appendRead() messenger.AppendRead {
	for {
		if read, ok := (<-harness.sink).(messenger.AppendRead); ok {
			return read
		}
	}
}

func payload(id int) []byte {
	payload, _ := encoder.MarshalBatch([]messenger.Entry{{ID: strconv.Itoa(id), Record: messenger.Cancellation{Job: "j"}}})
	return payload
}

// TestEveryRetainedAppendIsDelivered guards against gaps and repetitions that
// are not announced by Reset, whatever the log answers, and against a follower that
// does not reach the end of the stream.
func TestEveryRetainedAppendIsDelivered(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		scenario := scenario{
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
		synctest.Test(t, func(*testing.T) { problem = scenario.simulate() })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// scenario is a series of changes to a log and of faults while a follower reads it.
type scenario struct {
	faults []string
	limit  int
	rounds []round
}

type round struct {
	appends int
	expire  bool
	pause   time.Duration
}

// simulate runs the scenario. It returns a description of the first violation in the
// events, empty for none.
func (scenario scenario) simulate() string {
	service := newService()
	service.fault = func() string {
		service.mutex.Lock()
		defer service.mutex.Unlock()
		if len(scenario.faults) == 0 {
			return ""
		}
		fault := scenario.faults[0]
		scenario.faults = scenario.faults[1:]
		return fault
	}
	harness := run(inProcessClient{service}, anyAddress, follower.Parameters{Limit: scenario.limit})
	defer harness.stop()
	for _, round := range scenario.rounds {
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
	next, first, endReached := identifier.Offset(1), true, false
	for len(harness.sink) > 0 {
		switch event := (<-harness.sink).(type) {
		case messenger.AppendRead:
			if first && !event.Reset || event.Offset < next || event.Offset > next && !event.Reset {
				return fmt.Sprintf("offset %d follows %d with reset %v", event.Offset, next-1, event.Reset)
			}
			next, first = event.Offset+1, false
		case messenger.StreamEndReached:
			if event.Next != next && !event.Reset {
				return fmt.Sprintf("end reported at offset %d after offset %d", event.Next, next-1)
			}
			endReached = int(event.Next) == len(service.appends)+1
		}
	}
	if int(next) != len(service.appends)+1 || !endReached {
		return fmt.Sprintf("stopped at offset %d of %d, end reported: %v", next-1, len(service.appends), endReached)
	}
	return ""
}

// TestUnavailableLogIsReported guards against an unavailable log that is not reported,
// and against retries without a delay.
func TestUnavailableLogIsReported(t *testing.T) {
	for _, fault := range []string{"hang", "error", "gap"} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			service := newService()
			var requests atomic.Int64
			startedAt := time.Now()
			service.fault = func() string {
				if time.Since(startedAt) < 12*time.Second {
					return ""
				}
				requests.Add(1)
				return fault
			}
			harness := run(inProcessClient{service}, anyAddress, follower.Parameters{})
			event := <-harness.sink
			for _, endReached := event.(messenger.StreamEndReached); endReached; _, endReached = event.(messenger.StreamEndReached) {
				event = <-harness.sink
			}
			unavailable := event.(messenger.StreamUnavailable)
			c.Assert(unavailable.Since.Sub(startedAt) > 10*time.Second, quicktest.IsTrue)
			since := time.Since(unavailable.Since)
			c.Assert(since >= 7*time.Second && since < 9*time.Second, quicktest.IsTrue)
			c.Assert(requests.Load() >= 1 && requests.Load() < 40, quicktest.IsTrue)
			harness.stop()
		})
	}
}

// TestIntentsAreReadFromRecentOffset guards against a follower that reads the complete
// stream, or starts so late that its first append does not prove that it receives all
// recent intents.
func TestIntentsAreReadFromRecentOffset(t *testing.T) {
	for _, expired := range []uint64{0, 20, 55, 57} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			service := newService()
			for range 60 {
				service.add(payload(1))
				time.Sleep(time.Minute)
			}
			service.first = expired + 1
			if requests := 0; expired == 57 {
				// Retention deletes appends during the search.
				service.first = 1
				service.fault = func() string {
					if requests++; requests == 3 {
						service.first = expired + 1
					}
					return ""
				}
			}
			harness := run(inProcessClient{service}, anyAddress, follower.Parameters{StartAge: follower.IntentsStartAge})
			first := harness.appendRead()
			// The append at offset 49 is 12 minutes old.
			c.Assert(first.Offset, quicktest.Equals, identifier.Offset(max(49, expired+1)))
			c.Assert(first.Reset, quicktest.IsTrue)
			harness.stop()
		})
	}
}

// TestPositionFollowsAppliedOffset guards against a follower that continues at its own
// position although the node needs earlier appends or has applied later ones.
func TestPositionFollowsAppliedOffset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		service := newService()
		for i := range 9 {
			service.add(payload(i))
		}
		harness := run(inProcessClient{service}, anyAddress, follower.Parameters{})
		time.Sleep(time.Second)
		for len(harness.sink) > 0 {
			<-harness.sink
		}
		c.Assert(harness.advanced.Offer(messenger.StreamAdvanced{Applied: 3}), quicktest.IsNil)
		startedAt := time.Now()
		read := harness.appendRead()
		c.Assert([]any{read.Offset, read.Reset}, quicktest.DeepEquals, []any{identifier.Offset(4), false})
		c.Assert(time.Since(startedAt), quicktest.Equals, time.Duration(0))
		harness.stop()
	})
}

// TestCorruptAppendDoesNotStopFollower guards against one undecodable payload that
// prevents every node from reading all later records.
func TestCorruptAppendDoesNotStopFollower(t *testing.T) {
	c := quicktest.New(t)
	service := newService()
	service.add([]byte("not a batch"))
	service.add(payload(7))
	server := httptest.NewServer(service)
	defer server.Close()
	harness := run(server.Client(), netip.MustParseAddrPort(server.Listener.Addr().String()), follower.Parameters{})
	defer harness.stop()
	c.Assert(harness.appendRead().Entries, quicktest.HasLen, 0)
	c.Assert(harness.appendRead().Entries, quicktest.DeepEquals, []messenger.Entry{{ID: "7", Record: messenger.Cancellation{Job: "j"}}})
	c.Assert(harness.Corrupt(), quicktest.Equals, uint64(1))
}

// TestInvalidEntryIsRefusedAlone guards against one invalid entry that hides the other
// entries of its append, and against one that is not counted.
func TestInvalidEntryIsRefusedAlone(t *testing.T) {
	c := quicktest.New(t)
	invalid, err := encoder.MarshalBatch([]messenger.Entry{
		{ID: "1", Record: messenger.Cancellation{Job: "j"}},
		{ID: "2", Record: messenger.Submission{Spec: commander.JobSpec{Job: "k", Workspace: "w", Shape: commander.Shape{Members: -1}}}},
		{ID: "3", Record: messenger.Cancellation{Job: "j"}},
	})
	c.Assert(err, quicktest.IsNil)
	service := newService()
	service.add(invalid)
	service.add(payload(7))
	server := httptest.NewServer(service)
	defer server.Close()
	harness := run(server.Client(), netip.MustParseAddrPort(server.Listener.Addr().String()), follower.Parameters{})
	defer harness.stop()
	read := harness.appendRead()
	c.Assert(read.Entries, quicktest.DeepEquals, []messenger.Entry{
		{ID: "1", Record: messenger.Cancellation{Job: "j"}}, {ID: "3", Record: messenger.Cancellation{Job: "j"}},
	})
	c.Assert(read.Refused, quicktest.HasLen, 1)
	c.Assert(harness.appendRead().Entries, quicktest.DeepEquals, []messenger.Entry{{ID: "7", Record: messenger.Cancellation{Job: "j"}}})
	c.Assert(harness.Corrupt(), quicktest.Equals, uint64(1))
}
