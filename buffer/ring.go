// Package buffer provides the bounded ring that joins two duties.
package buffer

import (
	"context"
	"sync/atomic"

	"corianderroad/classifier"
)

// Ring is a bounded first-in first-out queue between duties. A full ring
// refuses at once or makes the sender wait; it never grows and never drops.
// A reader sleeps while the ring is empty. Ring is safe for concurrent use.
type Ring[T any] struct {
	name    string
	slots   chan T
	refused atomic.Uint64
}

// New returns a ring that holds at most capacity entries. The name appears in
// errors and as a counter's label.
func New[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{name: name, slots: make(chan T, capacity)}
}

// Offer adds an entry without waiting. It returns an error with code RingFull
// if there is no room.
func (ring *Ring[T]) Offer(entry T) error {
	select {
	case ring.slots <- entry:
		return nil
	default:
		ring.refused.Add(1)
		return classifier.New(classifier.RingFull, "ring %s holds its %d entries", ring.name, cap(ring.slots))
	}
}

// Put adds an entry and waits for room until the context ends. It is the
// back-pressure between duties that must lose nothing.
func (ring *Ring[T]) Put(ctx context.Context, entry T) error {
	select {
	case ring.slots <- entry:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Entries returns the channel from which the reading duty receives. It is
// never closed: a duty ends with its context, not with its input.
func (ring *Ring[T]) Entries() <-chan T { return ring.slots }

// Name returns the name given to New.
func (ring *Ring[T]) Name() string { return ring.name }

// Depth returns the number of entries that wait.
func (ring *Ring[T]) Depth() int { return len(ring.slots) }

// Refused returns how often Offer found the ring full.
func (ring *Ring[T]) Refused() uint64 { return ring.refused.Load() }
