package messenger

import (
	"net/netip"
	"time"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
)

// CallArrived delivers a checked and authorised service request.
type CallArrived struct {
	Request identifier.Request
	Call    commander.Call
}

// CallerDisconnected says that the caller's connection ended before the answer.
type CallerDisconnected struct {
	Request identifier.Request
}

// CallAnswered is the answer to a caller, sent exactly once for each CallArrived.
type CallAnswered struct {
	Request identifier.Request
	// Err is nil if Body is the whole answer.
	Err  *classifier.Error
	Body []byte
}

// Forward hands a request from its entry node to the owner of a minion.
type Forward struct {
	Request identifier.Request
	Attempt identifier.Attempt
	// OwnerIncarnation is the life of the owner that is meant. A later life can't know
	// whether an earlier one ran the attempt.
	OwnerIncarnation identifier.Incarnation
	// SentAt bounds how long an owner must remember the attempts that it has seen.
	SentAt time.Time
	Call   commander.Call
}

// ForwardAnswer is the owner's answer to a Forward.
type ForwardAnswer struct {
	Request identifier.Request
	Attempt identifier.Attempt
	// Err is nil if Body is the whole answer. Its code says whether the attempt ran.
	Err  *classifier.Error
	Body []byte
	// Queued and FreeSlots are the load of the owner after this answer.
	Queued    int
	FreeSlots int
}

// ForwardCancel tells the owner to drop an attempt that has not started.
type ForwardCancel struct {
	Request identifier.Request
	Attempt identifier.Attempt
}

// OutcomeRequest asks the holder of a key for the outcome of its request.
type OutcomeRequest struct {
	Key identifier.Key
	// Request is the repeated request that awaits the outcome.
	Request identifier.Request
	// Workspace and Fingerprint must be those of the request that used the key
	// first, so that no caller reads the answer to another request.
	Workspace   identifier.Workspace
	Fingerprint uint64
}

// OutcomeResponse answers an OutcomeRequest.
type OutcomeResponse struct {
	Key     identifier.Key
	Request identifier.Request
	Err     *classifier.Error
	Body    []byte
}

func (Forward) peer()         {}
func (ForwardAnswer) peer()   {}
func (ForwardCancel) peer()   {}
func (OutcomeRequest) peer()  {}
func (OutcomeResponse) peer() {}

// IntentApplied says that this node's intent was read back from the log.
type IntentApplied struct {
	Key     identifier.Key
	Request identifier.Request
	// First says that this intent is the only one that may run.
	First bool
	// Holder is the node whose intent is the first, empty if it can't be known:
	// then the outcome is unknown.
	Holder identifier.Node
}

// CallMinion asks the dispatcher to send an attempt to a minion.
type CallMinion struct {
	Minion  identifier.Minion
	Address netip.AddrPort
	Request identifier.Request
	Attempt identifier.Attempt
	Call    commander.Call
	// Timeout bounds the attempt from the start of sending.
	Timeout time.Duration
}

// MinionAnswered is the result of a CallMinion, sent exactly once for each.
type MinionAnswered struct {
	Minion  identifier.Minion
	Request identifier.Request
	Attempt identifier.Attempt
	// Err is nil if Body is the whole and verified answer of this attempt.
	Err  *classifier.Error
	Body []byte
	// Busy is the number of busy slots that the minion reported, -1 if none.
	Busy int
	// Leaving says that the minion announced its stop.
	Leaving bool
}

// QuerySlots asks a minion for its busy slots.
type QuerySlots struct {
	Minion  identifier.Minion
	Address netip.AddrPort
}

// SlotsAnswered is the result of an QuerySlots.
type SlotsAnswered struct {
	Minion  identifier.Minion
	Err     *classifier.Error
	Slots   int
	Busy    int
	Leaving bool
}

func (CallArrived) event()        {}
func (CallerDisconnected) event() {}
func (IntentApplied) event()      {}
func (MinionAnswered) event()     {}
func (SlotsAnswered) event()      {}

func (CallAnswered) action()  {}
func (IntentApplied) action() {}
func (CallMinion) action()    {}
func (QuerySlots) action()    {}
