// Package executor confines a state to one goroutine. Handlers send functions to
// that goroutine through a bounded ring, so that the state needs no lock.
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
// times that never decrease. It is safe for concurrent use.
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

// Do applies a function to the state and returns when it has run. The error has
// code RingFull if too many operations are waiting, Leaving if Run has ended, and
// TimedOut if the context ends first. After TimedOut the function may still run.
func (executor *Executor[S]) Do(ctx context.Context, apply func(now time.Time, state S)) error {
	submitted := operation[S]{apply: apply, done: make(chan struct{})}
	if err := executor.ring.Offer(submitted); err != nil {
		return err
	}
	select {
	case <-submitted.done:
		return nil
	case <-executor.ended:
		return classifier.New(classifier.Leaving, "%s has stopped", executor.ring.Name())
	case <-ctx.Done():
		return classifier.New(classifier.TimedOut, "operation on %s: %s", executor.ring.Name(), ctx.Err())
	}
}

// Run is the duty that owns the state. It returns nil when the context ends and
// must be called only once.
func (executor *Executor[S]) Run(ctx context.Context) error {
	defer close(executor.ended)
	var newest time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-executor.ring.Entries():
			if now := executor.clock(); now.After(newest) {
				newest = now
			}
			next.apply(newest, executor.state)
			close(next.done)
		}
	}
}
