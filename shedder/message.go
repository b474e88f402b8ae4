package shedder

import "corianderroad/identifier"

// Event is what has happened to a connection.
type Event interface{ event() }

// Opened says that a client has connected. It is answered by Admit or Refuse.
type Opened struct{ Connection Connection }

// Identified says that a request of the connection was authorized for a workspace.
type Identified struct {
	Connection Connection
	Workspace  identifier.Workspace
}

// MemoryRequested asks for memory for the next part of a body, or for the job decoded
// from it. It is answered by one Grant or Deny, or by Close. A connection has at most one
// request at a time.
type MemoryRequested struct {
	Connection Connection
	Bytes      int64
}

// MemoryReleased returns memory.
type MemoryReleased struct {
	Connection Connection
	Bytes      int64
}

// Closed says that the connection is closed and its goroutine has ended.
type Closed struct{ Connection Connection }

// Tick says that the time of Next has come.
type Tick struct{}

func (Opened) event()          {}
func (Identified) event()      {}
func (MemoryRequested) event() {}
func (MemoryReleased) event()  {}
func (Closed) event()          {}
func (Tick) event()            {}

// Action is what the owner of the connections has to do.
type Action interface{ action() }

// Admit answers Opened: the connection is served.
type Admit struct{ Connection Connection }

// Refuse answers Opened: the connection is closed before anything is read.
type Refuse struct {
	Connection Connection
	Reason     Reason
}

// Grant answers MemoryRequested.
type Grant struct{ Connection Connection }

// Deny answers MemoryRequested: the request is refused, and its memory is returned.
type Deny struct {
	Connection Connection
	Reason     Reason
}

// Close closes a connection. A request for memory that it waits for is denied.
type Close struct {
	Connection Connection
	Reason     Reason
}

// PressureChanged says that clients begin to be turned away for want of a resource, or
// that none has been for some time.
type PressureChanged struct {
	Resource    Resource
	IsHigh      bool
	Used, Limit int64
}

func (Admit) action()           {}
func (Refuse) action()          {}
func (Grant) action()           {}
func (Deny) action()            {}
func (Close) action()           {}
func (PressureChanged) action() {}

// Reason is why a client is turned away.
type Reason uint8

// Values of Reason.
const (
	IdleConnection  Reason = iota // it made no progress for longer than others
	ConnectionLimit               // every other connection is in use
	SlowSender                    // it sends its body more slowly than others
	LargestHolder                 // it holds more than others
	MemoryLimit                   // no memory became free in time
	HeaderLines                   // a header has too many lines; decided by the connection itself
)

// String returns the name of the reason in counters.
func (reason Reason) String() string {
	return [...]string{"idle-connection", "connection-limit", "slow-sender", "largest-holder", "memory-limit", "header-lines"}[reason]
}

func (reason Reason) resource() Resource {
	if reason <= ConnectionLimit {
		return Connections
	}
	return Memory
}

// Resource is what clients use of a node.
type Resource uint8

// Values of Resource.
const (
	Memory Resource = iota
	Connections
	resourceCount
)

// String returns the name of the resource in log lines and gauges.
func (resource Resource) String() string { return [...]string{"memory", "connections"}[resource] }
