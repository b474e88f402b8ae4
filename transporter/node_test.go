package transporter_test

import (
	"bytes"
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/buffer"
	"corianderroad/framer"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/transporter"
)

// node is one transporter together with its sink, responder and meter.
type node struct {
	identity     messenger.Identity
	outbox       *buffer.Ring[messenger.SendPeer]
	events       *buffer.Ring[messenger.Event]
	queryClient  *transporter.QueryClient
	cancel       context.CancelFunc
	ended        chan error
	mutex        sync.Mutex
	closeReasons []string
	refused      int
}

func (node *node) Deliver(ctx context.Context, event messenger.Event) error {
	return node.events.Put(ctx, event)
}

func (node *node) Respond(ctx context.Context, query querier.Query) (querier.Answer, error) {
	if query.Subject == "stuck" {
		<-ctx.Done()
		return querier.Answer{}, ctx.Err()
	}
	return querier.Answer{Members: []querier.Member{{Node: node.identity.Node, State: query.Subject}}}, nil
}

func (node *node) CountBytes(identifier.Node, identifier.Region, int, int) {}

func (node *node) CountClosed(_ identifier.Node, reason string) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.closeReasons = append(node.closeReasons, reason)
}

func (node *node) CountRefused(identifier.Node) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.refused++
}

func (node *node) refusedCount() int {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.refused
}

func (node *node) closedCount(reason string) int {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	count := 0
	for _, closeReason := range node.closeReasons {
		if closeReason == reason {
			count++
		}
	}
	return count
}

func address(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
}

// advance advances the virtual time of the synctest bubble.
func advance(duration time.Duration) {
	time.Sleep(duration)
	synctest.Wait()
}

func newKey(secret byte) framer.Key {
	key, err := framer.NewKey(bytes.Repeat([]byte{secret}, 32))
	if err != nil {
		panic(err)
	}
	return key
}

func (network *network) start(name identifier.Node, port uint16, key framer.Key) *node {
	address := address(port)
	added := &node{
		identity: messenger.Identity{Node: name, Address: address, Region: "gulf"},
		outbox:   buffer.New[messenger.SendPeer]("outbox", 1024),
		events:   buffer.New[messenger.Event]("events", 64),
		ended:    make(chan error, 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	added.cancel = cancel
	sender := transporter.New(added.identity, key, transporter.Parameters{QueueCapacity: 8}, network.listen(address), network,
		added.outbox, added, added, added)
	added.queryClient = transporter.NewQueryClient(added.identity, key, transporter.Parameters{}, network, added)
	go func() { added.ended <- sender.Run(ctx) }()
	return added
}

func (node *node) send(to *node, sequence uint64) {
	_ = node.outbox.Offer(messenger.SendPeer{
		To: to.identity.Node, Address: to.identity.Address,
		Message: messenger.Probe{Sequence: sequence, From: messenger.Member{Identity: node.identity, State: messenger.Alive}},
	})
}

// drainEvents removes the queued events and returns the sequence numbers of the
// messages that were received and of those that failed.
func (node *node) drainEvents() (received, failed []uint64) {
	for node.events.Depth() > 0 {
		switch event := (<-node.events.Entries()).(type) {
		case messenger.PeerReceived:
			received = append(received, event.Message.(messenger.Probe).Sequence)
		case messenger.PeerSendFailed:
			failed = append(failed, event.Message.(messenger.Probe).Sequence)
		}
	}
	return received, failed
}

// run runs a test in virtual time with two nodes, and checks that both nodes and
// all goroutines end.
func run(t *testing.T, test func(c *quicktest.C, network *network, first, second *node)) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		network := &network{listeners: make(map[netip.AddrPort]*listener)}
		first, second := network.start("a", 1, newKey(1)), network.start("b", 2, newKey(1))
		test(c, network, first, second)
		for _, node := range []*node{first, second} {
			node.cancel()
			c.Assert(<-node.ended, quicktest.Equals, context.Canceled)
		}
	})
}
