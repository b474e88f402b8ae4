package follower_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/buffer"
	"corianderroad/encoder"
	"corianderroad/follower"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/throttler"
)

// node is a follower whose reads cross a shared link.
type node struct {
	follower  *follower.Follower
	transport *http.Transport
	sink      sink
}

func newNode(link *throttler.Link, stream identifier.Stream, parameters follower.Parameters) *node {
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return link.Dial(ctx, netip.AddrPort{})
	}}
	node := &node{transport: transport, sink: make(sink, 4096)}
	advanced := buffer.New[messenger.StreamAdvanced]("advanced", 4)
	node.follower = follower.New(stream, anyAddress, &http.Client{Transport: transport}, node.sink, advanced, parameters)
	return node
}

// countReads takes the delivered events and returns how many of them are appends.
func (node *node) countReads() int {
	count := 0
	for len(node.sink) > 0 {
		if _, ok := (<-node.sink).(messenger.AppendRead); ok {
			count++
		}
	}
	return count
}

// serve runs nodes that read the service over the link for the given time.
func serve(link *throttler.Link, service *service, nodes []*node, span time.Duration) {
	server := &http.Server{Handler: service}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(link) })
	for _, node := range nodes {
		group.Go(func() { _ = node.follower.Run(ctx) })
	}
	time.Sleep(span)
	cancel()
	_ = server.Close()
	for _, node := range nodes {
		node.transport.CloseIdleConnections()
	}
	group.Wait()
	time.Sleep(10 * time.Second) // the segments that wait for the link
}

// largePayload returns the payload of an append with a text of the given size.
func largePayload(size int) []byte {
	payload, _ := encoder.MarshalBatch([]messenger.Entry{{ID: "text", Record: messenger.Publication{Text: make([]byte, size)}}})
	return payload
}

const (
	nodeCount      = 17
	bytesPerSecond = 60_000_000 / 8 // the link between two regions
	largestText    = 192 << 10
)

// serverParameters are those with which a server follows the log.
var serverParameters = follower.Parameters{PollTimeout: 2 * time.Second, UnavailableAfter: 4 * time.Second}

// TestLargePageReachesAllNodesOverNarrowLink guards against nodes that give up the
// read of a large page half-way and begin again, all of them at once, so that the
// link to the log stays full and no read ever ends.
func TestLargePageReachesAllNodesOverNarrowLink(t *testing.T) {
	const appends = 12 // 3.1 MB in base64
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		link, service := throttler.New(bytesPerSecond), newService()
		for range appends {
			service.add(largePayload(largestText))
		}
		nodes := make([]*node, nodeCount)
		for index := range nodes {
			nodes[index] = newNode(link, identifier.Configuration, serverParameters)
		}
		serve(link, service, nodes, time.Minute)
		incomplete := 0
		for _, node := range nodes {
			if node.countReads() != appends {
				incomplete++
			}
		}
		c.Assert(incomplete, quicktest.Equals, 0, quicktest.Commentf("nodes without all appends after 1 min"))
	})
}

// TestStartIsFoundOverNarrowLink guards against a search for the first offset that
// begins again whenever its reads together take longer than one read may.
func TestStartIsFoundOverNarrowLink(t *testing.T) {
	const appends = 256 // a search of 9 reads
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		link, service := throttler.New(bytesPerSecond), newService()
		content := largePayload(largestText)
		for range appends {
			service.add(content)
			time.Sleep(6 * time.Second)
		}
		parameters := serverParameters
		parameters.StartAge = time.Minute
		nodes := make([]*node, nodeCount)
		for index := range nodes {
			nodes[index] = newNode(link, identifier.Intents, parameters)
		}
		serve(link, service, nodes, 40*time.Second)
		late := 0
		for _, node := range nodes {
			if node.countReads() == 0 {
				late++
			}
		}
		c.Assert(late, quicktest.Equals, 0, quicktest.Commentf("nodes without an append after 40 s"))
	})
}

// TestLargeAnswerIsNotRequestedAgain guards against a follower that requests as many
// large appends as before after each answer above the size limit, and so discards
// most of what it receives.
func TestLargeAnswerIsNotRequestedAgain(t *testing.T) {
	const (
		appends   = 96       // 25 MB in base64
		sizeLimit = 16 << 20 // of an answer
	)
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		link, service := throttler.New(1<<30), newService()
		content := largePayload(largestText)
		for range appends {
			service.add(content)
		}
		reader := newNode(link, identifier.Configuration, serverParameters)
		serve(link, service, []*node{reader}, time.Minute)
		c.Assert(reader.countReads(), quicktest.Equals, appends)
		// A limit of 256 appends takes 2 answers to fall to one that fits.
		wasted := (link.Received() - appends*len(content)*4/3) / sizeLimit
		c.Assert(wasted <= 2, quicktest.IsTrue, quicktest.Commentf("received %d answers of the size limit in vain", wasted))
	})
}
