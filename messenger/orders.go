package messenger

import (
	"fmt"
	"net/netip"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/specifier"
)

// MinionReport is a minion's report about itself.
type MinionReport struct {
	Minion        identifier.Minion
	Incarnation   identifier.Incarnation
	Service       identifier.Service
	Address       netip.AddrPort
	FailureDomain identifier.FailureDomain
	Labels        []string
	Capacity      specifier.Resources
	Draining      bool
	// Remaining is the minimum time until a draining minion leaves.
	Remaining time.Duration
	// Clock is a reading of the minion's monotonic clock from before the report was
	// read.
	Clock time.Duration
	// ColdRemaining is for how much longer the minion works slowly after its start.
	ColdRemaining time.Duration
}

// MinionsRead delivers the reports of minions.
type MinionsRead struct {
	Reports []MinionReport
	Removed []identifier.Minion
	// Complete means that Reports holds every registered minion.
	Complete bool
	SentAt   time.Time
}

// FollowMinions starts or ends the delivery of MinionsRead. The first delivery
// after a start is complete.
type FollowMinions struct {
	Enabled bool
}

// PolicyRead delivers the operator's newest policy. Policy is nil if the read
// returned no new one.
type PolicyRead struct {
	Policy *specifier.Policy
	// SentAt is when the read was sent. The read covers every policy that was
	// acknowledged before.
	SentAt time.Time
}

// Order is a request of the holder to a minion.
type Order interface{ order() }

// StartRun starts a run of a task. It has no effect if the minion has that run.
type StartRun struct {
	Task       specifier.Task
	Run        uint64
	Payload    string
	Checkpoint string
	Ticket     string
	// LeaseUntil is on the minion's clock.
	LeaseUntil time.Duration
}

// StopRun stops a run and prevents it from starting later.
type StopRun struct {
	Task specifier.Task
	Run  uint64
	// BarsStart means that the order to start the run may still be on its way. The answer must
	// then certainly be that of this order, which bars the start.
	BarsStart bool
}

// PaceRun limits a run to a percentage of its full speed.
type PaceRun struct {
	Task    specifier.Task
	Run     uint64
	Percent int
}

// PollRuns requests the runs of a minion and renews their lease.
type PollRuns struct {
	// AcknowledgedEnd is the number of the newest RunEnd that the holder has
	// received. The minion may discard ends up to it.
	AcknowledgedEnd uint64
	// LeaseUntil is on the minion's clock, zero to renew nothing.
	LeaseUntil time.Duration
	// Wait is how long the minion may delay the answer until a run ends.
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
	// Incarnation is the incarnation of the minion to which the order is addressed.
	Incarnation identifier.Incarnation
	Address     netip.AddrPort
	Token       identifier.Term
	// Expires is the time from which the order must not be sent any more.
	Expires time.Time
	// Timeout limits the wait for the answer.
	Timeout time.Duration
	// MinClock is a time that the minion's clock has passed when the order is decided. An
	// answer with an earlier clock is that of another life. It is zero if no reading of
	// the clock is known.
	MinClock time.Duration
	Order    Order
}

// OrderAnswered is the one answer to OrderMinion.
type OrderAnswered struct {
	Sent   OrderMinion
	SentAt time.Time
	// Err is nil if the minion carried out the order. Codes: StaleTerm,
	// LeaseExpired, NoCapacity, SupersededRun, NoTicket, UnknownNode if another
	// incarnation answered, BadRequest, MinionBusy. Without an answer:
	// MinionUnreachable if the order was not sent, OutcomeUnknown if the minion may
	// have received it. CorruptAnswer if no answer can be used.
	Err *classifier.Error
	// ConnectionRefused means that nothing listens at the minion's address.
	ConnectionRefused bool
	// Clock and Incarnation are those of the minion, zero without an answer.
	Clock       time.Duration
	Incarnation identifier.Incarnation
	// Running and Ended answer PollRuns. Ended holds the first MaxListedEnds ends that are
	// not acknowledged.
	Running []RunReport
	Ended   []RunEnd
	// Exchange tells how the answer came.
	Exchange Exchange
	// IsRepeat means that the order was sent twice: the first answer may have been that of
	// another order, or its connection broke.
	IsRepeat bool
}

// Exchange tells on which connection an order was answered, and why it was sent twice, for the log
// lines about what is concluded from the answer.
type Exchange struct {
	// IsReused means that the connection had carried another order before.
	IsReused bool
	// PreviousClock is the minion's clock in the answer before on the same connection, zero if
	// there was none. If the order was sent twice, that is the connection of the first time.
	PreviousClock time.Duration
	// Rejection is why the first answer was not taken, and the order sent again on a connection of
	// its own.
	Rejection Rejection
	// RejectedClock is the minion's clock in the answer that was not taken, zero if it had none.
	RejectedClock time.Duration
}

// Rejection is a reason why the first answer to an order is not taken for its answer.
type Rejection uint8

// Reasons not to take an answer.
const (
	NotRejected Rejection = iota
	// NoAnswer means that the connection has broken, or that what came on it can't be decoded.
	NoAnswer
	// NoClock means that the answer has no clock that tells it from that of an earlier order.
	NoClock
	// EarlierClock means that the answer's clock shows that of an earlier order.
	EarlierClock
	// UnverifiedRefusal means that the answer is a refusal that may have been made a second time, with
	// a later clock, for an earlier order on the connection.
	UnverifiedRefusal
	// LowerToken means that the connection has carried a poll with a lower token, whose list shows
	// nothing about the token of this one.
	LowerToken
)

// String returns the reason in kebab case.
func (rejection Rejection) String() string {
	names := [...]string{"none", "no-answer", "no-clock", "earlier-clock", "unverified-refusal", "lower-token"}
	if int(rejection) < len(names) {
		return names[rejection]
	}
	return names[0]
}

// String returns the exchange as key=value pairs of a log line.
func (exchange Exchange) String() string {
	return fmt.Sprintf("reused=%t previous-clock=%s rejected=%s rejected-clock=%s", exchange.IsReused, exchange.PreviousClock, exchange.Rejection, exchange.RejectedClock)
}

// RunReport is a run that a minion has.
type RunReport struct {
	Task       specifier.Task
	Run        uint64
	Checkpoint string
	// ProgressPercent is the progress of the run.
	ProgressPercent int
	// Load is the tail latency in milliseconds for a run that serves users, and the
	// processor use in thousandths of a core for any other run.
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

// EndKind is the way in which a run ended.
type EndKind uint8

// Kinds of ends.
const (
	EndUnknown EndKind = iota
	EndDone
	EndFailed
	EndStopped
	EndLeaseExpired
	EndGangBroken     // another member of the gang ended
	EndGangIncomplete // the other members did not start in time
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
