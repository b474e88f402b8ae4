package server

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"corianderroad/watcher"
)

// TestSendBufferOfAppendsIsSmall guards against an append that counts as sent while the
// system still holds it, so that it is given up although it advances.
func TestSendBufferOfAppendsIsSmall(t *testing.T) {
	// One of 17 nodes' parts of a full link of 60 Mbit/s carries 880 KB within the
	// appender's stall timeout.
	const limit = 256 << 10
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer func() { c.Check(listener.Close(), quicktest.IsNil) }()
	transport := newLogClient().Transport.(*http.Transport)
	connection, err := transport.DialContext(context.Background(), "tcp", listener.Addr().String())
	c.Assert(err, quicktest.IsNil)
	defer func() { c.Check(connection.Close(), quicktest.IsNil) }()
	if watched, ok := connection.(*watcher.Conn); ok {
		connection = watched.Conn
	}
	raw, err := connection.(*net.TCPConn).SyscallConn()
	c.Assert(err, quicktest.IsNil)
	size := 0
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		size, failure = unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_SNDBUF)
	})
	c.Assert([]error{err, failure}, quicktest.DeepEquals, []error{nil, nil})
	c.Assert(size <= limit, quicktest.IsTrue, quicktest.Commentf("send buffer of %d bytes", size))
}
