// Package transporter sends peer messages and queries between nodes over TCP. Each
// connection has one reader and one writer duty, and each peer has one duty that
// dials. No connection outlives Run.
package transporter

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"corianderroad/buffer"
	"corianderroad/framer"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
)

// EventSink receives the events of peers. Deliver waits for free capacity until
// the context ends, and returns an error only then. It is called by many
// goroutines.
type EventSink interface {
	Deliver(ctx context.Context, event messenger.Event) error
}

// Responder answers the queries of peers for this node. It is called by many
// goroutines.
type Responder interface {
	Respond(ctx context.Context, query querier.Query) (querier.Answer, error)
}

// Meter counts the bytes of frames, and closed connections by a reason in kebab
// case. It is called by many goroutines.
type Meter interface {
	CountBytes(node identifier.Node, region identifier.Region, sent, received int)
	CountClosed(node identifier.Node, reason string)
	// CountRefused counts a message of a node that can't be decoded.
	CountRefused(node identifier.Node)
}

// Dialer opens connections.
type Dialer interface {
	Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// TCP dials by TCP. It is safe for concurrent use.
type TCP struct{}

// Dial implements Dialer.
func (TCP) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", address.String())
	return connection, errors.Wrap(err, "dial")
}

// Parameters are the parameters of a Transporter. A zero value selects the default
// in brackets.
type Parameters struct {
	// DialTimeout bounds dialling and the handshake (1 s).
	DialTimeout time.Duration
	// MinRetryDelay is the delay after a failed dial; it doubles with each
	// failure up to MaxRetryDelay (100 ms, 2 s). Messages fail during the delay.
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
	// WriteTimeout bounds the time without progress of a write (1 s).
	WriteTimeout time.Duration
	// KeepAliveDelay is the delay from a written message to the keep-alive that
	// checks it, and KeepAliveTimeout bounds the answer (250 ms, 750 ms).
	KeepAliveDelay   time.Duration
	KeepAliveTimeout time.Duration
	// IdleTimeout is how long a connection may be idle before it is closed (30 s).
	IdleTimeout time.Duration
	// QueryTimeout bounds the answer to one query (1.5 s).
	QueryTimeout time.Duration
	// QueueCapacity is the capacity of the ring of each peer (256).
	QueueCapacity int
}

const (
	// maxPeers is twice the maximum number of members, since a replaced node may
	// have two addresses for a while.
	maxPeers = 2048
	// maxHandshakes bounds the accepted connections that are not authenticated yet.
	maxHandshakes = 64
	// maxQueries bounds the accepted connections for queries.
	maxQueries = 64
	// maxConnections bounds the open connections per peer.
	maxConnections = 2
)

func (parameters Parameters) withDefaults() Parameters {
	parameters.DialTimeout = cmp.Or(parameters.DialTimeout, time.Second)
	parameters.MinRetryDelay = cmp.Or(parameters.MinRetryDelay, 100*time.Millisecond)
	parameters.MaxRetryDelay = cmp.Or(parameters.MaxRetryDelay, 2*time.Second)
	parameters.WriteTimeout = cmp.Or(parameters.WriteTimeout, time.Second)
	parameters.KeepAliveDelay = cmp.Or(parameters.KeepAliveDelay, 250*time.Millisecond)
	parameters.KeepAliveTimeout = cmp.Or(parameters.KeepAliveTimeout, 750*time.Millisecond)
	parameters.IdleTimeout = cmp.Or(parameters.IdleTimeout, 30*time.Second)
	parameters.QueryTimeout = cmp.Or(parameters.QueryTimeout, 1500*time.Millisecond)
	parameters.QueueCapacity = cmp.Or(parameters.QueueCapacity, 256)
	return parameters
}

// Transporter holds the state of the duties that Run starts.
type Transporter struct {
	opener     opener
	parameters Parameters
	listener   net.Listener
	outbox     *buffer.Ring[messenger.SendPeer]
	eventSink  EventSink
	responder  Responder
	meter      Meter
	// accepted and idlePeers are the rings from other duties to route, which owns
	// peers.
	accepted       *buffer.Ring[acceptedConnection]
	idlePeers      *buffer.Ring[*peer]
	handshakeSlots chan struct{}
	querySlots     chan struct{}
	peers          map[peerKey]*peer
}

// peerKey distinguishes processes that use the same name at the same time.
type peerKey struct {
	node    identifier.Node
	address netip.AddrPort
}

type acceptedConnection struct {
	connection net.Conn
	endpoint   framer.Endpoint
}

// New returns a Transporter that accepts connections from listener, sends the
// messages of outbox and delivers events to eventSink. Run closes the listener.
func New(identity messenger.Identity, key framer.Key, parameters Parameters, listener net.Listener, dialer Dialer,
	outbox *buffer.Ring[messenger.SendPeer], eventSink EventSink, responder Responder, meter Meter,
) *Transporter {
	parameters = parameters.withDefaults()
	return &Transporter{
		opener:         newOpener(identity, key, parameters, dialer),
		parameters:     parameters,
		listener:       listener,
		outbox:         outbox,
		eventSink:      eventSink,
		responder:      responder,
		meter:          meter,
		accepted:       buffer.New[acceptedConnection]("accepted-connections", maxHandshakes),
		idlePeers:      buffer.New[*peer]("idle-peers", maxPeers),
		handshakeSlots: make(chan struct{}, maxHandshakes),
		querySlots:     make(chan struct{}, maxQueries),
		peers:          make(map[peerKey]*peer),
	}
}

// Run sends and receives messages until the context ends or the listener fails.
// All its goroutines have ended when it returns.
func (transporter *Transporter) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return transporter.accept(ctx, group) })
	group.Go(func() error { return transporter.route(ctx, group) })
	group.Go(func() error {
		<-ctx.Done()
		_ = transporter.listener.Close()
		return ctx.Err()
	})
	return group.Wait()
}

// route is the duty that owns the table of peers.
func (transporter *Transporter) route(ctx context.Context, group *errgroup.Group) error {
	for {
		select {
		case message := <-transporter.outbox.Entries():
			if err := transporter.enqueueMessage(ctx, group, message); err != nil {
				return err
			}
		case accepted := <-transporter.accepted.Entries():
			key := peerKey{accepted.endpoint.Node, accepted.endpoint.Address}
			peer := transporter.peerFor(ctx, group, key)
			if peer == nil || peer.accepted.Offer(accepted) != nil {
				_ = accepted.connection.Close()
			}
		case peer := <-transporter.idlePeers.Entries():
			delete(transporter.peers, peer.key)
			peer.cancel()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (transporter *Transporter) enqueueMessage(ctx context.Context, group *errgroup.Group, message messenger.SendPeer) error {
	peer := transporter.peerFor(ctx, group, peerKey{message.To, message.Address})
	if peer == nil || peer.queue.Offer(message) != nil {
		return transporter.reportSendFailure(ctx, message)
	}
	return nil
}

func (transporter *Transporter) reportSendFailure(ctx context.Context, message messenger.SendPeer) error {
	return transporter.eventSink.Deliver(ctx, messenger.PeerSendFailed{To: message.To, Message: message.Message})
}

// peerFor returns the peer with the key and starts its duty if it is new. It
// returns nil if there are maxPeers others.
func (transporter *Transporter) peerFor(ctx context.Context, group *errgroup.Group, key peerKey) *peer {
	if peer := transporter.peers[key]; peer != nil {
		return peer
	}
	if len(transporter.peers) >= maxPeers {
		return nil
	}
	peerCtx, cancel := context.WithCancel(ctx)
	added := newPeer(transporter, key, cancel)
	transporter.peers[key] = added
	group.Go(func() error { return added.run(peerCtx, ctx) })
	return added
}
