package assembler

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"corianderroad/authorizer"
	"corianderroad/classifier"
	"corianderroad/gatekeeper"
	"corianderroad/messenger"
	"corianderroad/platform"
	"corianderroad/querier"
	"corianderroad/shedder"
)

// instantBackend accepts every command at once.
type instantBackend struct{}

func (instantBackend) Authorize(_, path, _ string) (authorizer.Admission, *classifier.Error) {
	return authorizer.Admission{Workspace: "w", RelativePath: path[len("/q/"):]}, nil
}

func (instantBackend) Submit(context.Context, messenger.SubmitArrived) *classifier.Error { return nil }

func (instantBackend) Withdraw(context.Context, messenger.WithdrawArrived) *classifier.Error {
	return nil
}

func (instantBackend) Inspect(context.Context, querier.Query) (querier.Answer, error) {
	return querier.Answer{}, nil
}

func (instantBackend) Refresh() bool { return false }

func (instantBackend) ObserveAnswer(string, classifier.Code, time.Duration) {}

func (instantBackend) ObserveShed(string, shedder.Reason) {}

func (instantBackend) ObservePressure(string, shedder.PressureChanged) {}

// newTestGatekeeper returns a gatekeeper whose limits no test reaches.
func newTestGatekeeper() *gatekeeper.Gatekeeper {
	return gatekeeper.New("test", shedder.Limits{Memory: 1 << 30, Connections: 1 << 10}, instantBackend{}, time.Now)
}

// BenchmarkSubmission measures what the front end costs for a job, with connections that
// are used again and with a connection for each job. cpu-ns/op includes the client.
func BenchmarkSubmission(b *testing.B) {
	for _, bodyBytes := range []int{0, 2 << 10, 200 << 10} {
		for _, reuse := range []bool{true, false} {
			b.Run(fmt.Sprintf("padding=%d/reuse=%t", bodyBytes, reuse), func(b *testing.B) {
				backend := instantBackend{}
				frontEnd := &platform.FrontEnd{Authorizer: backend, Commands: backend, Queries: backend, Journal: backend, Observer: backend, Callers: callerFinder{}, Decoder: platform.NewJobDecoder(), Clock: time.Now}
				address := serveForBenchmark(b, frontEnd)
				body := `{"spec":"text","steps":[{"count":1,"cpu":100,"estimateMs":10}]}` + strings.Repeat(" ", bodyBytes)
				text := []byte(fmt.Sprintf("POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: h\r\nAuthorization: Token key\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
				before := processorTime()
				b.ReportAllocs()
				b.ResetTimer()
				sendRepeatedly(b, address, text, reuse)
				b.StopTimer()
				b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
			})
		}
	}
}

func sendRepeatedly(b *testing.B, address netip.AddrPort, text []byte, reuse bool) {
	var connection net.Conn
	var reader *bufio.Reader
	for b.Loop() {
		if connection == nil {
			var err error
			if connection, err = net.Dial("tcp", address.String()); err != nil {
				b.Fatal(err)
			}
			reader = bufio.NewReader(connection)
		}
		if _, err := connection.Write(text); err != nil {
			b.Fatal(err)
		}
		answer, err := http.ReadResponse(reader, nil)
		if err != nil || answer.StatusCode != http.StatusOK {
			b.Fatal(answer, err)
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		if !reuse {
			_ = connection.Close()
			connection = nil
		}
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // never fails for the own process
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// serveForBenchmark serves requests on a loopback address until the benchmark ends.
func serveForBenchmark(b *testing.B, handler http.Handler) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	keeper := newTestGatekeeper()
	go func() { _ = keeper.Run(ctx) }()
	server := newServer(netip.AddrPort{}, keeper, handler)
	ended := make(chan struct{})
	go func() {
		_ = server.serve(ctx, listener)
		close(ended)
	}()
	b.Cleanup(func() {
		cancel()
		<-ended
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}
