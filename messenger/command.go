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
	// StoppedRuns counts the orders to stop a run, by the rule.
	StoppedRuns
	// RepeatedStops counts those for tasks that were stopped before. It has no reason.
	RepeatedStops
	// BrokenGangs counts the gangs that ended as a whole, by the cause.
	BrokenGangs
	// Moves counts the runs that were moved because they made no progress, and what became of
	// their tasks.
	Moves
	// Copies counts the copies of tasks that lagged behind, and what became of them.
	Copies
	// EarlyRefusals counts the submissions that were refused by the expected wait, by queue.
	EarlyRefusals
)

// Count increments a counter. Reason is its label: a reason in kebab case, or a queue.
type Count struct {
	Counter Counter
	Reason  string
}

// WorkLost counts work that was done since the last checkpoint of a run that ended early. An
// accelerator counts as 8 cores.
type WorkLost struct {
	// Rule is the rule by which the run was stopped, or else how it ended, in kebab case.
	Rule        string
	CoreSeconds float64
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
func (WorkLost) action()        {}
func (Transition) action()      {}
