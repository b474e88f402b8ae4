package host

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener accepts connections up to a limit and can make the open ones
// unresponsive. It is safe for concurrent use.
type Listener struct {
	net.Listener
	limit   int
	refused atomic.Uint64

	mutex sync.Mutex
	open  map[*connection]struct{}
}

// NewListener returns a listener that immediately closes connections beyond
// limit. A limit of zero means no limit.
func NewListener(inner net.Listener, limit int) *Listener {
	return &Listener{Listener: inner, limit: limit, open: make(map[*connection]struct{})}
}

// Accept implements net.Listener.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		accepted := &connection{Conn: inner, listener: listener}
		if listener.add(accepted) {
			return accepted, nil
		}
		listener.refused.Add(1)
		_ = inner.Close()
	}
}

// MakeUnresponsive makes every open connection permanently unresponsive: received
// data is discarded and written data is not sent. New connections are not affected.
func (listener *Listener) MakeUnresponsive() {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	for accepted := range listener.open {
		accepted.unresponsive.Store(true)
	}
}

// Refused returns the number of connections closed because of the limit.
func (listener *Listener) Refused() uint64 { return listener.refused.Load() }

func (listener *Listener) add(accepted *connection) bool {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	if listener.limit > 0 && len(listener.open) >= listener.limit {
		return false
	}
	listener.open[accepted] = struct{}{}
	return true
}

func (listener *Listener) remove(accepted *connection) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	delete(listener.open, accepted)
}

type connection struct {
	net.Conn
	listener     *Listener
	unresponsive atomic.Bool
}

// Read implements net.Conn.
func (connection *connection) Read(octets []byte) (int, error) {
	for {
		count, err := connection.Conn.Read(octets)
		if err != nil || !connection.unresponsive.Load() {
			return count, err
		}
	}
}

// Write implements net.Conn.
func (connection *connection) Write(octets []byte) (int, error) {
	if connection.unresponsive.Load() {
		return len(octets), nil
	}
	return connection.Conn.Write(octets)
}

// Close implements net.Conn.
func (connection *connection) Close() error {
	connection.listener.remove(connection)
	return connection.Conn.Close()
}
