package transporter_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/transporter"
)

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
		received, _ := second.drainEvents()
		c.Assert(received, quicktest.DeepEquals, want)
	})
}

// TestUnresponsiveConnectionIsReplaced guards against messages that are lost
// permanently on a connection that is open but no longer transfers data.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	run(t, func(c *quicktest.C, network *network, first, second *node) {
		first.send(second, 1)
		synctest.Wait()
		network.makeUnresponsive()
		first.send(second, 2)
		advance(1100 * time.Millisecond)
		first.send(second, 3)
		synctest.Wait()
		received, _ := second.drainEvents()
		c.Assert(received, quicktest.DeepEquals, []uint64{1, 3})
		c.Assert(first.closedCount("silent"), quicktest.Equals, 1)
	})
}

// TestUndeliverableMessageIsReportedAsFailed guards against a message that is
// neither delivered nor reported as failed: the node has stopped, another one
// answers at its address, it has another key, or its ring is full.
func TestUndeliverableMessageIsReportedAsFailed(t *testing.T) {
	run(t, func(c *quicktest.C, network *network, first, second *node) {
		otherKeyNode := network.start("c", 3, newKey(2))
		stopped := &node{identity: messenger.Identity{Node: "d", Address: address(4)}}
		renamed := &node{identity: messenger.Identity{Node: "e", Address: second.identity.Address}}
		for sequence, to := range []*node{stopped, renamed, otherKeyNode} {
			first.send(to, uint64(sequence))
			synctest.Wait()
			received, failed := first.drainEvents()
			c.Check(received, quicktest.HasLen, 0)
			c.Check(failed, quicktest.DeepEquals, []uint64{uint64(sequence)})
		}
		unresponsive := network.listen(address(5))
		for sequence := range uint64(12) {
			first.send(&node{identity: messenger.Identity{Node: "f", Address: unresponsive.address}}, sequence)
			synctest.Wait()
		}
		_, failed := first.drainEvents()
		c.Check(failed, quicktest.DeepEquals, []uint64{9, 10, 11})
		advance(time.Second)
		_, failed = first.drainEvents()
		c.Check(failed, quicktest.DeepEquals, []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8})
		otherKeyNode.cancel()
		c.Check(<-otherKeyNode.ended, quicktest.Equals, context.Canceled)
	})
}

// TestDiallingBacksOff guards against a node that dials a dead node for each
// message, and against a retry delay that grows beyond 2 s.
func TestDiallingBacksOff(t *testing.T) {
	run(t, func(c *quicktest.C, network *network, first, _ *node) {
		stopped := &node{identity: messenger.Identity{Node: "d", Address: address(4)}}
		var failed []uint64
		for range 200 {
			first.send(stopped, 1)
			advance(100 * time.Millisecond)
			_, newlyFailed := first.drainEvents()
			failed = append(failed, newlyFailed...)
		}
		// 20 s contain a few short delays and delays of 1 s to 2 s.
		c.Check(first.closedCount("dial-failed") >= 10, quicktest.IsTrue)
		c.Check(first.closedCount("dial-failed") <= 24, quicktest.IsTrue)
		c.Check(failed, quicktest.HasLen, 200)
		restarted := network.start("d", 4, newKey(1))
		advance(2 * time.Second)
		first.send(stopped, 2)
		synctest.Wait()
		received, _ := restarted.drainEvents()
		c.Check(received, quicktest.DeepEquals, []uint64{2})
		restarted.cancel()
		<-restarted.ended
	})
}

// TestConnectionsAreBounded guards against connections that accumulate between two
// nodes or stay open while idle.
func TestConnectionsAreBounded(t *testing.T) {
	run(t, func(c *quicktest.C, network *network, first, second *node) {
		for round := range uint64(40) {
			if round < 20 {
				second.send(first, round)
			}
			first.send(second, round)
			advance(500 * time.Millisecond)
			if round%4 == 0 {
				network.makeUnresponsive()
			}
			// Two connections have two ends at each of the two nodes.
			c.Assert(network.openEnds() <= 4, quicktest.IsTrue)
		}
		advance(2 * time.Second)
		first.send(second, 50)
		advance(time.Minute)
		c.Check(network.openEnds(), quicktest.Equals, 0)
		c.Check(first.closedCount("unused"), quicktest.Equals, 1)
		first.drainEvents()
		second.drainEvents()
		first.send(second, 99)
		synctest.Wait()
		received, _ := second.drainEvents()
		c.Check(received, quicktest.DeepEquals, []uint64{99})
	})
}

// TestEachMessageHasOneResult guards against a message that is delivered twice, or
// both delivered and reported as failed, when connections become unresponsive or
// break.
func TestEachMessageHasOneResult(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 60).Draw(rt, "steps")
		run(t, func(c *quicktest.C, network *network, first, second *node) {
			results, sequence := make(map[uint64]int), uint64(0)
			countResults := func() {
				received, _ := second.drainEvents()
				_, failed := first.drainEvents()
				for _, sequence := range append(received, failed...) {
					results[sequence]++
				}
			}
			for _, step := range steps {
				switch step {
				case 0:
					network.makeUnresponsive()
				case 1:
					network.breakConnections()
				case 2:
					advance(time.Second)
				default:
					first.send(second, sequence)
					sequence++
					advance(time.Duration(step) * time.Millisecond)
				}
				countResults()
			}
			// The first message may be written to an unresponsive connection, which is
			// then replaced.
			for range 2 {
				sequence++
				first.send(second, sequence)
				advance(3 * time.Second)
				countResults()
			}
			for sequence, count := range results {
				c.Assert(count, quicktest.Equals, 1, quicktest.Commentf("message %d", sequence))
			}
			c.Assert(results[sequence], quicktest.Equals, 1, quicktest.Commentf("steps %v", steps))
		})
	})
}

// TestStalledReaderLosesNoMessage guards against a message that is lost when the
// other node stops reading: it must be delivered late or reported as failed.
func TestStalledReaderLosesNoMessage(t *testing.T) {
	run(t, func(c *quicktest.C, _ *network, first, second *node) {
		for range cap(second.events.Entries()) {
			c.Assert(second.events.Offer(messenger.Tick{}), quicktest.IsNil)
		}
		const sent = 50
		results := make(map[uint64]int)
		countResults := func(sequences []uint64) {
			for _, sequence := range sequences {
				results[sequence]++
			}
		}
		for sequence := range uint64(sent) {
			first.send(second, sequence)
			advance(200 * time.Millisecond)
			_, failed := first.drainEvents()
			countResults(failed)
		}
		c.Check(len(results) > 0, quicktest.IsTrue)
		for range 10 {
			received, _ := second.drainEvents()
			_, failed := first.drainEvents()
			countResults(append(received, failed...))
			advance(time.Second)
		}
		c.Check(results, quicktest.HasLen, sent)
		for sequence, count := range results {
			c.Check(count, quicktest.Equals, 1, quicktest.Commentf("message %d", sequence))
		}
	})
}

// TestQueryIsAnsweredInBoundedTime guards against a query that waits for a node
// that does not answer.
func TestQueryIsAnsweredInBoundedTime(t *testing.T) {
	run(t, func(c *quicktest.C, network *network, first, second *node) {
		query := func(subject string) (querier.Answer, error) {
			return first.queryClient.Query(context.Background(), "b", second.identity.Address, querier.Query{Kind: querier.Status, Subject: subject})
		}
		answer, err := query("alive")
		c.Assert(err, quicktest.IsNil)
		c.Assert(answer.Members, quicktest.DeepEquals, []querier.Member{{Node: "b", State: "alive"}})
		start := time.Now()
		time.AfterFunc(100*time.Millisecond, network.makeUnresponsive)
		_, err = query("stuck")
		c.Assert(classifier.CodeOf(err), quicktest.Equals, classifier.NodeUnreachable)
		c.Assert(time.Since(start) <= 1500*time.Millisecond, quicktest.IsTrue)
		start = time.Now()
		members := []messenger.Identity{second.identity}
		for port := range uint16(600) {
			members = append(members, messenger.Identity{Node: "gone", Address: network.listen(address(1000 + port)).address})
		}
		replies := first.queryClient.QueryAll(context.Background(), members, querier.Query{Kind: querier.Status})
		c.Assert(time.Since(start) <= 1500*time.Millisecond, quicktest.IsTrue)
		c.Assert(replies[0].Err, quicktest.IsNil)
		for _, reply := range replies[1:] {
			c.Assert(classifier.CodeOf(reply.Err), quicktest.Equals, classifier.NodeUnreachable)
		}
	})
}

// TestMessagesAndQueriesOverTCP guards against faults that pipes hide: real sockets
// close each direction separately.
func TestMessagesAndQueriesOverTCP(t *testing.T) {
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
		added.queryClient = transporter.NewQueryClient(added.identity, newKey(1), parameters, transporter.TCP{}, added)
		sender := transporter.New(added.identity, newKey(1), parameters, listener, transporter.TCP{}, added.outbox, added, added, added)
		group.Go(func() error { return sender.Run(ctx) })
		nodes = append(nodes, added)
	}
	// With this idle timeout most messages need a new connection.
	for sequence := range uint64(50) {
		nodes[0].send(nodes[1], sequence)
		event := <-nodes[1].events.Entries()
		c.Assert(event.(messenger.PeerReceived).Message.(messenger.Probe).Sequence, quicktest.Equals, sequence)
		if sequence%10 == 0 {
			_, err := nodes[1].queryClient.Query(ctx, "a", nodes[0].identity.Address, querier.Query{Kind: querier.Status})
			c.Assert(err, quicktest.IsNil)
		}
	}
	cancel()
	c.Assert(group.Wait(), quicktest.Equals, context.Canceled)
}
