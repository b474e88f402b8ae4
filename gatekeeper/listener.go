package gatekeeper

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"corianderroad/shedder"
	"corianderroad/watcher"
)

// Buffers of the kernel for a connection. Linux allocates twice as much. What the kernel
// has received counts toward the memory of the machine, whether or not it is read.
const (
	receiveBufferBytes = 16 << 10
	sendBufferBytes    = 16 << 10
	backlog            = 128 // connections
)

// Listen returns a listener for clients whose connections have small receive buffers. The
// size must be set before a connection is established.
func Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(descriptor uintptr) {
			failure = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		})
		if err != nil {
			return err
		}
		return failure
	}}
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return listener, shortenBacklog(listener)
}

// shortenBacklog limits the connections that wait to be accepted, for each of which the
// kernel keeps what it has received. Package net asks for the system's maximum. Linux
// ignores connections beyond the limit, and the client tries again after a second.
func shortenBacklog(listener net.Listener) error {
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(descriptor uintptr) { failure = unix.Listen(int(descriptor), backlog) })
	if err != nil {
		return err
	}
	return failure
}

// Listener accepts the connections that its gatekeeper admits. Writes to them fail when
// they make no progress.
type Listener struct {
	net.Listener
	gatekeeper   *Gatekeeper
	stallTimeout time.Duration
	latest       shedder.Connection
}

// NewListener returns a Listener for the connections of another one. Only one goroutine
// may accept connections.
func (gatekeeper *Gatekeeper) NewListener(listener net.Listener, stallTimeout time.Duration) *Listener {
	return &Listener{Listener: listener, gatekeeper: gatekeeper, stallTimeout: stallTimeout}
}

// Accept implements net.Listener. A connection that is not admitted is closed at once:
// while it waited, the kernel would keep what it sends.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		listener.latest++
		conn := &Conn{Conn: watcher.NewConn(accepted, listener.stallTimeout), id: listener.latest, gatekeeper: listener.gatekeeper}
		conn.closing, conn.cancel = context.WithCancel(context.Background())
		conn.recordProgress()
		if !conn.isAdmitted() {
			listener.gatekeeper.open.Add(-1)
			_ = accepted.Close() // nothing was read
			continue
		}
		if buffered, ok := accepted.(interface{ SetWriteBuffer(bytes int) error }); ok {
			_ = buffered.SetWriteBuffer(sendBufferBytes) // fails only if the connection is closed
		}
		return conn, nil
	}
}

// isAdmitted reports whether the gatekeeper admits a connection. While there are few, it
// does so without waiting for the answer, which would cost more than the rest.
func (conn *Conn) isAdmitted() bool {
	opened := shedder.Opened{Connection: conn.id}
	if conn.gatekeeper.open.Add(1) <= conn.gatekeeper.unlimited {
		conn.tell(opened)
		return true
	}
	return conn.ask(opened) == nil
}
