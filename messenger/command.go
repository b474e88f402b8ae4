package messenger

import (
	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
)

// CommandArrived delivers a checked and authorised command other than a Call.
type CommandArrived struct {
	Request identifier.Request
	Command commander.Command
}

// CommandAnswered is the answer to a command, sent exactly once for each
// CommandArrived.
type CommandAnswered struct {
	Request identifier.Request
	// Err is nil if the command took effect.
	Err *classifier.Error
	// Offset is the position of the command's record, zero if it has none.
	Offset identifier.Offset
}

// Counter is the kind of an event that is counted by reason.
type Counter uint8

// Counters.
const (
	Refusals Counter = iota + 1
	Retries
	Transitions
	// Crashes counts the deaths of minions and what is concluded from them.
	Crashes
)

// Count increments a counter. Reason is its label, in kebab case.
type Count struct {
	Counter Counter
	Reason  string
}

// Transition is a change of state that is logged.
type Transition struct {
	Subject string
	From    string
	To      string
	// Reason is one of a bounded set, because it labels a counter.
	Reason string
	// Detail holds further facts for the log as key=value pairs, empty for none.
	Detail string
}

func (CommandArrived) event() {}

func (CommandAnswered) action() {}
func (Count) action()           {}
func (Transition) action()      {}
