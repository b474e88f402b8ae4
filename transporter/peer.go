package transporter

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"corianderroad/buffer"
	"corianderroad/framer"
	"corianderroad/messenger"
)

// peer is the duty that manages the connections to one process. The writers of its
// connections receive messages directly from queue. The duty itself receives a
// message only if there is no connection, and dials for it.
type peer struct {
	transporter *Transporter
	key         peerKey
	queue       *buffer.Ring[messenger.SendPeer]
	accepted    *buffer.Ring[acceptedConnection]
	ended       *buffer.Ring[*connection]
	cancel      context.CancelFunc

	// The fields below belong to run.
	connections []*connection
	dialResults chan dialResult
	dialling    bool
	// first is the message for which the peer is dialled.
	first      messenger.SendPeer
	retryAt    time.Time
	retryDelay time.Duration
}

type dialResult struct {
	connection net.Conn
	endpoint   framer.Endpoint
	err        error
}

func newPeer(transporter *Transporter, key peerKey, cancel context.CancelFunc) *peer {
	return &peer{
		transporter: transporter,
		key:         key,
		queue:       buffer.New[messenger.SendPeer]("peer-queue", transporter.parameters.QueueCapacity),
		accepted:    buffer.New[acceptedConnection]("peer-accepted", maxConnections),
		ended:       buffer.New[*connection]("peer-ended", maxConnections),
		cancel:      cancel,
		dialResults: make(chan dialResult, 1),
	}
}

// run serves the peer until ctx ends. It then reports messages that were not sent
// as send failures, unless parent has ended too.
func (peer *peer) run(ctx, parent context.Context) error {
	var group errgroup.Group
	err := peer.serve(ctx, &group)
	peer.cancel()
	_ = group.Wait()
	peer.closePending()
	if parent.Err() != nil {
		return err
	}
	if peer.dialling {
		if err := peer.transporter.reportSendFailure(parent, peer.first); err != nil {
			return err
		}
	}
	return peer.failQueued(parent)
}

// serve dials, starts and removes connections until its context ends.
func (peer *peer) serve(ctx context.Context, group *errgroup.Group) error {
	idle := time.NewTimer(peer.transporter.parameters.IdleTimeout)
	defer idle.Stop()
	for {
		var queue <-chan messenger.SendPeer
		if len(peer.connections) == 0 && !peer.dialling {
			queue = peer.queue.Entries()
		}
		select {
		case message := <-queue:
			if err := peer.dial(ctx, group, message); err != nil {
				return err
			}
		case result := <-peer.dialResults:
			if err := peer.handleDialResult(ctx, group, result); err != nil {
				return err
			}
		case accepted := <-peer.accepted.Entries():
			peer.retryAt, peer.retryDelay = time.Time{}, 0
			peer.open(ctx, group, newConnection(peer, accepted.connection, accepted.endpoint, nil))
		case ended := <-peer.ended.Entries():
			peer.remove(ended)
		case <-idle.C:
			if len(peer.connections) == 0 && !peer.dialling {
				// The duty that owns the table of peers removes this one and cancels its
				// context.
				if err := peer.transporter.idlePeers.Put(ctx, peer); err != nil {
					return err
				}
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		idle.Reset(peer.transporter.parameters.IdleTimeout)
	}
}

// dial starts dialling for a message. During the delay after a failed dial it
// reports a send failure instead.
func (peer *peer) dial(ctx context.Context, group *errgroup.Group, message messenger.SendPeer) error {
	if time.Now().Before(peer.retryAt) {
		return peer.transporter.reportSendFailure(ctx, message)
	}
	peer.dialling, peer.first = true, message
	group.Go(func() error {
		connection, endpoint, err := peer.transporter.opener.open(ctx, peer.key, framer.Messages)
		peer.dialResults <- dialResult{connection, endpoint, err}
		return nil
	})
	return nil
}

// handleDialResult handles the result of a dial. After a failed dial, serve fails
// the queued messages one by one until the retry delay is over.
func (peer *peer) handleDialResult(ctx context.Context, group *errgroup.Group, result dialResult) error {
	peer.dialling = false
	if result.err == nil {
		peer.retryAt, peer.retryDelay = time.Time{}, 0
		first := peer.first
		peer.open(ctx, group, newConnection(peer, result.connection, result.endpoint, &first))
		return nil
	}
	peer.transporter.meter.CountClosed(peer.key.node, "dial-failed")
	parameters := peer.transporter.parameters
	peer.retryDelay = min(max(2*peer.retryDelay, parameters.MinRetryDelay), parameters.MaxRetryDelay)
	// Jitter prevents the nodes from dialling a returning node at the same time.
	peer.retryAt = time.Now().Add(peer.retryDelay/2 + rand.N(peer.retryDelay/2+1))
	return peer.transporter.reportSendFailure(ctx, peer.first)
}

// failQueued reports a send failure for each queued message.
func (peer *peer) failQueued(ctx context.Context) error {
	for {
		select {
		case message := <-peer.queue.Entries():
			if err := peer.transporter.reportSendFailure(ctx, message); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// open starts the duties of a connection. If there are too many connections it
// closes the oldest one, which the other side may have abandoned.
func (peer *peer) open(ctx context.Context, group *errgroup.Group, added *connection) {
	if len(peer.connections) == maxConnections {
		peer.connections[0].close()
		peer.remove(peer.connections[0])
	}
	peer.connections = append(peer.connections, added)
	group.Go(func() error {
		added.run(ctx)
		return nil
	})
}

func (peer *peer) remove(ended *connection) {
	for index, connection := range peer.connections {
		if connection == ended {
			peer.connections = append(peer.connections[:index], peer.connections[index+1:]...)
			return
		}
	}
}

// closePending closes the connections that no duty has received when the peer ends.
func (peer *peer) closePending() {
	for {
		select {
		case accepted := <-peer.accepted.Entries():
			_ = accepted.connection.Close()
		case result := <-peer.dialResults:
			if result.connection != nil {
				_ = result.connection.Close()
			}
		default:
			return
		}
	}
}
