package gatekeeper_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/gatekeeper"
	"corianderroad/querier"
	"corianderroad/runner"
	"corianderroad/shedder"
)

// testTimeout limits the duration of a test. It is not a performance target.
const testTimeout = 30 * time.Second

// counter counts the clients that are turned away.
type counter struct{ shed, changes atomic.Int64 }

func (counter *counter) ObserveShed(string, shedder.Reason) { counter.shed.Add(1) }

func (counter *counter) ObservePressure(string, shedder.PressureChanged) { counter.changes.Add(1) }

// start runs a gatekeeper and a listener for it. The function that it returns stops the
// gatekeeper.
func start(c *quicktest.C, limits shedder.Limits) (*gatekeeper.Gatekeeper, *gatekeeper.Listener, *counter, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	inner, err := gatekeeper.Listen(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
	c.Assert(err, quicktest.IsNil)
	counter := &counter{}
	keeper := gatekeeper.New("test", limits, counter, time.Now)
	ended := make(chan struct{})
	go func() {
		_ = keeper.Run(ctx)
		close(ended)
	}()
	c.Cleanup(func() {
		cancel()
		_ = inner.Close() // the test may have closed it
	})
	return keeper, keeper.NewListener(inner, testTimeout), counter, func() {
		cancel()
		<-ended
	}
}

// connect connects a client and returns both ends.
func connect(c *quicktest.C, listener *gatekeeper.Listener) (net.Conn, *gatekeeper.Conn) {
	client, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { _ = client.Close() }) // the test may have closed it
	accepted, err := listener.Accept()
	c.Assert(err, quicktest.IsNil)
	return client, gatekeeper.FromContext(gatekeeper.ConnContext(context.Background(), accepted))
}

func gauge(c *quicktest.C, keeper *gatekeeper.Gatekeeper, name string) float64 {
	answers := make(chan querier.Answer, 1)
	c.Assert(keeper.Queries().Offer(runner.QueryRequest{Answer: answers}), quicktest.IsNil)
	for _, gauge := range (<-answers).Gauges {
		if gauge.Name == name {
			return gauge.Value
		}
	}
	c.Fatalf("no gauge %s", name)
	return 0
}

// TestNewConnectionClosesAnIdleOne guards against connections beyond the limit, and
// against a new client that idle ones shut out.
func TestNewConnectionClosesAnIdleOne(t *testing.T) {
	c := quicktest.New(t)
	keeper, listener, counter, _ := start(c, shedder.Limits{Memory: 1 << 20, Connections: 8})
	idle, _ := connect(c, listener)
	for range 8 {
		connect(c, listener)
	}
	c.Assert(idle.SetReadDeadline(time.Now().Add(testTimeout)), quicktest.IsNil)
	_, err := idle.Read(make([]byte, 1))
	c.Assert(err, quicktest.ErrorMatches, "EOF|.*connection reset by peer")
	c.Assert(gauge(c, keeper, "client-connections"), quicktest.Equals, 8.0)
	c.Assert([]int64{counter.shed.Load(), counter.changes.Load()}, quicktest.DeepEquals, []int64{1, 1})
}

// TestEndOfWorkIsProgress guards against a connection that is closed just before its answer
// is written, because the node has worked on its request for longer than others were idle.
func TestEndOfWorkIsProgress(t *testing.T) {
	c := quicktest.New(t)
	_, listener, _, _ := start(c, shedder.Limits{Memory: 1 << 20, Connections: 8})
	_, busy := connect(c, listener)
	busy.SetBusy(true)
	for range 7 {
		connect(c, listener)
	}
	busy.SetBusy(false)
	connect(c, listener)
	c.Assert(busy.SetReadDeadline(time.Now().Add(testTimeout)), quicktest.IsNil, quicktest.Commentf("the connection is closed"))
}

// TestMemoryIsReturnedWithTheConnection guards against memory that stays reserved for a
// connection whose handler has ended.
func TestMemoryIsReturnedWithTheConnection(t *testing.T) {
	c := quicktest.New(t)
	keeper, listener, _, _ := start(c, shedder.Limits{Memory: 100, Connections: 8})
	_, first := connect(c, listener)
	_, second := connect(c, listener)
	first.Identify("a")
	c.Assert(first.Reserve(100) == nil, quicktest.IsTrue)
	first.SetBusy(true)
	c.Assert(classifier.CodeOf(second.Reserve(1)), quicktest.Equals, classifier.MemoryShort)
	_, err := second.Read(make([]byte, 1))
	c.Assert(err, quicktest.ErrorMatches, ".*timeout", quicktest.Commentf("the rest of a refused request is not read"))
	gatekeeper.ConnState(first, http.StateClosed)
	gatekeeper.ConnState(second, http.StateClosed)
	_, third := connect(c, listener)
	c.Assert(third.Reserve(60) == nil, quicktest.IsTrue)
	third.Release(10)
	c.Assert(gauge(c, keeper, "client-memory-bytes"), quicktest.Equals, 50.0)
}

// TestStoppedGatekeeperBlocksNobody guards against a process that does not end because a
// connection waits for the gatekeeper.
func TestStoppedGatekeeperBlocksNobody(t *testing.T) {
	c := quicktest.New(t)
	_, listener, _, stop := start(c, shedder.Limits{Memory: 100, Connections: 8})
	_, conn := connect(c, listener)
	stop()
	c.Assert(classifier.CodeOf(conn.Reserve(1)), quicktest.Equals, classifier.Leaving)
	for range 1000 {
		conn.Release(1)
	}
	c.Assert(listener.Close(), quicktest.IsNil)
	_, err := listener.Accept()
	c.Assert(err, quicktest.IsNotNil)
}
