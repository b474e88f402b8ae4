package messenger

import (
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// SubmitArrived delivers an authorised job. It is answered by one
// CommandAnswered.
type SubmitArrived struct {
	Request identifier.Request
	Job     specifier.Job
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// WithdrawArrived delivers an authorised cancellation. It is answered by one
// CommandAnswered.
type WithdrawArrived struct {
	Request   identifier.Request
	Job       identifier.Job
	Queue     identifier.Queue
	Workspace identifier.Workspace
	Deadline  time.Time
}

// Decision is a decision for the log: what was decided about a subject and the
// inputs that decided it.
type Decision struct {
	Subject string
	Outcome string
	Reason  string
	// Detail holds further inputs as key=value pairs, empty for none.
	Detail string
	// Age is how old the deciding input is, zero if it has none.
	Age time.Duration
	// Version is that of the deciding input, zero if it has none.
	Version int64
}

func (SubmitArrived) event()   {}
func (WithdrawArrived) event() {}

func (Decision) action() {}
