// Package commander declares the commands of callers and operators, the
// requests that change state, and checks them. It knows no protocol: acceptor
// fills the types from HTTP, and any other front end can do the same.
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
	// Key makes repetitions of the request run at most once. It may be empty.
	Key identifier.Key
	// Idempotent says that the request may run more than once without harm.
	Idempotent bool
	// RunTime is the declared run time, zero if not declared.
	RunTime time.Duration
	// Deadline is the time after which the answer is of no use.
	Deadline time.Time
	Body     []byte
}

// Submit asks for a job.
type Submit struct {
	Workspace identifier.Workspace
	Job       JobSpec
}

// Cancel ends a job.
type Cancel struct {
	Workspace identifier.Workspace
	Job       identifier.Job
}

// Publish replaces the service text of an organisation.
type Publish struct {
	Organisation identifier.Organisation
	// Base is the organisation's version on which the text was based, zero for
	// the first publication.
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
