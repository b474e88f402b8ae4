// Package runner runs state machines as duties. Each duty is one goroutine that
// sleeps until it receives an event or a query, or until the time that the state
// machine's Next returns.
package runner

import (
	"context"
	"time"

	"corianderroad/buffer"
	"corianderroad/messenger"
	"corianderroad/querier"
)

// Machine is the state machine of a duty. Next returns when it requires the next
// Tick, or the zero time if it requires none.
type Machine interface {
	Step(now time.Time, event messenger.Event) []messenger.Action
	Next() time.Time
	View(now time.Time, query querier.Query) querier.Answer
}

// Carrier passes the actions of a state machine to the duties that perform them.
type Carrier interface {
	// Carry passes on an action. If a full ring refuses it, Carry returns the event
	// that reports the refusal to the state machine, or nil if the state machine
	// repeats the action anyway. Carry returns an error only if the context has
	// ended.
	Carry(ctx context.Context, action messenger.Action) (messenger.Event, error)
}

// Question is a query with a channel for its answer. The channel must have capacity
// for the answer, so that the duty does not block.
type Question struct {
	Query  querier.Query
	Answer chan<- querier.Answer
}

// Clock returns the present time with a monotonic clock reading.
type Clock func() time.Time

// Duty owns one state machine. Only the goroutine of Run accesses it.
type Duty struct {
	machine   Machine
	events    *buffer.Ring[messenger.Event]
	questions *buffer.Ring[Question]
	carrier   Carrier
	clock     Clock
}

// New returns a duty that reads events and questions and passes actions to the
// carrier.
func New(machine Machine, events *buffer.Ring[messenger.Event], questions *buffer.Ring[Question],
	carrier Carrier, clock Clock,
) *Duty {
	return &Duty{machine: machine, events: events, questions: questions, carrier: carrier, clock: clock}
}

// Run runs the state machine until the context ends, and returns the context's
// error.
func (duty *Duty) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		duty.schedule(timer)
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-duty.events.Entries():
			err = duty.step(ctx, event)
		case question := <-duty.questions.Entries():
			question.Answer <- duty.machine.View(duty.clock(), question.Query)
		case <-timer.C:
			err = duty.step(ctx, messenger.Tick{})
		}
		if err != nil {
			return err
		}
	}
}

// schedule sets the timer to the time of the state machine's next tick. If that time
// has passed, the tick competes with waiting events and questions. Neither can starve
// the other, because select chooses at random.
func (duty *Duty) schedule(timer *time.Timer) {
	next := duty.machine.Next()
	if next.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(max(next.Sub(duty.clock()), 0))
}

func (duty *Duty) step(ctx context.Context, event messenger.Event) error {
	pending := []messenger.Event{event}
	for len(pending) > 0 {
		first := pending[0]
		pending = pending[1:]
		for _, action := range duty.machine.Step(duty.clock(), first) {
			refused, err := duty.carrier.Carry(ctx, action)
			if err != nil {
				return err
			}
			if refused != nil {
				pending = append(pending, refused)
			}
		}
	}
	return nil
}
