package transporter_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// network connects transporters by pipes and can make connections unresponsive.
type network struct {
	mutex     sync.Mutex
	listeners map[netip.AddrPort]*listener
	opened    []*pipe
}

type listener struct {
	address  netip.AddrPort
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// pipe is one end of a connection. Once the connection is unresponsive, writes at
// both ends succeed and their data is discarded.
type pipe struct {
	net.Conn
	unresponsive *atomic.Bool
	closed       atomic.Bool
}

// Close closes the end. The other end does not notice if the connection is
// unresponsive.
func (pipe *pipe) Close() error {
	pipe.closed.Store(true)
	if pipe.unresponsive.Load() {
		return pipe.SetDeadline(time.Unix(1, 0))
	}
	return pipe.Conn.Close()
}

func (pipe *pipe) Write(data []byte) (int, error) {
	if pipe.unresponsive.Load() {
		return len(data), nil
	}
	return pipe.Conn.Write(data)
}

func (listener *listener) Accept() (net.Conn, error) {
	select {
	case connection := <-listener.incoming:
		return connection, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *listener) Close() error {
	listener.once.Do(func() { close(listener.closed) })
	return nil
}

func (listener *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(listener.address) }

func (network *network) listen(address netip.AddrPort) *listener {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	added := &listener{address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	network.listeners[address] = added
	return added
}

func (network *network) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	network.mutex.Lock()
	listener := network.listeners[address]
	network.mutex.Unlock()
	if listener == nil {
		return nil, errors.New("connection refused")
	}
	dialledEnd, acceptedEnd := net.Pipe()
	unresponsive := new(atomic.Bool)
	accepted, dialled := &pipe{Conn: acceptedEnd, unresponsive: unresponsive}, &pipe{Conn: dialledEnd, unresponsive: unresponsive}
	select {
	case listener.incoming <- accepted:
	case <-listener.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.opened = append(network.opened, dialled, accepted)
	return dialled, nil
}

// makeUnresponsive makes all connections that exist unresponsive permanently.
func (network *network) makeUnresponsive() {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, pipe := range network.opened {
		pipe.unresponsive.Store(true)
	}
}

// breakConnections closes both ends of all connections.
func (network *network) breakConnections() {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, pipe := range network.opened {
		_ = pipe.Close()
	}
}

// openEnds returns the number of ends of connections that are not closed.
func (network *network) openEnds() int {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	open := 0
	for _, pipe := range network.opened {
		if !pipe.closed.Load() {
			open++
		}
	}
	return open
}
