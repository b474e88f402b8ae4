package transporter

import (
	"context"
	"net"
	"time"

	"corianderroad/classifier"
	"corianderroad/framer"
	"corianderroad/messenger"
)

// opener opens authenticated connections for messages and for queries.
type opener struct {
	self    framer.Endpoint
	key     framer.Key
	dialer  Dialer
	timeout time.Duration
}

func newOpener(identity messenger.Identity, key framer.Key, parameters Parameters, dialer Dialer) opener {
	self := framer.Endpoint{Node: identity.Node, Address: identity.Address, Region: identity.Region}
	return opener{self: self, key: key, dialer: dialer, timeout: parameters.DialTimeout}
}

// open dials a node and performs the handshake. The error has code
// NodeUnreachable if another node answers at the address.
func (opener opener) open(ctx context.Context, key peerKey, purpose framer.Purpose) (net.Conn, framer.Endpoint, error) {
	ctx, cancel := context.WithTimeout(ctx, opener.timeout)
	defer cancel()
	connection, err := opener.dialer.Dial(ctx, key.address)
	if err != nil {
		return nil, framer.Endpoint{}, err
	}
	// The end of the context aborts the handshake.
	stop := context.AfterFunc(ctx, func() { _ = connection.SetDeadline(time.Unix(1, 0)) })
	remote, err := framer.Dial(connection, opener.key, opener.self, purpose)
	if err == nil && remote.Node != key.node {
		err = classifier.New(classifier.NodeUnreachable, "node %q answers at the address of %q", remote.Node, key.node)
	}
	if err == nil && !stop() {
		err = ctx.Err()
	}
	if err != nil {
		stop()
		_ = connection.Close()
		return nil, framer.Endpoint{}, err
	}
	return connection, remote, nil
}
