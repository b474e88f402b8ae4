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

// network joins transporters by pipes and can make connections silent.
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

// pipe swallows what is written once it is silent, in both directions.
type pipe struct {
	net.Conn
	silent *atomic.Bool
	closed atomic.Bool
}

// Close of a silent end is not seen by the other end.
func (pipe *pipe) Close() error {
	pipe.closed.Store(true)
	if pipe.silent.Load() {
		return pipe.SetDeadline(time.Unix(1, 0))
	}
	return pipe.Conn.Close()
}

func (pipe *pipe) Write(data []byte) (int, error) {
	if pipe.silent.Load() {
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
	near, far := net.Pipe()
	silent := new(atomic.Bool)
	accepted, dialled := &pipe{Conn: far, silent: silent}, &pipe{Conn: near, silent: silent}
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

// silence makes all open connections silent for good.
func (network *network) silence() {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, pipe := range network.opened {
		pipe.silent.Store(true)
	}
}

// cut breaks all open connections.
func (network *network) cut() {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, pipe := range network.opened {
		_ = pipe.Close()
	}
}

// open returns the number of ends of connections that are not closed.
func (network *network) open() int {
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
