package appender_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/appender"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/throttler"
)

// remoteService serves a log service over a link. It receives a request and sends an
// answer without holding the service's lock.
type remoteService struct{ *service }

func (remoteService remoteService) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	recorder := httptest.NewRecorder()
	remoteService.service.ServeHTTP(recorder, request)
	writer.WriteHeader(recorder.Code)
	_, _ = writer.Write(recorder.Body.Bytes())
}

// largeRecords returns records with texts of the given size.
func largeRecords(node, count, size int) []messenger.AppendRecord {
	var records []messenger.AppendRecord
	for i := range count {
		records = append(records, messenger.AppendRecord{
			Entry:    messenger.Entry{ID: fmt.Sprintf("%d/%d", node, i), Record: messenger.Publication{Text: make([]byte, size)}},
			Deadline: time.Now().Add(10 * time.Second),
		})
	}
	return records
}

// TestLargeAppendsCrossNarrowLink guards against nodes that give up an append
// half-way and send it again, all of them at once, so that the link to the log stays
// full until the records have expired.
func TestLargeAppendsCrossNarrowLink(t *testing.T) {
	const (
		nodes          = 17
		bytesPerSecond = 60_000_000 / 8 // the link between two regions
		textBytes      = 250 << 10
	)
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		link, service := throttler.New(bytesPerSecond), newService(func(string) string { return "" })
		server := &http.Server{Handler: remoteService{service}}
		var group sync.WaitGroup
		group.Go(func() { _ = server.Serve(link) })
		var mutex sync.Mutex
		failed := 0
		for node := range nodes {
			for stream, records := range map[identifier.Stream][]messenger.AppendRecord{
				identifier.Configuration: largeRecords(node, 1, textBytes),
				identifier.Jobs:          largeRecords(nodes+node, 2, textBytes),
			} {
				group.Go(func() {
					transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
						return link.Dial(ctx, netip.AddrPort{})
					}}
					sink := run(stream, &http.Client{Transport: transport}, anyAddress, appender.NewLimiter(), records, sleepFor(time.Minute))
					transport.CloseIdleConnections()
					mutex.Lock()
					defer mutex.Unlock()
					failed += len(sink.failed)
				})
			}
		}
		time.Sleep(2 * time.Minute)
		_ = server.Close()
		group.Wait()
		c.Check(failed, quicktest.Equals, 0, quicktest.Commentf("records that failed"))
		c.Check(service.recordCounts(), quicktest.HasLen, 3*nodes)
		c.Check(service.posted, quicktest.HasLen, 2*nodes)
		c.Check(link.Sent() < 2*3*nodes*textBytes, quicktest.IsTrue, quicktest.Commentf("%d bytes sent", link.Sent()))
	})
}

// TestReadBackOfLargeAppends guards against a read-back whose page exceeds the size
// limit each time, so that an append that is in the log is reported as failed.
func TestReadBackOfLargeAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		var service *service
		service = newService(func(method string) string {
			if method == http.MethodGet {
				return ""
			}
			service.mutex.Lock()
			defer service.mutex.Unlock()
			for range 20 {
				offset := uint64(len(service.appends)) + 1
				service.appends = append(service.appends, encoder.ReadEntry{Offset: offset, ID: "other", Payload: make([]byte, 2<<20)})
			}
			return "lost"
		})
		sink := run(identifier.Jobs, service, anyAddress, appender.NewLimiter(), records(1, 10*time.Second), sleepFor(time.Minute))
		c.Assert(service.recordCounts()["0"], quicktest.Equals, 1)
		c.Assert(sink.failed, quicktest.HasLen, 0)
	})
}

// TestReadBackContinuesAfterFailure guards against a read-back that begins again at
// the first page after each failed one, and so never reaches the end of the log.
func TestReadBackContinuesAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		reads := 0
		service := newService(func(method string) string {
			if method == http.MethodPost {
				return "lost" // appends two pages, of which the second holds the batch
			}
			if reads++; reads > 1 && reads%2 == 1 {
				return "unavailable"
			}
			return ""
		})
		sink := run(identifier.Jobs, service, anyAddress, appender.NewLimiter(), records(1, 10*time.Second), sleepFor(time.Minute))
		c.Assert(service.recordCounts()["0"], quicktest.Equals, 1)
		c.Assert(sink.failed, quicktest.HasLen, 0)
	})
}

// TestRetriesOfNodesAreSpread guards against nodes that all send their appends again
// at the same moments after the log has refused them.
func TestRetriesOfNodesAreSpread(t *testing.T) {
	const nodes = 34
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		var mutex sync.Mutex
		posted := map[time.Duration]int{}
		startedAt := time.Now()
		service := newService(func(method string) string {
			if method == http.MethodGet {
				return ""
			}
			mutex.Lock()
			defer mutex.Unlock()
			posted[time.Since(startedAt)]++
			return "unavailable"
		})
		var group sync.WaitGroup
		for range nodes {
			group.Go(func() {
				run(identifier.Jobs, service, anyAddress, appender.NewLimiter(), records(1, 10*time.Second), sleepFor(20*time.Second))
			})
		}
		group.Wait()
		most := 0
		for at, count := range posted {
			if at > time.Second {
				most = max(most, count)
			}
		}
		c.Assert(most < nodes/4, quicktest.IsTrue, quicktest.Commentf("%d of %d nodes at the same moment", most, nodes))
	})
}
