package appender_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"corianderroad/appender"
	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// service is a log service that retains all appends.
type service struct {
	mutex   sync.Mutex
	appends []encoder.ReadEntry
	posted  []time.Time
	// fault returns the fault of the next request, empty for none.
	fault func(method string) string
	// stored receives a signal after each append.
	stored chan struct{}
}

func newService(fault func(method string) string) *service {
	return &service{fault: fault, stored: make(chan struct{}, 4096)}
}

func (service *service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if request.Method == http.MethodPost {
		var body encoder.AppendRequest
		_ = json.NewDecoder(request.Body).Decode(&body)
		service.posted = append(service.posted, time.Now())
		offset := uint64(len(service.appends)) + 1
		service.appends = append(service.appends, encoder.ReadEntry{Offset: offset, ID: body.ID, Payload: body.Payload})
		service.stored <- struct{}{}
		_ = json.NewEncoder(writer).Encode(encoder.AppendAnswer{Offset: offset})
		return
	}
	from, _ := strconv.Atoi(request.URL.Query().Get("from"))
	limit, _ := strconv.Atoi(request.URL.Query().Get("limit"))
	answer := encoder.ReadAnswer{FirstRetained: 1, Next: uint64(len(service.appends)) + 1}
	for offset := from; offset <= len(service.appends) && len(answer.Appends) < limit; offset++ {
		answer.Appends = append(answer.Appends, service.appends[offset-1])
	}
	_ = json.NewEncoder(writer).Encode(answer)
}

// Do serves a request without a network, so that tests run in virtual time.
func (service *service) Do(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	switch service.fault(request.Method) {
	case "dial":
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	case "unavailable":
		recorder.WriteHeader(http.StatusServiceUnavailable)
		return recorder.Result(), nil
	case "refused":
		recorder.WriteHeader(http.StatusRequestEntityTooLarge)
		return recorder.Result(), nil
	case "lost":
		service.appendOthers()
		service.ServeHTTP(recorder, request)
		<-request.Context().Done()
		return nil, request.Context().Err()
	case "late":
		// The request takes effect after the sender's timeout.
		go func() {
			time.Sleep(20 * time.Second)
			service.ServeHTTP(httptest.NewRecorder(), request)
		}()
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	service.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// CloseIdleConnections implements appender.Client.
func (service *service) CloseIdleConnections() {}

// appendOthers adds appends of other clients, more than one page of a read-back.
func (service *service) appendOthers() {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	for range 20 {
		service.appends = append(service.appends, encoder.ReadEntry{Offset: uint64(len(service.appends)) + 1, ID: "other"})
	}
}

// recordCounts returns how often each record is in the log.
func (service *service) recordCounts() map[string]int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	counts := map[string]int{}
	for _, entry := range service.appends {
		batch, _ := encoder.UnmarshalBatch(entry.Payload)
		for _, entry := range batch.Entries {
			counts[entry.ID]++
		}
	}
	return counts
}

type sink struct {
	mutex  sync.Mutex
	failed map[string][]messenger.AppendFailed
}

func (sink *sink) Deliver(_ context.Context, event messenger.Event) error {
	sink.mutex.Lock()
	defer sink.mutex.Unlock()
	failed := event.(messenger.AppendFailed)
	sink.failed[failed.ID] = append(sink.failed[failed.ID], failed)
	return nil
}

var anyAddress = netip.MustParseAddrPort("127.0.0.1:1")

// sleepFor returns a function that sleeps, in virtual time.
func sleepFor(duration time.Duration) func(*sink) { return func(*sink) { time.Sleep(duration) } }

// run appends records until wait returns, and returns the sink with the records that
// failed.
func run(stream identifier.Stream, client appender.Client, address netip.AddrPort, limiter *rate.Limiter, records []messenger.AppendRecord, wait func(*sink)) *sink {
	sink := &sink{failed: map[string][]messenger.AppendFailed{}}
	ring := buffer.New[messenger.AppendRecord]("records", 4096)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = appender.New(stream, address, client, sink, ring, limiter, appender.Parameters{}).Run(ctx)
	}()
	for _, record := range records {
		_ = ring.Offer(record)
	}
	wait(sink)
	cancel()
	<-done
	return sink
}

func records(count int, timeout time.Duration) []messenger.AppendRecord {
	var records []messenger.AppendRecord
	for i := range count {
		records = append(records, messenger.AppendRecord{
			Entry:    messenger.Entry{ID: fmt.Sprint(i), Record: messenger.Cancellation{Job: "j"}},
			Deadline: time.Now().Add(timeout),
		})
	}
	return records
}

// TestEveryRecordHasOneCorrectOutcome guards against a record that is lost without
// AppendFailed, reported twice, reported as not run although it reaches the log,
// or appended twice although a read-back would have found it.
func TestEveryRecordHasOneCorrectOutcome(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "dial", "unavailable", "lost", "late", "refused"}), 0, 30).Draw(rt, "faults")
		count := rapid.IntRange(1, 5).Draw(rt, "records")
		stream := rapid.SampledFrom([]identifier.Stream{identifier.Configuration, identifier.Jobs}).Draw(rt, "stream")
		problem := ""
		synctest.Test(t, func(*testing.T) { problem = simulate(stream, count, faults) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// simulate appends records under faults. It returns a description of the first
// violation, empty for none.
func simulate(stream identifier.Stream, count int, faults []string) string {
	late := false
	service := newService(func(method string) string {
		if len(faults) == 0 {
			return ""
		}
		fault := faults[0]
		faults = faults[1:]
		if method == http.MethodGet && fault == "late" {
			fault = "lost"
		}
		late = late || fault == "late"
		return fault
	})
	sink := run(stream, service, anyAddress, appender.NewLimiter(), records(count, 10*time.Second), sleepFor(5*time.Minute))
	counts := service.recordCounts()
	for i := range count {
		id := fmt.Sprint(i)
		failed := sink.failed[id]
		switch {
		case len(failed) > 1:
			return "record " + id + " failed twice"
		case len(failed) == 0 && counts[id] == 0:
			return "record " + id + " is neither in the log nor reported as failed"
		case len(failed) == 1 && failed[0].Execution == classifier.NotRun && counts[id] > 0:
			return "record " + id + " is in the log and was reported as not run"
		case counts[id] > 1 && !late:
			return "record " + id + " was appended twice"
		}
	}
	return ""
}

// TestRecordsAreBatchedWithinRateLimit guards against one append per record and
// against more appends than the log allows a node.
func TestRecordsAreBatchedWithinRateLimit(t *testing.T) {
	for stream, want := range map[identifier.Stream]int{identifier.Intents: 3, identifier.Configuration: 500} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			service := newService(func(string) string { return "" })
			sink := run(stream, service, anyAddress, appender.NewLimiter(), records(500, time.Hour), sleepFor(time.Minute))
			c.Assert(service.recordCounts(), quicktest.HasLen, 500)
			c.Assert(service.posted, quicktest.HasLen, want)
			c.Assert(sink.failed, quicktest.HasLen, 0)
			for i := range max(len(service.posted)-33, 0) {
				c.Assert(service.posted[i+33].Sub(service.posted[i]) >= 990*time.Millisecond, quicktest.IsTrue)
			}
		})
	}
}

// TestRecordsFailAtTheirDeadline guards against records that wait for an unavailable
// log beyond their Deadline, and against an Execution that is NotRun without
// certainty, or Unknown where NotRun is certain.
func TestRecordsFailAtTheirDeadline(t *testing.T) {
	for fault, want := range map[string]classifier.Execution{
		"dial": classifier.NotRun, "refused": classifier.NotRun, "unavailable": classifier.Unknown, "late": classifier.Unknown,
	} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			requests := 0
			service := newService(func(method string) string {
				if requests++; method == http.MethodGet {
					return ""
				}
				return fault
			})
			sink := run(identifier.Jobs, service, anyAddress, appender.NewLimiter(), records(2, 10*time.Second), sleepFor(14*time.Second))
			c.Assert(sink.failed["0"], quicktest.HasLen, 1)
			c.Assert(sink.failed["1"][0].Execution, quicktest.Equals, want)
			c.Assert(requests < 60, quicktest.IsTrue)
			time.Sleep(time.Minute)
		})
	}
}

// TestAppendOverHTTP guards against a request that a real HTTP server can't parse.
func TestAppendOverHTTP(t *testing.T) {
	c := quicktest.New(t)
	service := newService(func(string) string { return "" })
	server := httptest.NewServer(service)
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	sink := run(identifier.Jobs, server.Client(), address, appender.NewLimiter(), records(3, time.Minute), func(*sink) {
		for len(service.recordCounts()) < 3 {
			<-service.stored
		}
	})
	c.Assert(service.recordCounts(), quicktest.DeepEquals, map[string]int{"0": 1, "1": 1, "2": 1})
	c.Assert(sink.failed, quicktest.HasLen, 0)
}

// TestAppendedRecordIsNotReportedAsFailed guards against an AppendFailed for a record
// whose answer was lost and whose deadline passed before the read-back.
func TestAppendedRecordIsNotReportedAsFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		service := newService(func(method string) string {
			if method == http.MethodPost {
				return "lost"
			}
			return ""
		})
		sink := run(identifier.Jobs, service, anyAddress, appender.NewLimiter(), records(1, time.Second), sleepFor(time.Minute))
		c.Assert(service.recordCounts()["0"], quicktest.Equals, 1)
		c.Assert(sink.failed, quicktest.HasLen, 0)
	})
}
