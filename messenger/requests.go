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

// CallerDisconnected reports that the caller's connection closed before the answer.
type CallerDisconnected struct {
	Request identifier.Request
}

// CallAnswered is the answer to a caller, sent exactly once for each CallArrived.
type CallAnswered struct {
	Request identifier.Request
	// Err is nil if Body is the complete answer.
	Err  *classifier.Error
	Body []byte
}

// Forward passes a request from its entry node to the owner of a minion.
type Forward struct {
	Request identifier.Request
	Attempt identifier.Attempt
	// OwnerIncarnation is the incarnation of the owner to which the request
	// is addressed. A later incarnation can't determine whether an earlier one ran
	// the attempt.
	OwnerIncarnation identifier.Incarnation
	// SentAt limits how long an owner must remember the attempts that it has received.
	SentAt time.Time
	Call   commander.Call
}

// ForwardAnswer is the owner's answer to a Forward.
type ForwardAnswer struct {
	Request identifier.Request
	Attempt identifier.Attempt
	// Err is nil if Body is the complete answer. Otherwise its code states whether the
	// attempt ran.
	Err  *classifier.Error
	Body []byte
	// Queued and FreeSlots are the load of the owner after this answer.
	Queued    int
	FreeSlots int
}

// ForwardCancel requests the owner to discard an attempt that has not started.
type ForwardCancel struct {
	Request identifier.Request
	Attempt identifier.Attempt
}

// OutcomeRequest requests the outcome of a key's request from the node that holds
// the key.
type OutcomeRequest struct {
	Key identifier.Key
	// Request is the repeated request that awaits the outcome.
	Request identifier.Request
	// Workspace and Fingerprint must match those of the first request with the key,
	// so that no caller receives the answer to another request.
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

// IntentApplied reports that this node's intent was read back from the log.
type IntentApplied struct {
	Key     identifier.Key
	Request identifier.Request
	// First means that this intent is the first for its key, so that its request may
	// run and no other.
	First bool
	// Holder is the node whose intent is the first. It is empty if the node can't be
	// determined, in which case the outcome is unknown.
	Holder identifier.Node
}

// CallMinion requests the dispatcher to send an attempt to a minion.
type CallMinion struct {
	Minion  identifier.Minion
	Address netip.AddrPort
	Request identifier.Request
	Attempt identifier.Attempt
	Call    commander.Call
	// Timeout limits the attempt, counted from the start of sending.
	Timeout time.Duration
}

// MinionAnswered is the result of a CallMinion, sent exactly once for each.
type MinionAnswered struct {
	Minion  identifier.Minion
	Request identifier.Request
	Attempt identifier.Attempt
	// Err is nil if Body is the complete and verified answer to this attempt.
	Err  *classifier.Error
	Body []byte
	// Busy is the number of busy slots that the minion reported, -1 if none.
	Busy int
	// Leaving means that the minion announced that it is stopping.
	Leaving bool
}

// QuerySlots requests the number of busy slots from a minion.
type QuerySlots struct {
	Minion  identifier.Minion
	Address netip.AddrPort
}

// SlotsAnswered is the result of a QuerySlots.
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
