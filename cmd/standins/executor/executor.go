// Package executor gives a state to one goroutine. Handlers send it functions
// through a bounded ring, so that a state needs no lock.
package executor

import (
	"context"
	"time"

	"corianderroad/buffer"
	"corianderroad/classifier"
)

// capacity bounds the operations that wait for one state. A minion accepts 64
// connections, each of which waits for at most one operation at a time.
const capacity = 256

type operation[S any] struct {
	apply func(now time.Time, state S)
	done  chan struct{}
}

// Executor applies functions to the state that it owns, one at a time and with
// times that never go back. It is safe for concurrent use.
type Executor[S any] struct {
	state S
	clock func() time.Time
	ring  *buffer.Ring[operation[S]]
	ended chan struct{}
}

// New returns an executor that owns state.
func New[S any](name string, state S, clock func() time.Time) *Executor[S] {
	return &Executor[S]{
		state: state,
		clock: clock,
		ring:  buffer.New[operation[S]](name, capacity),
		ended: make(chan struct{}),
	}
}

// Do applies a function and returns after it was applied. The error has code
// RingFull if too many operations wait, Leaving after Run has ended, and
// TimedOut if the context ends first; then the function may still be applied.
func (executor *Executor[S]) Do(ctx context.Context, apply func(now time.Time, state S)) error {
	waiting := operation[S]{apply: apply, done: make(chan struct{})}
	if err := executor.ring.Offer(waiting); err != nil {
		return err
	}
	select {
	case <-waiting.done:
		return nil
	case <-executor.ended:
		return classifier.New(classifier.Leaving, "%s has stopped", executor.ring.Name())
	case <-ctx.Done():
		return classifier.New(classifier.TimedOut, "operation on %s: %s", executor.ring.Name(), ctx.Err())
	}
}

// Run is the duty that owns the state. It returns nil when the context ends. It
// is called once.
func (executor *Executor[S]) Run(ctx context.Context) error {
	defer close(executor.ended)
	var newest time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case waiting := <-executor.ring.Entries():
			if now := executor.clock(); now.After(newest) {
				newest = now
			}
			waiting.apply(newest, executor.state)
			close(waiting.done)
		}
	}
}
