package gatekeeper

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/shedder"
)

// Conn is an admitted connection. The goroutine that serves it counts its progress in
// atomic values, which the gatekeeper reads only when it has to choose whom to close. A
// message for each read would cost more than the read.
type Conn struct {
	net.Conn
	id         shedder.Connection
	gatekeeper *Gatekeeper
	// progressAt is when bytes were last received or sent, in nanoseconds since 1970.
	progressAt atomic.Int64
	isBusy     atomic.Bool
	// workspace is that of the newest request. Only the serving goroutine uses it.
	workspace identifier.Workspace
	// header is that of the request that is read. Only the server's reads and its hook use it.
	header headerCounter
	// closing ends when the gatekeeper closes the connection. A request whose client has sent
	// more meanwhile does not notice otherwise, and its work would keep the connection's place.
	closing context.Context
	cancel  context.CancelFunc
	// hasLongHeader means that the request counts as one with a long header.
	hasLongHeader bool
}

// Read implements net.Conn. It fails if the header is long and too many others are. The server
// leaves the connection without an answer for an error of this type; it would answer others with
// 400, which the client takes for a fault of its request.
func (conn *Conn) Read(target []byte) (int, error) {
	count, err := conn.Conn.Read(target)
	if count > 0 {
		conn.recordProgress()
	}
	if conn.header.add(target[:count]); !conn.admitHeader(conn.header.lines) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errLongHeaders}
	}
	return count, err
}

// Write implements net.Conn.
func (conn *Conn) Write(content []byte) (int, error) {
	count, err := conn.Conn.Write(content)
	if count > 0 {
		conn.recordProgress()
	}
	return count, err
}

func (conn *Conn) recordProgress() { conn.progressAt.Store(conn.gatekeeper.clock().UnixNano()) }

func (conn *Conn) sample() shedder.Sample {
	return shedder.Sample{ProgressAt: time.Unix(0, conn.progressAt.Load()), IsBusy: conn.isBusy.Load()}
}

// SetBusy says whether the node works on a request of the connection. The end of the work
// is progress, so that the connection is not closed before its answer is written.
func (conn *Conn) SetBusy(isBusy bool) {
	if !isBusy {
		conn.recordProgress()
	}
	conn.isBusy.Store(isBusy)
}

// Identify says for which workspace a request of the connection was authorized.
func (conn *Conn) Identify(workspace identifier.Workspace) {
	if conn.workspace != workspace {
		conn.workspace = workspace
		conn.tell(shedder.Identified{Connection: conn.id, Workspace: workspace})
	}
}

// Reserve waits for memory for the request of the connection. If it is refused, the rest
// of the request is not read.
func (conn *Conn) Reserve(bytes int64) *classifier.Error {
	err := conn.ask(shedder.MemoryRequested{Connection: conn.id, Bytes: bytes})
	if err != nil {
		_ = conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	}
	return err
}

// Release returns reserved memory.
func (conn *Conn) Release(bytes int64) {
	conn.tell(shedder.MemoryReleased{Connection: conn.id, Bytes: bytes})
}

// AllowRead sets the time within which the next part of a body must arrive.
func (conn *Conn) AllowRead(timeout time.Duration) {
	_ = conn.SetReadDeadline(time.Now().Add(timeout)) // fails only if the connection is closed
}

// tell passes on an event without an answer.
func (conn *Conn) tell(event shedder.Event) {
	_ = conn.gatekeeper.operations.Put(conn.gatekeeper.running, operation{event: event, connection: conn}) // fails only after Run
}

// ask passes on an event and waits for the answer, which the shedder gives within a
// bounded time.
func (conn *Conn) ask(event shedder.Event) *classifier.Error {
	reply := make(chan *classifier.Error, 1)
	running := conn.gatekeeper.running
	if err := conn.gatekeeper.operations.Put(running, operation{event, conn, reply}); err == nil {
		select {
		case err := <-reply:
			return err
		case <-running.Done():
		}
	}
	return classifier.New(classifier.Leaving, "the node has stopped").WithRetryAfter(RetryDelay)
}

type contextKey struct{}

// ConnContext implements the hook of http.Server, so that FromContext finds the
// connection of a request. The work on it ends when the connection is closed.
func ConnContext(ctx context.Context, connection net.Conn) context.Context {
	if conn, ok := connection.(*Conn); ok {
		closable, cancel := context.WithCancel(ctx)
		context.AfterFunc(conn.closing, cancel)
		ctx = closable
	}
	return context.WithValue(ctx, contextKey{}, connection)
}

// FromContext returns the connection of a request, nil if it was not admitted by a
// Gatekeeper.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(contextKey{}).(*Conn)
	return conn
}
