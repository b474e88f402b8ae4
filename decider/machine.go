// Package decider joins the decision machines of one node. It is the entry
// point for every front end: the server runs each machine as a duty of its
// own, and a test drives many Nodes in one thread and in virtual time.
package decider

import (
	"time"

	"corianderroad/messenger"
	"corianderroad/querier"
)

// Machine is a deterministic state machine that owns one part of a node's
// state. It reads no clock and starts no goroutine; the same events at the same
// times give the same actions. A Machine is not safe for concurrent use.
type Machine interface {
	// Step changes the state by one event and returns what is to be done.
	Step(now time.Time, event messenger.Event) []messenger.Action
	// Next returns when the machine wants a Tick, the zero time for never.
	Next() time.Time
	// View answers a query without changing the state.
	View(now time.Time, query querier.Query) querier.Answer
}

// Duty names one machine of a node.
type Duty uint8

// Duties of a node.
const (
	Application Duty = iota // folds the log
	Detection               // members and failures
	Routing                 // service requests
	Scheduling              // jobs
	duties
)

// Duties lists all duties.
func Duties() []Duty { return []Duty{Application, Detection, Routing, Scheduling} }

// String returns the duty's name as it stands in counters.
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
