// Package commander declares the commands of callers and operators, the
// requests that change state, and checks them. It is independent of any protocol:
// acceptor fills the types from HTTP, and any other front end can do the same.
package commander

import (
	"time"

	"corianderroad/identifier"
)

// Command is a request that changes state: Call, Submit, Cancel, Publish,
// Approve or Drain.
type Command interface {
	// Check returns an error with a code of the 100s if a field is missing or
	// out of bounds.
	Check() error
}

// Call is one service request of a caller.
type Call struct {
	Workspace identifier.Workspace
	Service   identifier.Service
	Method    identifier.Method
	// Key is the idempotency key: of all requests with one key, at most one runs. It
	// may be empty.
	Key identifier.Key
	// Idempotent means that the request may safely run more than once.
	Idempotent bool
	// RunTime is the declared run time, zero if not declared.
	RunTime time.Duration
	// Deadline is the time after which the caller has no use for the answer.
	Deadline time.Time
	Body     []byte
}

// Submit submits a job.
type Submit struct {
	Workspace identifier.Workspace
	Job       JobSpec
}

// Cancel cancels a job.
type Cancel struct {
	Workspace identifier.Workspace
	Job       identifier.Job
}

// Publish replaces the service text of an organisation.
type Publish struct {
	Organisation identifier.Organisation
	// Base is the version of the organisation's text on which this text is based,
	// zero for the first publication.
	Base identifier.Offset
	Text []byte
}

// Approve records that a member agrees to a newcomer's publication.
type Approve struct {
	Organisation identifier.Organisation
	Publication  identifier.Offset
}

// Drain makes a node leave gracefully.
type Drain struct {
	Node identifier.Node
}
