// Package planner generates the calls of a load and the times at which they start.
package planner

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"corianderroad/identifier"
)

// Class distinguishes short calls, which are urgent, from long ones.
type Class uint8

// Classes of calls.
const (
	Short Class = iota
	Long
)

// String returns the class's name in kebab case.
func (class Class) String() string {
	if class == Long {
		return "long"
	}
	return "short"
}

// Workspace is the workspace of a caller and its token.
type Workspace struct {
	Name  identifier.Workspace
	Token string
}

// Kind describes the calls of one class.
type Kind struct {
	Class  Class
	Method identifier.Method
	// Idempotent calls may run more than once.
	Idempotent bool
	RunTime    time.Duration
	Timeout    time.Duration
	// Rate is the mean number of calls per second outside of peaks.
	Rate float64
	// UnkeyedFraction is the fraction of calls, 0 to 1, without an idempotency key.
	UnkeyedFraction float64
}

// LoadSwing multiplies the rate by Factor in the second half of every period.
type LoadSwing struct {
	Period time.Duration
	Factor float64
}

// Call is one call to send.
type Call struct {
	Kind      Kind
	ID        string
	Key       identifier.Key
	Workspace Workspace
	Body      []byte
	// Repeated is true if the call was sent before.
	Repeated bool
	// Due is when the call should be sent. Latency is measured from this time, so
	// that it includes the delay of a late sender.
	Due time.Time
}

// Planner generates the calls of one kind. It is not safe for concurrent use.
type Planner struct {
	kind       Kind
	swing      LoadSwing
	workspaces []Workspace
	random     *rand.Rand
	start      time.Time
	due        time.Time
	count      uint64
}

// New returns a planner whose first call is due after start.
func New(kind Kind, swing LoadSwing, workspaces []Workspace, start time.Time, seed uint64) *Planner {
	return &Planner{
		kind: kind, swing: swing, workspaces: workspaces, start: start, due: start,
		random: rand.New(rand.NewPCG(seed, uint64(kind.Class))),
	}
}

// Next returns the next call. Calls arrive independently of each other, with
// exponentially distributed intervals at the current rate.
func (planner *Planner) Next() Call {
	interval := planner.random.ExpFloat64() / planner.rate(planner.due.Sub(planner.start))
	planner.due = planner.due.Add(time.Duration(interval * float64(time.Second)))
	planner.count++
	call := Call{
		Kind:      planner.kind,
		ID:        fmt.Sprintf("%s-%d-%016x", planner.kind.Class, planner.count, planner.random.Uint64()),
		Workspace: planner.workspaces[planner.random.IntN(len(planner.workspaces))],
		Due:       planner.due,
	}
	if !planner.kind.Idempotent && planner.random.Float64() >= planner.kind.UnkeyedFraction {
		call.Key = identifier.Key(uuid.Must(uuid.NewV7()).String())
	}
	call.Body = fmt.Appendf(nil, `{"run-time":%q,"call":%q,"once":%t}`, planner.kind.RunTime, call.ID, !planner.kind.Idempotent)
	return call
}

// rate returns the mean number of calls per second at the elapsed time.
func (planner *Planner) rate(elapsed time.Duration) float64 {
	if planner.swing.Period > 0 && elapsed%planner.swing.Period >= planner.swing.Period/2 {
		return planner.kind.Rate * planner.swing.Factor
	}
	return planner.kind.Rate
}
