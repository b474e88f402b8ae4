// Package gatekeeper admits the connections of clients to a listener, accounts for the
// memory of their requests, and closes those that package shedder chooses.
package gatekeeper

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/querier"
	"corianderroad/runner"
	"corianderroad/shedder"
)

const (
	// operationCapacity is small: whoever adds an operation waits while the ring is full,
	// the accepting goroutine included.
	operationCapacity = 64
	queryCapacity     = 16
	// RetryDelay is the retry delay of a request that is refused for want of memory.
	RetryDelay = 2 * time.Second
)

// Observer counts the clients that are turned away and logs when pressure begins and ends.
type Observer interface {
	ObserveShed(listener string, reason shedder.Reason)
	ObservePressure(listener string, change shedder.PressureChanged)
}

// Gatekeeper is the duty that owns the state of one listener's clients. Its methods are
// safe for concurrent use.
type Gatekeeper struct {
	name       string
	observer   Observer
	clock      runner.Clock
	operations *buffer.Ring[operation]
	queries    *buffer.Ring[runner.QueryRequest]
	// open is at least the number of connections that the shedder has.
	open atomic.Int64
	// longHeaders is the number of requests with long headers.
	longHeaders atomic.Int64
	// unlimited is the number of connections up to which each is admitted.
	unlimited int64
	// running ends with Run. Nobody waits for an answer afterwards.
	running context.Context
	end     context.CancelFunc

	// Only the goroutine of Run uses these.
	shedder     *shedder.Shedder
	connections connections
}

// operation is an event of a connection. Opened and MemoryRequested have a reply.
type operation struct {
	event      shedder.Event
	connection *Conn
	reply      chan<- *classifier.Error
}

// connections are the open connections with the reply that each waits for.
type connections map[shedder.Connection]*entry

type entry struct {
	connection *Conn
	reply      chan<- *classifier.Error
}

// Sample implements shedder.Sampler.
func (connections connections) Sample(id shedder.Connection) shedder.Sample {
	return connections[id].connection.sample()
}

// New returns a Gatekeeper for the listener of the given name.
func New(name string, limits shedder.Limits, observer Observer, clock runner.Clock) *Gatekeeper {
	gatekeeper := &Gatekeeper{
		name: name, observer: observer, clock: clock, connections: make(connections),
		operations: buffer.New[operation](name+"-operations", operationCapacity),
		unlimited:  int64(limits.Connections / 2),
		queries:    buffer.New[runner.QueryRequest](name+"-queries", queryCapacity),
	}
	gatekeeper.shedder = shedder.New(limits, gatekeeper.connections)
	gatekeeper.running, gatekeeper.end = context.WithCancel(context.Background())
	return gatekeeper
}

// Queries returns the ring of queries for the gauges.
func (gatekeeper *Gatekeeper) Queries() *buffer.Ring[runner.QueryRequest] { return gatekeeper.queries }

// Name returns the name of the ring of operations.
func (gatekeeper *Gatekeeper) Name() string { return gatekeeper.operations.Name() }

// Depth returns the number of operations in the ring.
func (gatekeeper *Gatekeeper) Depth() int { return gatekeeper.operations.Depth() }

// Refused returns how often the ring has refused an operation. Those who add operations
// wait instead, so that it is 0.
func (gatekeeper *Gatekeeper) Refused() uint64 { return gatekeeper.operations.Refused() }

// Run applies operations until the context ends.
func (gatekeeper *Gatekeeper) Run(ctx context.Context) error {
	defer gatekeeper.end()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if next := gatekeeper.shedder.Next(); next.IsZero() {
			timer.Stop()
		} else {
			timer.Reset(max(next.Sub(gatekeeper.clock()), 0))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case operation := <-gatekeeper.operations.Entries():
			gatekeeper.apply(operation)
		case request := <-gatekeeper.queries.Entries():
			request.Answer <- gatekeeper.view()
		case <-timer.C:
			gatekeeper.step(shedder.Tick{})
		}
	}
}

func (gatekeeper *Gatekeeper) apply(operation operation) {
	id := operation.connection.id
	if _, ok := operation.event.(shedder.Opened); ok {
		gatekeeper.connections[id] = &entry{connection: operation.connection}
	}
	if operation.reply != nil {
		gatekeeper.connections[id].reply = operation.reply
	}
	gatekeeper.step(operation.event)
	if _, ok := operation.event.(shedder.Closed); ok {
		delete(gatekeeper.connections, id)
	}
}

func (gatekeeper *Gatekeeper) step(event shedder.Event) {
	for _, action := range gatekeeper.shedder.Step(gatekeeper.clock(), event) {
		switch action := action.(type) {
		case shedder.Admit:
			gatekeeper.answer(action.Connection, nil)
		case shedder.Grant:
			gatekeeper.answer(action.Connection, nil)
		case shedder.Refuse:
			gatekeeper.observer.ObserveShed(gatekeeper.name, action.Reason)
			gatekeeper.answer(action.Connection, refusal(action.Reason))
			delete(gatekeeper.connections, action.Connection)
		case shedder.Deny:
			gatekeeper.observer.ObserveShed(gatekeeper.name, action.Reason)
			gatekeeper.answer(action.Connection, refusal(action.Reason))
		case shedder.Close:
			gatekeeper.observer.ObserveShed(gatekeeper.name, action.Reason)
			connection := gatekeeper.connections[action.Connection].connection
			connection.cancel()
			_ = connection.Close() // its goroutine may have closed it
			gatekeeper.answer(action.Connection, refusal(action.Reason))
		case shedder.PressureChanged:
			gatekeeper.observer.ObservePressure(gatekeeper.name, action)
		}
	}
}

// answer replies to the operation of a connection that waits, if one does.
func (gatekeeper *Gatekeeper) answer(id shedder.Connection, err *classifier.Error) {
	if entry := gatekeeper.connections[id]; entry.reply != nil {
		entry.reply <- err // does not block: the channel holds one entry
		entry.reply = nil
	}
}

func refusal(reason shedder.Reason) *classifier.Error {
	return classifier.New(classifier.MemoryShort, "turned away: %s", reason).WithRetryAfter(RetryDelay)
}

// view returns the gauges.
func (gatekeeper *Gatekeeper) view() querier.Answer {
	usage := gatekeeper.shedder.View()
	return querier.Answer{Gauges: []querier.Gauge{
		{Name: "client-connections", Label: gatekeeper.name, Value: float64(usage.Open)},
		{Name: "client-connections-closing", Label: gatekeeper.name, Value: float64(usage.Closing)},
		{Name: "client-connections-limit", Label: gatekeeper.name, Value: float64(usage.Connections)},
		{Name: "client-memory-bytes", Label: gatekeeper.name, Value: float64(usage.Held)},
		{Name: "client-memory-limit-bytes", Label: gatekeeper.name, Value: float64(usage.Memory)},
		{Name: "client-memory-waiting", Label: gatekeeper.name, Value: float64(usage.Waiting)},
		{Name: "client-memory-pressure", Label: gatekeeper.name, Value: gauge(usage.MemoryPressure)},
		{Name: "client-connection-pressure", Label: gatekeeper.name, Value: gauge(usage.ConnectionPressure)},
	}}
}

func gauge(isSet bool) float64 {
	if isSet {
		return 1
	}
	return 0
}

// ConnState implements the hook of http.Server: a connection counts until the server has
// left it, and each request has a header of its own.
func ConnState(connection net.Conn, state http.ConnState) {
	conn, ok := connection.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.header.isDone = true
	case http.StateIdle:
		conn.header = headerCounter{}
		conn.releaseHeader()
	case http.StateClosed:
		conn.releaseHeader()
		conn.cancel()
		conn.tell(shedder.Closed{Connection: conn.id})
		conn.gatekeeper.open.Add(-1)
	}
}
