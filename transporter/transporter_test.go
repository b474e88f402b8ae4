package transporter_test

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/framer"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/transporter"
)

// network joins transporters by pipes and can make connections silent.
type network struct {
	mutex     sync.Mutex
	listeners map[netip.AddrPort]*listener
	opened    []*pipe
}

type listener struct {
	address  netip.AddrPort
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// pipe swallows what is written once it is silent, in both directions.
type pipe struct {
	net.Conn
	silent *atomic.Bool
}

func (pipe *pipe) Write(data []byte) (int, error) {
	if pipe.silent.Load() {
		return len(data), nil
	}
	return pipe.Conn.Write(data)
}

func (listener *listener) Accept() (net.Conn, error) {
	select {
	case connection := <-listener.incoming:
		return connection, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *listener) Close() error {
	listener.once.Do(func() { close(listener.closed) })
	return nil
}

func (listener *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(listener.address) }

func (network *network) listen(address netip.AddrPort) *listener {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	added := &listener{address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	network.listeners[address] = added
	return added
}

func (network *network) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	network.mutex.Lock()
	listener := network.listeners[address]
	network.mutex.Unlock()
	if listener == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	silent := new(atomic.Bool)
	select {
	case listener.incoming <- &pipe{far, silent}:
	case <-listener.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.opened = append(network.opened, &pipe{near, silent})
	return network.opened[len(network.opened)-1], nil
}

// silence makes all open connections silent for good and returns their number.
func (network *network) silence() int {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, pipe := range network.opened {
		pipe.silent.Store(true)
	}
	return len(network.opened)
}

// node is one transporter with a recording sink.
type node struct {
	identity messenger.Identity
	outbox   *buffer.Ring[messenger.SendPeer]
	events   *buffer.Ring[messenger.Event]
	asker    *transporter.Asker
	cancel   context.CancelFunc
	ended    chan error
	mutex    sync.Mutex
	closed   []string
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

func (node *node) Transferred(identifier.Node, identifier.Region, int, int) {}

func (node *node) Closed(_ identifier.Node, reason string) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.closed = append(node.closed, reason)
}

func newKey(secret byte) framer.Key {
	key, err := framer.NewKey(bytes.Repeat([]byte{secret}, 32))
	if err != nil {
		panic(err)
	}
	return key
}

func (network *network) start(name identifier.Node, port uint16, key framer.Key) *node {
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	added := &node{
		identity: messenger.Identity{Node: name, Address: address, Region: "gulf"},
		outbox:   buffer.New[messenger.SendPeer]("outbox", 1024),
		events:   buffer.New[messenger.Event]("events", 4096),
		ended:    make(chan error, 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	added.cancel = cancel
	carrier := transporter.New(added.identity, key, transporter.Parameters{}, network.listen(address), network,
		added.outbox, added, added, added)
	added.asker = transporter.NewAsker(added.identity, key, transporter.Parameters{}, network, added)
	go func() { added.ended <- carrier.Run(ctx) }()
	return added
}

func (node *node) send(to *node, sequence uint64) {
	_ = node.outbox.Offer(messenger.SendPeer{
		To: to.identity.Node, Address: to.identity.Address,
		Message: messenger.Probe{Sequence: sequence, From: messenger.Member{Identity: node.identity, State: messenger.Alive}},
	})
}

// take returns the sequences received and lost so far.
func (node *node) take() (received, lost []uint64) {
	for node.events.Depth() > 0 {
		switch event := (<-node.events.Entries()).(type) {
		case messenger.PeerReceived:
			received = append(received, event.Message.(messenger.Probe).Sequence)
		case messenger.PeerLost:
			lost = append(lost, event.Message.(messenger.Probe).Sequence)
		}
	}
	return received, lost
}

// run runs a test in virtual time with two nodes, and checks that all
// goroutines end together.
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

// TestMessagesArriveInOrder guards against lost, repeated or reordered messages
// on one connection.
func TestMessagesArriveInOrder(t *testing.T) {
	run(t, func(c *quicktest.C, _ *network, first, second *node) {
		var want []uint64
		for sequence := range uint64(200) {
			first.send(second, sequence)
			want = append(want, sequence)
		}
		synctest.Wait()
		received, _ := second.take()
		c.Assert(received, quicktest.DeepEquals, want)
	})
}

// TestSilentConnectionIsReplaced guards against messages that vanish for good
// on a connection that is open and carries nothing any more.
func TestSilentConnectionIsReplaced(t *testing.T) {
	run(t, func(c *quicktest.C, network *network, first, second *node) {
		first.send(second, 1)
		synctest.Wait()
		c.Assert(network.silence(), quicktest.Equals, 1)
		first.send(second, 2)
		time.Sleep(1100 * time.Millisecond)
		first.send(second, 3)
		synctest.Wait()
		received, _ := second.take()
		c.Assert(received, quicktest.DeepEquals, []uint64{1, 3})
		c.Assert(first.closed, quicktest.Contains, "silent")
	})
}

// TestQueryIsAnsweredInBoundedTime guards against a query that waits for a node
// that does not answer.
func TestQueryIsAnsweredInBoundedTime(t *testing.T) {
	run(t, func(c *quicktest.C, _ *network, first, second *node) {
		ask := func(subject string) (querier.Answer, error) {
			return first.asker.Ask(context.Background(), "b", second.identity.Address, querier.Query{Kind: querier.Status, Subject: subject})
		}
		answer, err := ask("alive")
		c.Assert(err, quicktest.IsNil)
		c.Assert(answer.Members, quicktest.DeepEquals, []querier.Member{{Node: "b", State: "alive"}})
		start := time.Now()
		_, err = ask("stuck")
		c.Assert(classifier.Of(err), quicktest.Equals, classifier.NodeUnreachable)
		c.Assert(time.Since(start) <= 1500*time.Millisecond, quicktest.IsTrue)
	})
}
