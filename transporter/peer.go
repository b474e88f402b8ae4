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

// peer is the duty that keeps the connections to one process. Its writers take
// messages from queue themselves; the duty takes them only to dial.
type peer struct {
	transporter *Transporter
	key         peerKey
	queue       *buffer.Ring[messenger.SendPeer]
	accepted    *buffer.Ring[accepted]
	ended       *buffer.Ring[*connection]
	cancel      context.CancelFunc

	// The fields below belong to run.
	connections []*connection
	dialled     chan dialled
	dialling    bool
	// first is the message for which the peer is dialled.
	first     messenger.SendPeer
	retryAt   time.Time
	retryStep time.Duration
}

type dialled struct {
	connection net.Conn
	endpoint   framer.Endpoint
	err        error
}

func newPeer(transporter *Transporter, key peerKey, cancel context.CancelFunc) *peer {
	return &peer{
		transporter: transporter,
		key:         key,
		queue:       buffer.New[messenger.SendPeer]("peer-queue", transporter.parameters.Queue),
		accepted:    buffer.New[accepted]("peer-accepted", maxConnections),
		ended:       buffer.New[*connection]("peer-ended", maxConnections),
		cancel:      cancel,
		dialled:     make(chan dialled, 1),
	}
}

// run serves the peer until ctx ends. Messages that were not sent by then are
// returned while parent lasts.
func (peer *peer) run(ctx, parent context.Context) error {
	var group errgroup.Group
	err := peer.keep(ctx, &group)
	peer.cancel()
	_ = group.Wait()
	peer.abandon()
	if parent.Err() != nil {
		return err
	}
	if peer.dialling {
		if err := peer.transporter.lost(parent, peer.first); err != nil {
			return err
		}
	}
	return peer.refuse(parent)
}

// keep serves the peer until its context ends.
func (peer *peer) keep(ctx context.Context, group *errgroup.Group) error {
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
		case result := <-peer.dialled:
			if err := peer.settle(ctx, group, result); err != nil {
				return err
			}
		case accepted := <-peer.accepted.Entries():
			peer.retryAt, peer.retryStep = time.Time{}, 0
			peer.open(ctx, group, newConnection(peer, accepted.connection, accepted.endpoint, nil))
		case ended := <-peer.ended.Entries():
			peer.remove(ended)
		case <-idle.C:
			if len(peer.connections) == 0 && !peer.dialling {
				// The owner of the table removes the peer and ends the context.
				if err := peer.transporter.idle.Put(ctx, peer); err != nil {
					return err
				}
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		idle.Reset(peer.transporter.parameters.IdleTimeout)
	}
}

// dial starts dialling for a message, or refuses the message during the pause
// after a failure.
func (peer *peer) dial(ctx context.Context, group *errgroup.Group, message messenger.SendPeer) error {
	if time.Now().Before(peer.retryAt) {
		return peer.transporter.lost(ctx, message)
	}
	peer.dialling, peer.first = true, message
	group.Go(func() error {
		connection, endpoint, err := peer.transporter.opener.open(ctx, peer.key, framer.Messages)
		peer.dialled <- dialled{connection, endpoint, err}
		return nil
	})
	return nil
}

// settle takes the result of a dial. After a failure the queued messages are
// taken one by one and refused during the pause.
func (peer *peer) settle(ctx context.Context, group *errgroup.Group, result dialled) error {
	peer.dialling = false
	if result.err == nil {
		peer.retryAt, peer.retryStep = time.Time{}, 0
		first := peer.first
		peer.open(ctx, group, newConnection(peer, result.connection, result.endpoint, &first))
		return nil
	}
	peer.transporter.meter.Closed(peer.key.node, "dial-failed")
	parameters := peer.transporter.parameters
	peer.retryStep = min(max(2*peer.retryStep, parameters.RetryAfter), parameters.RetryAtMost)
	// Jitter keeps the nodes from dialling a returning node at the same moment.
	peer.retryAt = time.Now().Add(peer.retryStep/2 + rand.N(peer.retryStep/2+1))
	return peer.transporter.lost(ctx, peer.first)
}

// refuse returns all queued messages to their senders.
func (peer *peer) refuse(ctx context.Context) error {
	for {
		select {
		case message := <-peer.queue.Entries():
			if err := peer.transporter.lost(ctx, message); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// open starts the duties of a connection. The oldest one is closed if there
// are too many, since the other side may have given it up.
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

// abandon closes the connections that are still queued when the peer ends.
func (peer *peer) abandon() {
	for {
		select {
		case accepted := <-peer.accepted.Entries():
			_ = accepted.connection.Close()
		case result := <-peer.dialled:
			if result.connection != nil {
				_ = result.connection.Close()
			}
		default:
			return
		}
	}
}
