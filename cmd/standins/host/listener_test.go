package host

import (
	"net"
	"net/netip"
	"testing"

	"github.com/frankban/quicktest"
)

// TestListenerFaultAndLimit guards against a fault that closes connections instead
// of making them unresponsive, and against a limit that is not enforced.
func TestListenerFaultAndLimit(t *testing.T) {
	c := quicktest.New(t)
	listener, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), 2)
	c.Assert(err, quicktest.IsNil)
	defer listener.Close()
	dial := func() net.Conn {
		dialled, err := net.Dial("tcp", listener.Addr().String())
		c.Assert(err, quicktest.IsNil)
		return dialled
	}
	accept := func() net.Conn {
		accepted, err := listener.Accept()
		c.Assert(err, quicktest.IsNil)
		return accepted
	}
	write := func(to net.Conn, text string) {
		_, err := to.Write([]byte(text))
		c.Assert(err, quicktest.IsNil)
	}
	read := func(from net.Conn) string {
		octets := make([]byte, 16)
		count, _ := from.Read(octets)
		return string(octets[:count])
	}
	unresponsiveClient, unresponsive := dial(), accept()
	listener.MakeUnresponsive()
	client, served := dial(), accept()
	write(unresponsive, "never sent")
	write(served, "sent")
	c.Check(read(client), quicktest.Equals, "sent")
	write(unresponsiveClient, "discarded")
	c.Assert(unresponsiveClient.(*net.TCPConn).CloseWrite(), quicktest.IsNil)
	c.Check(read(unresponsive), quicktest.Equals, "")

	// The third connection is above the limit and is closed without a byte.
	fourth := make(chan net.Conn, 1)
	third := dial()
	go func() { fourth <- accept() }()
	c.Check(read(third), quicktest.Equals, "")
	c.Check(listener.Refused(), quicktest.Equals, uint64(1))
	c.Assert(unresponsive.Close(), quicktest.IsNil)
	client = dial()
	write(<-fourth, "accepted")
	c.Check(read(client), quicktest.Equals, "accepted")
}
