// Package throttler connects clients with a server by connections that share a link
// of limited bandwidth. It is for tests in virtual time.
package throttler

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// segmentBytes is how much a connection sends at a time, so that connections share
// the link evenly.
const segmentBytes = 16 << 10

// Link is a listener whose connections share one link. It is safe for concurrent use.
type Link struct {
	accepted           chan net.Conn
	closed             chan struct{}
	closeOnce          sync.Once
	toClient, toServer direction
}

// New returns a Link that carries bytesPerSecond in each direction.
func New(bytesPerSecond int) *Link {
	return &Link{
		accepted: make(chan net.Conn), closed: make(chan struct{}),
		toClient: direction{bytesPerSecond: bytesPerSecond}, toServer: direction{bytesPerSecond: bytesPerSecond},
	}
}

// Accept implements net.Listener.
func (link *Link) Accept() (net.Conn, error) {
	select {
	case connection := <-link.accepted:
		return connection, nil
	case <-link.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (link *Link) Close() error {
	link.closeOnce.Do(func() { close(link.closed) })
	return nil
}

// Addr implements net.Listener.
func (link *Link) Addr() net.Addr { return &net.TCPAddr{} }

// Dial returns the client's side of a new connection.
func (link *Link) Dial(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case link.accepted <- connection{server, &link.toClient}:
		return connection{client, &link.toServer}, nil
	case <-link.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Received returns the number of bytes that the link has carried to clients.
func (link *Link) Received() int { return link.toClient.total() }

// Sent returns the number of bytes that the link has carried to the server.
func (link *Link) Sent() int { return link.toServer.total() }

// direction is one direction of the link.
type direction struct {
	bytesPerSecond int

	mutex   sync.Mutex
	freeAt  time.Time
	carried int
}

// carry returns once the link has carried the bytes behind those that wait already.
func (direction *direction) carry(bytes int) {
	direction.mutex.Lock()
	if now := time.Now(); direction.freeAt.Before(now) {
		direction.freeAt = now
	}
	direction.freeAt = direction.freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(direction.bytesPerSecond))
	direction.carried += bytes
	until := direction.freeAt
	direction.mutex.Unlock()
	time.Sleep(time.Until(until))
}

func (direction *direction) total() int {
	direction.mutex.Lock()
	defer direction.mutex.Unlock()
	return direction.carried
}

// connection is one side of a connection.
type connection struct {
	net.Conn
	direction *direction
}

// Write implements net.Conn.
func (connection connection) Write(content []byte) (int, error) {
	written := 0
	for written < len(content) {
		segment := content[written:min(written+segmentBytes, len(content))]
		connection.direction.carry(len(segment))
		sent, err := connection.Conn.Write(segment)
		written += sent
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
