package messenger

import (
	"net/netip"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/specifier"
)

// MinionReport is what a minion says about itself.
type MinionReport struct {
	Minion        identifier.Minion
	Incarnation   identifier.Incarnation
	Service       identifier.Service
	Address       netip.AddrPort
	FailureDomain identifier.FailureDomain
	Labels        []string
	Capacity      specifier.Resources
	Draining      bool
	// Remaining is the least time until a draining minion leaves.
	Remaining time.Duration
	// Clock is the minion's steady clock at some moment before the report was read.
	Clock time.Duration
}

// MinionsRead delivers reports of minions.
type MinionsRead struct {
	Reports []MinionReport
	Removed []identifier.Minion
	// Complete means that every minion that is registered is in Reports.
	Complete bool
	SentAt   time.Time
}

// FollowMinions starts or ends the delivery of MinionsRead. The first delivery
// after a start is whole.
type FollowMinions struct {
	Enabled bool
}

// PolicyRead delivers the operator's newest policy. Policy is nil if the read
// brought no new one.
type PolicyRead struct {
	Policy *specifier.Policy
	// SentAt is when the read was sent. Policies acknowledged before are read.
	SentAt time.Time
}

// Order is what the holder tells a minion.
type Order interface{ order() }

// StartRun starts a run of a task, or does nothing if that run is there.
type StartRun struct {
	Task       specifier.Task
	Run        uint64
	Payload    string
	Checkpoint string
	Ticket     string
	// LeaseUntil is on the minion's clock.
	LeaseUntil time.Duration
}

// StopRun stops a run and keeps it from starting later.
type StopRun struct {
	Task specifier.Task
	Run  uint64
}

// PaceRun lets a run work at a share of its speed.
type PaceRun struct {
	Task    specifier.Task
	Run     uint64
	Percent int
}

// PollRuns asks for the runs of a minion and renews their lease.
type PollRuns struct {
	// AcknowledgedEnd is the number of the last end that the minion may forget.
	AcknowledgedEnd uint64
	// LeaseUntil is on the minion's clock, zero to renew nothing.
	LeaseUntil time.Duration
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

func (StartRun) order() {}
func (StopRun) order()  {}
func (PaceRun) order()  {}
func (PollRuns) order() {}

// OrderMinion sends an order to a minion.
type OrderMinion struct {
	ID     uint64
	Minion identifier.Minion
	// Incarnation is the life of the minion to which the order is addressed.
	Incarnation identifier.Incarnation
	Address     netip.AddrPort
	Token       identifier.Term
	// Expires is when the order is no longer to be sent.
	Expires time.Time
	// Timeout bounds the wait for the answer.
	Timeout time.Duration
	Order   Order
}

// OrderAnswered is the one answer to OrderMinion.
type OrderAnswered struct {
	Sent   OrderMinion
	SentAt time.Time
	// Err is nil if the minion carried out the order. Codes: StaleTerm,
	// LeaseExpired, NoCapacity, SupersededRun, NoTicket, UnknownNode if another
	// incarnation answered, BadRequest, MinionBusy; without an answer
	// MinionUnreachable if the order was not sent and OutcomeUnknown if it may
	// have arrived.
	Err *classifier.Error
	// Clock and Incarnation are the minion's, zero without an answer.
	Clock       time.Duration
	Incarnation identifier.Incarnation
	// Running and Ended answer PollRuns.
	Running []RunReport
	Ended   []RunEnd
}

// RunReport is a run that a minion has.
type RunReport struct {
	Task       specifier.Task
	Run        uint64
	Checkpoint string
	// Percent is how far the run is.
	Percent int
	// Load is the tail of response times in milliseconds for a run that serves
	// users, and the thousandths of a core in use for any other.
	Load float64
}

// RunEnd is the end of a run.
type RunEnd struct {
	Number     uint64
	Task       specifier.Task
	Run        uint64
	Kind       EndKind
	Checkpoint string
}

// EndKind says how a run ended.
type EndKind uint8

// Kinds of ends.
const (
	EndUnknown EndKind = iota
	EndDone
	EndFailed
	EndStopped
	EndLeaseExpired   // the lease ran out
	EndGangBroken     // another member of the gang ended
	EndGangIncomplete // the other members did not come in time
)

// String returns the kind in kebab case.
func (kind EndKind) String() string {
	names := [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	if int(kind) < len(names) {
		return names[kind]
	}
	return names[0]
}

func (MinionsRead) event()   {}
func (PolicyRead) event()    {}
func (OrderAnswered) event() {}

func (FollowMinions) action() {}
func (OrderMinion) action()   {}
