package transporter_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/buffer"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/throttler"
	"corianderroad/transporter"
)

// startOn starts a node whose connections cross a link. Only the node that listens at
// the link accepts connections.
func startOn(link *throttler.Link, name identifier.Node, port uint16, isListening bool) *node {
	added := &node{
		identity: messenger.Identity{Node: name, Address: address(port), Region: "gulf"},
		outbox:   buffer.New[messenger.SendPeer]("outbox", 64),
		events:   buffer.New[messenger.Event]("events", 64),
		ended:    make(chan error, 1),
	}
	listener := throttler.New(1) // accepts nothing
	if isListening {
		listener = link
	}
	ctx, cancel := context.WithCancel(context.Background())
	added.cancel = cancel
	sender := transporter.New(added.identity, newKey(1), transporter.Parameters{}, listener, link, added.outbox, added, added, added)
	go func() { added.ended <- sender.Run(ctx) }()
	return added
}

// TestLargeMessagesCrossNarrowLink guards against a connection that is closed while a
// large message crosses a full link, because the message is not written within a
// fixed time or because the answer to a keep-alive waits behind it. The message would
// be requested again, by all nodes at once and for ever.
func TestLargeMessagesCrossNarrowLink(t *testing.T) {
	const (
		nodes          = 17
		bytesPerSecond = 60_000_000 / 8 // the link between two regions
		textBytes      = 250 << 10
	)
	for _, texts := range []int{2, 3} {
		synctest.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			link := throttler.New(bytesPerSecond)
			source := startOn(link, "source", 1, true)
			receivers := make([]*node, nodes)
			for index := range receivers {
				receivers[index] = startOn(link, identifier.Node(fmt.Sprintf("n%d", index)), uint16(2+index), false)
				receivers[index].send(source, 1)
			}
			advance(100 * time.Millisecond)
			response := messenger.EntriesResponse{Stream: identifier.Configuration}
			for offset := range texts {
				response.Appends = append(response.Appends, messenger.AppendRead{
					Stream: identifier.Configuration, Offset: identifier.Offset(offset + 1),
					Entries: []messenger.Entry{{ID: "text", Record: messenger.Publication{Text: make([]byte, textBytes)}}},
				})
			}
			for _, receiver := range receivers {
				_ = source.outbox.Offer(messenger.SendPeer{To: receiver.identity.Node, Address: receiver.identity.Address, Message: response})
				receiver.send(source, 2) // is followed by a keep-alive
			}
			advance(30 * time.Second)
			received, failed := 0, 0
			for _, receiver := range receivers {
				for receiver.events.Depth() > 0 {
					if _, ok := (<-receiver.events.Entries()).(messenger.PeerReceived); ok {
						received++
					}
				}
				failed += receiver.closedCount("silent")
			}
			failed += source.closedCount("silent") + source.closedCount("broken")
			for _, node := range append(receivers, source) {
				node.cancel()
			}
			_ = link.Close()
			for _, node := range append(receivers, source) {
				<-node.ended
			}
			c.Check(received, quicktest.Equals, nodes, quicktest.Commentf("received messages of %d texts", texts))
			c.Check(failed, quicktest.Equals, 0, quicktest.Commentf("connections closed with messages of %d texts", texts))
			time.Sleep(10 * time.Second) // the segments that wait for the link
		})
	}
}
