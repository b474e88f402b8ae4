package transporter

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"corianderroad/framer"
)

// accept is the duty that accepts connections. It closes a connection at once if
// maxHandshakes handshakes are in progress.
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
		case transporter.handshakeSlots <- struct{}{}:
			group.Go(func() error {
				transporter.authenticate(ctx, connection)
				return nil
			})
		default:
			_ = connection.Close()
		}
	}
}

// authenticate performs the handshake. It then serves a connection for queries, or
// passes a connection for messages to its peer.
func (transporter *Transporter) authenticate(ctx context.Context, connection net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(transporter.parameters.DialTimeout))
	remote, purpose, err := framer.Accept(connection, transporter.opener.key, transporter.opener.self)
	<-transporter.handshakeSlots
	if err != nil {
		transporter.meter.CountClosed(remote.Node, "handshake-failed")
		stop()
		_ = connection.Close()
		return
	}
	_ = connection.SetDeadline(time.Time{})
	if purpose == framer.Queries {
		transporter.serveQueries(ctx, connection, remote)
		stop()
		return
	}
	// If the context has closed the connection, the duties of the connection fail.
	stop()
	if transporter.accepted.Put(ctx, acceptedConnection{connection, remote}) != nil {
		_ = connection.Close()
	}
}
