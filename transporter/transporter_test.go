package transporter_test

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/framer"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/transporter"
)

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

func (node *node) count(reason string) int {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	count := 0
	for _, closed := range node.closed {
		if closed == reason {
			count++
		}
	}
	return count
}

func address(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
}

// advance advances the virtual time of the test's bubble.
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
	carrier := transporter.New(added.identity, key, transporter.Parameters{Queue: 8}, network.listen(address), network,
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
		case messenger.PeerSendFailed:
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
		for sequence := range uint64(8) {
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
		network.silence()
		first.send(second, 2)
		advance(1100 * time.Millisecond)
		first.send(second, 3)
		synctest.Wait()
		received, _ := second.take()
		c.Assert(received, quicktest.DeepEquals, []uint64{1, 3})
		c.Assert(first.count("silent"), quicktest.Equals, 1)
	})
}

// TestRefusedMessageIsReturned guards against a message that is neither
// delivered nor returned: the node is gone, another one answers at its address,
// it holds another key, or its ring is full.
func TestRefusedMessageIsReturned(t *testing.T) {
	run(t, func(c *quicktest.C, network *network, first, second *node) {
		stranger := network.start("c", 3, newKey(2))
		gone := &node{identity: messenger.Identity{Node: "d", Address: address(4)}}
		renamed := &node{identity: messenger.Identity{Node: "e", Address: second.identity.Address}}
		for sequence, to := range []*node{gone, renamed, stranger} {
			first.send(to, uint64(sequence))
			synctest.Wait()
			received, lost := first.take()
			c.Check(received, quicktest.HasLen, 0)
			c.Check(lost, quicktest.DeepEquals, []uint64{uint64(sequence)})
		}
		stuck := network.listen(address(5))
		for sequence := range uint64(12) {
			first.send(&node{identity: messenger.Identity{Node: "f", Address: stuck.address}}, sequence)
			synctest.Wait()
		}
		_, lost := first.take()
		c.Check(lost, quicktest.DeepEquals, []uint64{9, 10, 11})
		advance(time.Second)
		_, lost = first.take()
		c.Check(lost, quicktest.DeepEquals, []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8})
		stranger.cancel()
		c.Check(<-stranger.ended, quicktest.Equals, context.Canceled)
	})
}

// TestDiallingBacksOff guards against a node that dials a dead one for each
// message, and against a pause that grows beyond 2 s.
func TestDiallingBacksOff(t *testing.T) {
	run(t, func(c *quicktest.C, network *network, first, _ *node) {
		gone := &node{identity: messenger.Identity{Node: "d", Address: address(4)}}
		var lost []uint64
		for range 200 {
			first.send(gone, 1)
			advance(100 * time.Millisecond)
			_, more := first.take()
			lost = append(lost, more...)
		}
		// 20 s hold a few short pauses and pauses of 1 s to 2 s.
		c.Check(first.count("dial-failed") >= 10, quicktest.IsTrue)
		c.Check(first.count("dial-failed") <= 24, quicktest.IsTrue)
		c.Check(lost, quicktest.HasLen, 200)
		back := network.start("d", 4, newKey(1))
		advance(2 * time.Second)
		first.send(gone, 2)
		synctest.Wait()
		received, _ := back.take()
		c.Check(received, quicktest.DeepEquals, []uint64{2})
		back.cancel()
		<-back.ended
	})
}

// TestConnectionsAreBounded guards against connections that pile up between two
// nodes or stay open unused.
func TestConnectionsAreBounded(t *testing.T) {
	run(t, func(c *quicktest.C, network *network, first, second *node) {
		for round := range uint64(40) {
			if round < 20 {
				second.send(first, round)
			}
			first.send(second, round)
			advance(500 * time.Millisecond)
			if round%4 == 0 {
				network.silence()
			}
			// Two connections have two ends at each of the two nodes.
			c.Assert(network.open() <= 4, quicktest.IsTrue)
		}
		advance(2 * time.Second)
		first.send(second, 50)
		advance(time.Minute)
		c.Check(network.open(), quicktest.Equals, 0)
		c.Check(first.count("unused"), quicktest.Equals, 1)
		first.take()
		second.take()
		first.send(second, 99)
		synctest.Wait()
		received, _ := second.take()
		c.Check(received, quicktest.DeepEquals, []uint64{99})
	})
}

// TestEachMessageHasOneFate guards against a message that is delivered twice or
// both delivered and returned, whatever happens to connections and processes.
func TestEachMessageHasOneFate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 60).Draw(rt, "steps")
		run(t, func(c *quicktest.C, network *network, first, second *node) {
			fates, sequence := make(map[uint64]int), uint64(0)
			look := func() {
				received, _ := second.take()
				_, lost := first.take()
				for _, of := range append(received, lost...) {
					fates[of]++
				}
			}
			for _, step := range steps {
				switch step {
				case 0:
					network.silence()
				case 1:
					network.cut()
				case 2:
					advance(time.Second)
				default:
					first.send(second, sequence)
					sequence++
					advance(time.Duration(step) * time.Millisecond)
				}
				look()
			}
			// The first message may go to a silent connection, and replaces it.
			for range 2 {
				sequence++
				first.send(second, sequence)
				advance(3 * time.Second)
				look()
			}
			for of, count := range fates {
				c.Assert(count, quicktest.Equals, 1, quicktest.Commentf("message %d", of))
			}
			c.Assert(fates[sequence], quicktest.Equals, 1, quicktest.Commentf("steps %v", steps))
		})
	})
}

// TestStalledReaderLosesNothing guards against a message that vanishes when the
// other node stops reading: it is delivered late or returned.
func TestStalledReaderLosesNothing(t *testing.T) {
	run(t, func(c *quicktest.C, _ *network, first, second *node) {
		for range cap(second.events.Entries()) {
			c.Assert(second.events.Offer(messenger.Tick{}), quicktest.IsNil)
		}
		const sent = 50
		fates := make(map[uint64]int)
		look := func(sequences []uint64) {
			for _, sequence := range sequences {
				fates[sequence]++
			}
		}
		for sequence := range uint64(sent) {
			first.send(second, sequence)
			advance(200 * time.Millisecond)
			_, lost := first.take()
			look(lost)
		}
		c.Check(len(fates) > 0, quicktest.IsTrue)
		for range 10 {
			received, _ := second.take()
			_, lost := first.take()
			look(append(received, lost...))
			advance(time.Second)
		}
		c.Check(fates, quicktest.HasLen, sent)
		for sequence, count := range fates {
			c.Check(count, quicktest.Equals, 1, quicktest.Commentf("message %d", sequence))
		}
	})
}

// TestQueryIsAnsweredInBoundedTime guards against a query that waits for a node
// that does not answer.
func TestQueryIsAnsweredInBoundedTime(t *testing.T) {
	run(t, func(c *quicktest.C, network *network, first, second *node) {
		ask := func(subject string) (querier.Answer, error) {
			return first.asker.Ask(context.Background(), "b", second.identity.Address, querier.Query{Kind: querier.Status, Subject: subject})
		}
		answer, err := ask("alive")
		c.Assert(err, quicktest.IsNil)
		c.Assert(answer.Members, quicktest.DeepEquals, []querier.Member{{Node: "b", State: "alive"}})
		start := time.Now()
		time.AfterFunc(100*time.Millisecond, network.silence)
		_, err = ask("stuck")
		c.Assert(classifier.CodeOf(err), quicktest.Equals, classifier.NodeUnreachable)
		c.Assert(time.Since(start) <= 1500*time.Millisecond, quicktest.IsTrue)
		start = time.Now()
		members := []messenger.Identity{second.identity}
		for port := range uint16(600) {
			members = append(members, messenger.Identity{Node: "gone", Address: network.listen(address(1000 + port)).address})
		}
		replies := first.asker.AskAll(context.Background(), members, querier.Query{Kind: querier.Status})
		c.Assert(time.Since(start) <= 1500*time.Millisecond, quicktest.IsTrue)
		c.Assert(replies[0].Err, quicktest.IsNil)
		for _, reply := range replies[1:] {
			c.Assert(classifier.CodeOf(reply.Err), quicktest.Equals, classifier.NodeUnreachable)
		}
	})
}

// TestMessagesAndQueriesCrossTCP guards against what pipes hide: real sockets,
// which close each direction on its own.
func TestMessagesAndQueriesCrossTCP(t *testing.T) {
	c := quicktest.New(t)
	group, ctx := errgroup.WithContext(t.Context())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var nodes []*node
	for _, name := range []identifier.Node{"a", "b"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, quicktest.IsNil)
		added := &node{
			identity: messenger.Identity{Node: name, Address: listener.Addr().(*net.TCPAddr).AddrPort()},
			outbox:   buffer.New[messenger.SendPeer]("outbox", 8),
			events:   buffer.New[messenger.Event]("events", 8),
		}
		parameters := transporter.Parameters{IdleTimeout: 10 * time.Millisecond}
		added.asker = transporter.NewAsker(added.identity, newKey(1), parameters, transporter.TCP{}, added)
		carrier := transporter.New(added.identity, newKey(1), parameters, listener, transporter.TCP{}, added.outbox, added, added, added)
		group.Go(func() error { return carrier.Run(ctx) })
		nodes = append(nodes, added)
	}
	// With this idle time most messages need a new connection.
	for sequence := range uint64(50) {
		nodes[0].send(nodes[1], sequence)
		event := <-nodes[1].events.Entries()
		c.Assert(event.(messenger.PeerReceived).Message.(messenger.Probe).Sequence, quicktest.Equals, sequence)
		if sequence%10 == 0 {
			_, err := nodes[1].asker.Ask(ctx, "a", nodes[0].identity.Address, querier.Query{Kind: querier.Status})
			c.Assert(err, quicktest.IsNil)
		}
	}
	cancel()
	c.Assert(group.Wait(), quicktest.Equals, context.Canceled)
}
