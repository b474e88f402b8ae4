package transporter_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"corianderroad/buffer"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/transporter"
)

// tcpRecorder opens and accepts TCP connections, and records them.
type tcpRecorder struct {
	net.Listener
	mutex       sync.Mutex
	connections []*net.TCPConn
}

func (recorder *tcpRecorder) record(connection net.Conn) net.Conn {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.connections = append(recorder.connections, connection.(*net.TCPConn))
	return connection
}

func (recorder *tcpRecorder) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	connection, err := transporter.TCP{}.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return recorder.record(connection), nil
}

func (recorder *tcpRecorder) Accept() (net.Conn, error) {
	connection, err := recorder.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return recorder.record(connection), nil
}

// sendBufferBytes returns the size of a connection's send buffer.
func sendBufferBytes(connection *net.TCPConn) (int, error) {
	raw, err := connection.SyscallConn()
	if err != nil {
		return 0, errors.WithStack(err)
	}
	var size int
	var failure error
	err = raw.Control(func(descriptor uintptr) {
		size, failure = unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_SNDBUF)
	})
	if err != nil {
		return 0, errors.WithStack(err)
	}
	return size, failure
}

// TestSendBuffersAreSmall guards against a large message that counts as written while
// the system still holds it, so that the answer to the keep-alive after it is late and
// the connection is closed although the message advances.
func TestSendBuffersAreSmall(t *testing.T) {
	// One of 17 nodes' parts of a full link of 60 Mbit/s carries 330 KB in KeepAliveTimeout.
	const limit = 256 << 10
	c := quicktest.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	var nodes []*node
	var recorders []*tcpRecorder
	for _, name := range []identifier.Node{"a", "b"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, quicktest.IsNil)
		recorder := &tcpRecorder{Listener: listener}
		added := &node{
			identity: messenger.Identity{Node: name, Address: listener.Addr().(*net.TCPAddr).AddrPort()},
			outbox:   buffer.New[messenger.SendPeer]("outbox", 8),
			events:   buffer.New[messenger.Event]("events", 8),
		}
		sender := transporter.New(added.identity, newKey(1), transporter.Parameters{}, recorder, recorder, added.outbox, added, added, added)
		group.Go(func() { _ = sender.Run(ctx) })
		nodes, recorders = append(nodes, added), append(recorders, recorder)
	}
	nodes[0].send(nodes[1], 1)
	<-nodes[1].events.Entries()
	nodes[1].send(nodes[0], 2) // over the same connection, so that the accepting side writes, too
	<-nodes[0].events.Entries()
	for _, recorder := range recorders {
		recorder.mutex.Lock()
		connections := recorder.connections
		recorder.mutex.Unlock()
		c.Assert(connections, quicktest.HasLen, 1)
		size, err := sendBufferBytes(connections[0])
		c.Check(err, quicktest.IsNil)
		c.Check(size <= limit, quicktest.IsTrue, quicktest.Commentf("send buffer of %d bytes", size))
	}
	cancel()
	group.Wait()
}
