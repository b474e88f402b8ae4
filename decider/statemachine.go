// Package decider combines the state machines of one node. The server runs each
// state machine as a separate duty. Tests drive many Nodes in one thread and in
// virtual time.
package decider

import (
	"time"

	"corianderroad/messenger"
	"corianderroad/querier"
)

// StateMachine is a deterministic state machine that owns one part of a node's
// state. It reads no clock and starts no goroutine. The same events at the same
// times result in the same actions. A StateMachine is not safe for concurrent
// use.
type StateMachine interface {
	// Step applies one event to the state and returns the resulting actions.
	Step(now time.Time, event messenger.Event) []messenger.Action
	// Next returns when the state machine needs its next Tick, or the zero time if it
	// needs none.
	Next() time.Time
	// View answers a query without changing the state.
	View(now time.Time, query querier.Query) querier.Answer
}

// Duty identifies one state machine of a node.
type Duty uint8

// Duties of a node.
const (
	Application Duty = iota // applies the log
	Detection               // members and failures
	Routing                 // service requests
	Scheduling              // jobs
	dutyCount
)

// Duties returns all duties.
func Duties() []Duty { return []Duty{Application, Detection, Routing, Scheduling} }

// String returns the duty's name, as used in counters.
func (duty Duty) String() string {
	switch duty {
	case Application:
		return "application"
	case Detection:
		return "detection"
	case Routing:
		return "routing"
	case Scheduling:
		return "scheduling"
	default:
		return "unknown"
	}
}
