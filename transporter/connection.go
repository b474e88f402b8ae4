package transporter

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/framer"
	"corianderroad/messenger"
	"corianderroad/watcher"
)

// Errors that end a connection. Their texts are the reasons in counters.
var (
	errUnresponsive = errors.New("silent")
	errIdle         = errors.New("unused")
	errClosedByPeer = errors.New("closed-by-peer")
)

// connection is one connection of a peer. It has a reader and a writer duty.
type connection struct {
	peer *peer
	net  net.Conn
	// writer writes to net, and fails when a write makes no progress.
	writer   *watcher.Conn
	endpoint framer.Endpoint
	// first is the message for which the connection was dialled, nil if accepted.
	// It is sent before the messages that were queued meanwhile.
	first *messenger.SendPeer
	// keepAlives and keepAliveAnswers signal received keep-alive frames to the
	// writer.
	keepAlives       chan struct{}
	keepAliveAnswers chan struct{}
	// lastReceived is when the newest message was received, as Unix time in
	// nanoseconds.
	lastReceived atomic.Int64
	// largeFrameAdvanced is when the newest part of a large frame was received, as
	// Unix time in nanoseconds.
	largeFrameAdvanced atomic.Int64
}

func newConnection(peer *peer, netConnection net.Conn, endpoint framer.Endpoint, first *messenger.SendPeer) *connection {
	return &connection{
		peer:             peer,
		net:              netConnection,
		writer:           watcher.NewConn(netConnection, peer.transporter.parameters.WriteTimeout),
		endpoint:         endpoint,
		first:            first,
		keepAlives:       make(chan struct{}, 1),
		keepAliveAnswers: make(chan struct{}, 1),
	}
}

func (connection *connection) close() { _ = connection.net.Close() }

// run sends and receives messages until the connection ends. Events are delivered
// with the peer's context, which outlives the connection.
func (connection *connection) run(ctx context.Context) {
	group, connectionCtx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(connectionCtx, connection.close)
	defer stop()
	group.Go(func() error { return connection.read(ctx) })
	group.Go(func() error {
		err := connection.write(ctx, connectionCtx)
		// The peer is informed at once, so that it dials for the next message.
		_ = connection.peer.ended.Put(ctx, connection)
		return err
	})
	err := group.Wait()
	connection.close()
	connection.peer.transporter.meter.CountClosed(connection.endpoint.Node, closeReason(err))
}

// closeReason returns the reason for counters.
func closeReason(err error) string {
	switch {
	case errors.Is(err, errUnresponsive), errors.Is(err, errIdle), errors.Is(err, errClosedByPeer):
		return errors.Cause(err).Error()
	case classifier.CodeOf(err) == classifier.BadFrame:
		return classifier.BadFrame.Name()
	default:
		return "broken"
	}
}

// read is the reader duty. It always returns an error.
func (connection *connection) read(ctx context.Context) error {
	reader := &frameReader{reader: bufio.NewReader(connection.net), advanced: &connection.largeFrameAdvanced}
	for {
		reader.received = 0
		frame, err := framer.Read(reader)
		if err != nil {
			if classifier.CodeOf(err) == classifier.BadFrame {
				return err
			}
			return errClosedByPeer
		}
		connection.countBytes(0, framer.Overhead+len(frame.Body))
		switch frame.Kind {
		case framer.Message:
			connection.lastReceived.Store(time.Now().UnixNano())
			if err := connection.deliver(ctx, frame.Body); err != nil {
				return err
			}
		case framer.KeepAlive:
			notify(connection.keepAlives)
		case framer.KeepAliveAnswer:
			notify(connection.keepAliveAnswers)
		default:
			return classifier.New(classifier.BadFrame, "frame of kind %d on a connection for messages", frame.Kind)
		}
	}
}

// deliver delivers a message. It refuses one that can't be decoded alone, because
// the frames behind it are intact.
func (connection *connection) deliver(ctx context.Context, body []byte) error {
	message, err := encoder.UnmarshalPeer(body)
	if err != nil {
		connection.peer.transporter.meter.CountRefused(connection.endpoint.Node)
		return nil
	}
	event := messenger.PeerReceived{From: connection.endpoint.Node, Message: message}
	return connection.peer.transporter.eventSink.Deliver(ctx, event)
}

func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
		// The previous signal is still pending and covers this one too.
	}
}

// write is the writer duty. It returns nil after a graceful close; the reader then
// continues to the end of what the other side has sent.
func (connection *connection) write(ctx, connectionCtx context.Context) error {
	parameters := connection.peer.transporter.parameters
	liveness := liveness{
		keepAliveDelay: parameters.KeepAliveDelay, keepAliveTimeout: parameters.KeepAliveTimeout,
		idleTimeout: parameters.IdleTimeout, lastUsed: time.Now(),
	}
	timer := time.NewTimer(parameters.IdleTimeout)
	defer timer.Stop()
	if connection.first != nil {
		if err := connection.sendMessage(ctx, *connection.first); err != nil {
			return err
		}
		liveness.recordWrite(time.Now())
	}
	for {
		timer.Reset(time.Until(liveness.nextCheck()))
		var err error
		select {
		case message := <-connection.peer.queue.Entries():
			err = connection.sendMessage(ctx, message)
			liveness.recordWrite(time.Now())
		case <-connection.keepAlives:
			err = connection.writeFrame(framer.Frame{Kind: framer.KeepAliveAnswer})
		case <-connection.keepAliveAnswers:
			liveness.recordAnswer()
		case <-timer.C:
			var ended bool
			if ended, err = connection.checkLiveness(&liveness); ended {
				return nil
			}
		case <-connectionCtx.Done():
			return connectionCtx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// checkLiveness performs the action that liveness requires. It reports whether the
// writer ends.
func (connection *connection) checkLiveness(liveness *liveness) (ended bool, err error) {
	if received := time.Unix(0, connection.lastReceived.Load()); received.After(liveness.lastUsed) {
		liveness.lastUsed = received
	}
	select {
	case <-connection.keepAliveAnswers:
		// The answer has arrived while a large frame was written.
		liveness.recordAnswer()
	default:
	}
	liveness.recordLargeFrame(time.Unix(0, connection.largeFrameAdvanced.Load()))
	now := time.Now()
	switch liveness.check(now) {
	case sendKeepAlive:
		liveness.recordKeepAlive(now)
		return false, connection.writeFrame(framer.Frame{Kind: framer.KeepAlive})
	case closeUnresponsive:
		return false, errUnresponsive
	case closeIdle:
		// Only the dialling side closes an idle connection, so that the two sides
		// do not each close a different one.
		if connection.first != nil {
			return connection.closeWrite()
		}
		// An accepted connection is checked instead, and ends if the other side is
		// gone.
		liveness.lastUsed = now
		liveness.recordKeepAlive(now)
		return false, connection.writeFrame(framer.Frame{Kind: framer.KeepAlive})
	default:
		return false, nil
	}
}

// closeWrite closes only the sending direction, so that nothing is lost that the
// other side has already sent.
func (connection *connection) closeWrite() (bool, error) {
	writer, ok := connection.net.(interface{ CloseWrite() error })
	if !ok || writer.CloseWrite() != nil {
		return false, errIdle
	}
	_ = connection.net.SetReadDeadline(time.Now().Add(connection.peer.transporter.parameters.KeepAliveTimeout))
	return true, nil
}

// sendMessage writes a message. It reports a send failure for a message that
// certainly did not arrive.
func (connection *connection) sendMessage(ctx context.Context, message messenger.SendPeer) error {
	body, err := encoder.MarshalPeer(message.Message)
	if err != nil || len(body) >= framer.MaxFrame {
		// A message that can't be encoded is not a failure of the connection.
		return connection.peer.transporter.reportSendFailure(ctx, message)
	}
	if err := connection.writeFrame(framer.Frame{Kind: framer.Message, Body: body}); err != nil {
		if err := connection.peer.transporter.reportSendFailure(ctx, message); err != nil {
			return err
		}
		return err
	}
	return nil
}

// writeFrame writes a frame. After an error the frame did not arrive completely.
func (connection *connection) writeFrame(frame framer.Frame) error {
	if err := framer.Write(connection.writer, frame); err != nil {
		return err
	}
	connection.countBytes(framer.Overhead+len(frame.Body), 0)
	return nil
}

func (connection *connection) countBytes(sent, received int) {
	connection.peer.transporter.meter.CountBytes(connection.endpoint.Node, connection.endpoint.Region, sent, received)
}
