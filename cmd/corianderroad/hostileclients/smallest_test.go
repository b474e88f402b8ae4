package hostileclients_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/time/rate"
)

// smallestMachine is the smallest VM of the users' deployments.
var smallestMachine = machine{memoryMB: 160, descriptors: 4100, cpuShare: 0.12}

const (
	// linkBytesPerSecond is the bandwidth of its link in each direction: 2 Mbit/s.
	linkBytesPerSecond = 250_000
	// packetBytes is how much one connection passes over the link before others do.
	packetBytes = 1460
	// throttlePeriod is the time in which a process runs once, for its share of it.
	throttlePeriod = 100 * time.Millisecond
)

// link is the network link of a machine. All connections share its bandwidth.
type link struct {
	c               *quicktest.C
	inward, outward *rate.Limiter
	ctx             context.Context
	group           sync.WaitGroup
}

func newLink(c *quicktest.C) *link {
	ctx, cancel := context.WithCancel(context.Background())
	newLimiter := func() *rate.Limiter { return rate.NewLimiter(linkBytesPerSecond, packetBytes) }
	link := &link{c: c, inward: newLimiter(), outward: newLimiter(), ctx: ctx}
	c.Cleanup(func() {
		cancel()
		link.group.Wait()
	})
	return link
}

// forward returns an address whose connections lead over the link to a target. The bytes that
// clients send there pass the first limiter, the answers the second one.
func (link *link) forward(target netip.AddrPort, requests, answers *rate.Limiter) netip.AddrPort {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	link.c.Assert(err, quicktest.IsNil)
	context.AfterFunc(link.ctx, func() { _ = listener.Close() })
	link.group.Go(func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			link.group.Go(func() { link.relay(accepted, target, requests, answers) })
		}
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// relay passes bytes in both directions until both sides have ended.
func (link *link) relay(client net.Conn, target netip.AddrPort, requests, answers *rate.Limiter) {
	defer client.Close() //nolint:errcheck // nothing is left to send
	connection := dial(link.ctx, target)
	if connection == nil {
		return
	}
	defer connection.Close() //nolint:errcheck // nothing is left to send
	stop := context.AfterFunc(link.ctx, func() {
		_ = client.Close()
		_ = connection.Close()
	})
	defer stop()
	var directions sync.WaitGroup
	directions.Go(func() { link.pass(connection, client, requests) })
	directions.Go(func() { link.pass(client, connection, answers) })
	directions.Wait()
}

// pass copies bytes at the rate of the link, and passes on the end.
func (link *link) pass(to, from net.Conn, limiter *rate.Limiter) {
	packet := make([]byte, packetBytes)
	for {
		count, err := from.Read(packet)
		if count > 0 && limiter.WaitN(link.ctx, count) == nil {
			if _, failure := to.Write(packet[:count]); failure != nil {
				_ = from.Close() // the other direction ends as well
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite() // fails only if the connection is closed
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// throttle lets the process run for a share of the time until the test ends.
func (node *node) throttle(share float64) {
	ctx, cancel := context.WithCancel(context.Background())
	process := node.command.Process
	var group sync.WaitGroup
	group.Go(func() {
		running := time.Duration(share * float64(throttlePeriod))
		for ctx.Err() == nil {
			_ = process.Signal(syscall.SIGSTOP) // fails only if the process has ended
			wait(ctx, throttlePeriod-running)
			_ = process.Signal(syscall.SIGCONT)
			wait(ctx, running)
		}
	})
	node.c.Cleanup(func() {
		cancel()
		group.Wait()
	})
}

// TestLittleProcessorTime guards against bounds that hold only if the process reads, decodes and
// closes as fast as a crowd sends.
func TestLittleProcessorTime(t *testing.T) {
	c := quicktest.New(t)
	node := newNodeOn(c, smallestMachine, newStore(c).Address(), "n1")
	node.throttle(smallestMachine.cpuShare)
	crowd := gather(c, node.front, crowdSize, unfinished(firstKey))
	node.awaitAnswer(firstKey)
	crowd.dismiss()
	node.awaitAnswer(firstKey)
	node.awaitCompletedJob(secondKey)
	node.checkLimits(node.sampler.awaitSample())
}

// TestSmallestMachine guards against a node that a crowd on its narrow link separates from the store
// for good, and against memory that grows meanwhile. A part of the crowd sends bodies that decode into much more, the rest keeps
// connections with the largest bodies for which nothing is reserved.
func TestSmallestMachine(t *testing.T) {
	const smallBodyBytes, decoders, idlers = 4 << 10, 20, 280
	c := quicktest.New(t)
	store, link := newStore(c), newLink(c)
	node := newNodeOn(c, smallestMachine, link.forward(store.Address(), link.outward, link.inward), "n1")
	node.entrance = link.forward(node.front, link.inward, link.outward)
	node.throttle(smallestMachine.cpuShare)

	body := emptySteps()
	gather(c, node.entrance, idlers, sized(firstKey, blank(smallBodyBytes-1), smallBodyBytes))
	crowd := gather(c, node.entrance, decoders, func(int) []string {
		return append([]string{post(firstKey, fmt.Sprintf("Content-Length: %d", len(body)))}, pieces(body, pieceCount)...)
	})
	// The connections take the bytes long before the link has passed them on.
	onLink := time.Duration((idlers*smallBodyBytes+decoders*bodyBytes)/linkBytesPerSecond) * time.Second
	wait(t.Context(), onLink+onLink/2)
	node.awaitAnswer(secondKey)
	crowd.dismiss()
	node.awaitAnswer(firstKey)
	node.awaitCompletedJob(secondKey)
	node.checkLimits(node.sampler.awaitSample())
}
