package watcher

import (
	"net"
	"time"
)

const (
	// segmentBytes is the part of a write that must be complete within the stall
	// timeout.
	segmentBytes = 16 << 10
	// sendBufferBytes is the size of the system's send buffer. What it holds counts as
	// written, so that a larger one would hide for seconds whether a write advances on
	// a full link. Linux allocates twice as much.
	sendBufferBytes = 64 << 10
)

// Conn is a connection whose writes fail when they make no progress. It is safe for
// concurrent use as far as the connection is.
type Conn struct {
	net.Conn
	stallTimeout time.Duration
}

// NewConn returns a Conn that replaces the write deadline of a connection, and limits
// its send buffer if it has one.
func NewConn(connection net.Conn, stallTimeout time.Duration) *Conn {
	if buffered, ok := connection.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = buffered.SetWriteBuffer(sendBufferBytes) // fails only if the connection is closed
	}
	return &Conn{connection, stallTimeout}
}

// Write implements net.Conn.
func (conn *Conn) Write(content []byte) (int, error) {
	written := 0
	for {
		if err := conn.SetWriteDeadline(time.Now().Add(conn.stallTimeout)); err != nil {
			return written, err
		}
		count, err := conn.Conn.Write(content[written:min(written+segmentBytes, len(content))])
		written += count
		if err != nil || written == len(content) {
			return written, err
		}
	}
}

// Listener accepts connections whose writes fail when they make no progress.
type Listener struct {
	net.Listener
	stallTimeout time.Duration
}

// NewListener returns a Listener for the connections of another one.
func NewListener(listener net.Listener, stallTimeout time.Duration) *Listener {
	return &Listener{listener, stallTimeout}
}

// Accept implements net.Listener.
func (listener *Listener) Accept() (net.Conn, error) {
	connection, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(connection, listener.stallTimeout), nil
}
