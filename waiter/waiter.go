// Package waiter joins answers of decision machines to the callers that wait
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

type operation[T any] struct {
	request identifier.Request
	// reply is set to register a request, answer to resolve one; both are nil to
	// forget one.
	reply  chan<- T
	answer *T
}

// New returns a Waiter whose ring holds capacity operations.
func New[T any](name string, capacity int) *Waiter[T] {
	return &Waiter[T]{operations: buffer.New[operation[T]](name, capacity)}
}

// Register announces a request before it is handed to a machine and returns
// the channel on which its one answer arrives. The error has code RingFull.
func (waiter *Waiter[T]) Register(request identifier.Request) (<-chan T, error) {
	reply := make(chan T, 1)
	if err := waiter.operations.Offer(operation[T]{request: request, reply: reply}); err != nil {
		return nil, err
	}
	return reply, nil
}

// Resolve delivers the answer to a request. An answer that nobody waits for is
// discarded.
func (waiter *Waiter[T]) Resolve(ctx context.Context, request identifier.Request, answer T) error {
	return waiter.operations.Put(ctx, operation[T]{request: request, answer: &answer})
}

// Forget ends the wait for a request.
func (waiter *Waiter[T]) Forget(ctx context.Context, request identifier.Request) error {
	return waiter.operations.Put(ctx, operation[T]{request: request})
}

// Run keeps the table until the context ends.
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
		reply <- *operation.answer // holds one entry, and only the first answer finds the reply
	}
	delete(replies, operation.request)
}

// Name returns the name of the ring of operations.
func (waiter *Waiter[T]) Name() string { return waiter.operations.Name() }

// Depth returns the number of operations that wait.
func (waiter *Waiter[T]) Depth() int { return waiter.operations.Depth() }

// Refused returns how often Register found the ring full.
func (waiter *Waiter[T]) Refused() uint64 { return waiter.operations.Refused() }
