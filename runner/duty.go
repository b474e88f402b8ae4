// Package runner runs decision machines as duties: one goroutine for each,
// which sleeps until an event, a query or the machine's own time arrives.
package runner

import (
	"context"
	"time"

	"corianderroad/buffer"
	"corianderroad/messenger"
	"corianderroad/querier"
)

// Machine is what a duty runs.
type Machine interface {
	Step(now time.Time, event messenger.Event) []messenger.Action
	Next() time.Time
	View(now time.Time, query querier.Query) querier.Answer
}

// Carrier takes the actions of a machine to where they are carried out.
type Carrier interface {
	// Carry hands on an action. If it is refused for lack of room, Carry returns
	// the event by which the machine learns it, or nil if the machine repeats
	// the action by itself. It returns an error only if the context has ended.
	Carry(ctx context.Context, action messenger.Action) (messenger.Event, error)
}

// Question is a query with the place for its answer, which holds one entry.
type Question struct {
	Query  querier.Query
	Answer chan<- querier.Answer
}

// Clock returns the present time, with a monotonic reading.
type Clock func() time.Time

// Duty owns one machine. Only its goroutine touches the machine.
type Duty struct {
	machine   Machine
	events    *buffer.Ring[messenger.Event]
	questions *buffer.Ring[Question]
	carrier   Carrier
	clock     Clock
}

// New returns a duty that reads events and questions and hands actions to the
// carrier.
func New(machine Machine, events *buffer.Ring[messenger.Event], questions *buffer.Ring[Question],
	carrier Carrier, clock Clock,
) *Duty {
	return &Duty{machine: machine, events: events, questions: questions, carrier: carrier, clock: clock}
}

// Run runs the machine until the context ends, and returns the context's error.
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

// schedule sets the timer to the machine's next time. A machine whose time has
// passed gets its tick after the entries that wait, because select is fair.
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
