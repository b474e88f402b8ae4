// Package waiter delivers the answers of state machines to the callers that wait
// for them.
package waiter

import (
	"context"

	"corianderroad/buffer"
	"corianderroad/identifier"
)

// Waiter is a duty that owns the table of requests that await an answer of
// type T. Its methods are safe for concurrent use.
type Waiter[T any] struct {
	operations *buffer.Ring[operation[T]]
}

// operation is a change of the table.
type operation[T any] struct {
	request identifier.Request
	// Only reply is set to register a request, and only answer to resolve it. Both
	// are nil to forget it.
	reply  chan<- T
	answer *T
}

// New returns a Waiter whose ring holds capacity operations.
func New[T any](name string, capacity int) *Waiter[T] {
	return &Waiter[T]{operations: buffer.New[operation[T]](name, capacity)}
}

// Register adds a request before it is passed to a state machine and returns the
// channel on which its only answer arrives. The error has code RingFull.
func (waiter *Waiter[T]) Register(request identifier.Request) (<-chan T, error) {
	reply := make(chan T, 1)
	if err := waiter.operations.Offer(operation[T]{request: request, reply: reply}); err != nil {
		return nil, err
	}
	return reply, nil
}

// Resolve delivers the answer to a request. The answer to a request that is not
// registered is discarded.
func (waiter *Waiter[T]) Resolve(ctx context.Context, request identifier.Request, answer T) error {
	return waiter.operations.Put(ctx, operation[T]{request: request, answer: &answer})
}

// Forget removes a request whose caller no longer waits.
func (waiter *Waiter[T]) Forget(ctx context.Context, request identifier.Request) error {
	return waiter.operations.Put(ctx, operation[T]{request: request})
}

// Run applies operations to the table until the context ends.
func (waiter *Waiter[T]) Run(ctx context.Context) error {
	replies := make(map[identifier.Request]chan<- T)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case operation := <-waiter.operations.Entries():
			apply(replies, operation)
		}
	}
}

func apply[T any](replies map[identifier.Request]chan<- T, operation operation[T]) {
	if operation.reply != nil {
		replies[operation.request] = operation.reply
		return
	}
	if reply, ok := replies[operation.request]; ok && operation.answer != nil {
		reply <- *operation.answer // does not block: the channel holds one entry, and only the first answer finds it
	}
	delete(replies, operation.request)
}

// Name returns the name of the ring of operations.
func (waiter *Waiter[T]) Name() string { return waiter.operations.Name() }

// Depth returns the number of operations in the ring.
func (waiter *Waiter[T]) Depth() int { return waiter.operations.Depth() }

// Refused returns how often Register found the ring full.
func (waiter *Waiter[T]) Refused() uint64 { return waiter.operations.Refused() }
