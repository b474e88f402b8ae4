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

// StateMachine is the state machine of a duty. Next returns when it requires the
// next Tick, or the zero time if it requires none.
type StateMachine interface {
	Step(now time.Time, event messenger.Event) []messenger.Action
	Next() time.Time
	View(now time.Time, query querier.Query) querier.Answer
}

// ActionDispatcher passes the actions of a state machine to the duties that
// perform them.
type ActionDispatcher interface {
	// Dispatch passes on an action. If a full ring refuses it, Dispatch returns
	// the event that reports the refusal to the state machine, or nil if the
	// state machine repeats the action anyway. Dispatch returns an error only if
	// the context has ended.
	Dispatch(ctx context.Context, action messenger.Action) (messenger.Event, error)
}

// QueryRequest is a query with a channel for its answer. The channel must have
// capacity for the answer, so that the duty does not block.
type QueryRequest struct {
	Query  querier.Query
	Answer chan<- querier.Answer
}

// Clock returns the present time with a monotonic clock reading.
type Clock func() time.Time

// Duty owns one state machine. Only the goroutine of Run accesses it.
type Duty struct {
	stateMachine     StateMachine
	events           *buffer.Ring[messenger.Event]
	queryRequests    *buffer.Ring[QueryRequest]
	actionDispatcher ActionDispatcher
	clock            Clock
}

// New returns a duty that reads events and query requests and passes actions to
// the dispatcher.
func New(stateMachine StateMachine, events *buffer.Ring[messenger.Event], queryRequests *buffer.Ring[QueryRequest],
	actionDispatcher ActionDispatcher, clock Clock,
) *Duty {
	return &Duty{stateMachine: stateMachine, events: events, queryRequests: queryRequests, actionDispatcher: actionDispatcher, clock: clock}
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
		case queryRequest := <-duty.queryRequests.Entries():
			queryRequest.Answer <- duty.stateMachine.View(duty.clock(), queryRequest.Query)
		case <-timer.C:
			err = duty.step(ctx, messenger.Tick{})
		}
		if err != nil {
			return err
		}
	}
}

// schedule sets the timer to the time of the state machine's next tick. If that
// time has passed, the tick competes with waiting events and query requests.
// Neither can starve the other, because select chooses at random.
func (duty *Duty) schedule(timer *time.Timer) {
	next := duty.stateMachine.Next()
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
		for _, action := range duty.stateMachine.Step(duty.clock(), first) {
			refused, err := duty.actionDispatcher.Dispatch(ctx, action)
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
