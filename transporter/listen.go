package transporter

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"corianderroad/framer"
)

// accept is the duty that accepts connections. A connection beyond the bound of
// handshakes is closed at once.
func (transporter *Transporter) accept(ctx context.Context, group *errgroup.Group) error {
	for {
		connection, err := transporter.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return errors.Wrap(err, "accept")
		}
		select {
		case transporter.handshakes <- struct{}{}:
			group.Go(func() error {
				transporter.authenticate(ctx, connection)
				return nil
			})
		default:
			_ = connection.Close()
		}
	}
}

// authenticate performs the handshake and hands the connection on by its purpose.
func (transporter *Transporter) authenticate(ctx context.Context, connection net.Conn) {
	release := context.AfterFunc(ctx, func() { _ = connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(transporter.parameters.DialTimeout))
	other, purpose, err := framer.Accept(connection, transporter.opener.key, transporter.opener.self)
	<-transporter.handshakes
	if err != nil {
		transporter.meter.Closed(other.Node, "handshake-failed")
		release()
		_ = connection.Close()
		return
	}
	_ = connection.SetDeadline(time.Time{})
	if purpose == framer.Queries {
		transporter.serve(ctx, connection, other)
		release()
		return
	}
	// A connection that ended with the context fails in its duties.
	release()
	if transporter.accepted.Put(ctx, accepted{connection, other}) != nil {
		_ = connection.Close()
	}
}
