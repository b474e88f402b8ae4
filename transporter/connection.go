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
)

// Reasons of the end of a connection, as they stand in counters.
var (
	errSilent = errors.New("silent")
	errUnused = errors.New("unused")
	errClosed = errors.New("closed-by-peer")
)

// connection is one connection of a peer: a reader and a writer duty.
type connection struct {
	peer     *peer
	net      net.Conn
	endpoint framer.Endpoint
	// first is the message for which the connection was dialled, nil if accepted.
	// It goes before those that were queued meanwhile.
	first *messenger.SendPeer
	// asked and answered bring keep-alives from the reader to the writer.
	asked    chan struct{}
	answered chan struct{}
	// received is the Unix time in nanoseconds of the newest message.
	received atomic.Int64
}

func newConnection(peer *peer, opened net.Conn, endpoint framer.Endpoint, first *messenger.SendPeer) *connection {
	return &connection{
		peer:     peer,
		net:      opened,
		endpoint: endpoint,
		first:    first,
		asked:    make(chan struct{}, 1),
		answered: make(chan struct{}, 1),
	}
}

func (connection *connection) close() { _ = connection.net.Close() }

// run carries messages until the connection ends. The peer's context bounds
// the delivery of events, which outlives the connection.
func (connection *connection) run(ctx context.Context) {
	group, open := errgroup.WithContext(ctx)
	release := context.AfterFunc(open, connection.close)
	defer release()
	group.Go(func() error { return connection.read(ctx) })
	group.Go(func() error {
		err := connection.write(ctx, open)
		// The peer learns at once that it has to dial for the next message.
		_ = connection.peer.ended.Put(ctx, connection)
		return err
	})
	err := group.Wait()
	connection.close()
	connection.peer.transporter.meter.Closed(connection.endpoint.Node, reason(err))
}

func reason(err error) string {
	switch {
	case errors.Is(err, errSilent), errors.Is(err, errUnused), errors.Is(err, errClosed):
		return errors.Cause(err).Error()
	case classifier.CodeOf(err) == classifier.BadFrame:
		return classifier.BadFrame.Name()
	default:
		return "broken"
	}
}

// read is the reader duty. It always ends with an error.
func (connection *connection) read(ctx context.Context) error {
	reader := bufio.NewReader(connection.net)
	for {
		frame, err := framer.Read(reader)
		if err != nil {
			if classifier.CodeOf(err) == classifier.BadFrame {
				return err
			}
			return errClosed
		}
		connection.transferred(0, framer.Overhead+len(frame.Body))
		switch frame.Kind {
		case framer.Message:
			connection.received.Store(time.Now().UnixNano())
			message, err := encoder.UnmarshalPeer(frame.Body)
			if err != nil {
				return err
			}
			event := messenger.PeerReceived{From: connection.endpoint.Node, Message: message}
			if err := connection.peer.transporter.sink.Deliver(ctx, event); err != nil {
				return err
			}
		case framer.KeepAlive:
			notify(connection.asked)
		case framer.KeepAliveAnswer:
			notify(connection.answered)
		default:
			return classifier.New(classifier.BadFrame, "frame of kind %d on a connection for messages", frame.Kind)
		}
	}
}

func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
		// The previous signal is still pending and stands for this one too.
	}
}

// write is the writer duty. It returns nil after a graceful close, when the
// reader goes on to the end of what the other side has sent.
func (connection *connection) write(ctx, open context.Context) error {
	parameters := connection.peer.transporter.parameters
	liveness := liveness{
		after: parameters.KeepAliveAfter, timeout: parameters.KeepAliveTimeout, idle: parameters.IdleTimeout, used: time.Now(),
	}
	timer := time.NewTimer(parameters.IdleTimeout)
	defer timer.Stop()
	if connection.first != nil {
		if err := connection.send(ctx, *connection.first); err != nil {
			return err
		}
		liveness.wrote(time.Now())
	}
	for {
		timer.Reset(time.Until(liveness.due()))
		var err error
		select {
		case message := <-connection.peer.queue.Entries():
			err = connection.send(ctx, message)
			liveness.wrote(time.Now())
		case <-connection.asked:
			err = connection.put(framer.Frame{Kind: framer.KeepAliveAnswer})
		case <-connection.answered:
			liveness.answered()
		case <-timer.C:
			var ended bool
			if ended, err = connection.checkLiveness(&liveness); ended {
				return nil
			}
		case <-open.Done():
			return open.Err()
		}
		if err != nil {
			return err
		}
	}
}

// checkLiveness carries out the verdict of liveness. It reports whether the writer ends.
func (connection *connection) checkLiveness(liveness *liveness) (ended bool, err error) {
	if received := time.Unix(0, connection.received.Load()); received.After(liveness.used) {
		liveness.used = received
	}
	now := time.Now()
	switch liveness.judge(now) {
	case check:
		liveness.ask(now)
		return false, connection.put(framer.Frame{Kind: framer.KeepAlive})
	case silent:
		return false, errSilent
	case unused:
		// Only the dialling side closes an unused connection, so that the two
		// sides do not close one each.
		if connection.first != nil {
			return connection.finish()
		}
		// An accepted connection whose other side is gone ends with this check.
		liveness.used = now
		liveness.ask(now)
		return false, connection.put(framer.Frame{Kind: framer.KeepAlive})
	default:
		return false, nil
	}
}

// finish closes the sending direction, so that nothing that the other side has
// sent by now is lost.
func (connection *connection) finish() (bool, error) {
	half, ok := connection.net.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return false, errUnused
	}
	_ = connection.net.SetReadDeadline(time.Now().Add(connection.peer.transporter.parameters.KeepAliveTimeout))
	return true, nil
}

// send writes a message. A message that surely did not arrive is returned.
func (connection *connection) send(ctx context.Context, message messenger.SendPeer) error {
	body, err := encoder.MarshalPeer(message.Message)
	if err != nil || len(body) >= framer.MaxFrame {
		// A message without a wire form is no fault of the connection.
		return connection.peer.transporter.lost(ctx, message)
	}
	if err := connection.put(framer.Frame{Kind: framer.Message, Body: body}); err != nil {
		if err := connection.peer.transporter.lost(ctx, message); err != nil {
			return err
		}
		return err
	}
	return nil
}

// put writes a frame. After an error the frame did not arrive whole.
func (connection *connection) put(frame framer.Frame) error {
	_ = connection.net.SetWriteDeadline(time.Now().Add(connection.peer.transporter.parameters.WriteTimeout))
	if err := framer.Write(connection.net, frame); err != nil {
		return err
	}
	connection.transferred(framer.Overhead+len(frame.Body), 0)
	return nil
}

func (connection *connection) transferred(sent, received int) {
	connection.peer.transporter.meter.Transferred(connection.endpoint.Node, connection.endpoint.Region, sent, received)
}
