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
	// Deadline is the time at which the caller stops waiting.
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

// Decision is an entry of the decision log: the outcome for a subject and the
// inputs on which it was based.
type Decision struct {
	Subject string
	Outcome string
	Reason  string
	// Detail holds further inputs as key=value pairs, empty for none.
	Detail string
	// Age is the age of the deciding input, zero if it has none.
	Age time.Duration
	// Version is the version of the deciding input, zero if it has none.
	Version int64
}

func (SubmitArrived) event()   {}
func (WithdrawArrived) event() {}

func (Decision) action() {}
