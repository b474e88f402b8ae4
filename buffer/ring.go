// Package buffer provides the bounded ring that connects two duties.
package buffer

import (
	"context"
	"sync/atomic"

	"corianderroad/classifier"
)

// Ring is a bounded first-in first-out queue between duties. A full ring refuses
// the entry at once or blocks the sender; it never grows and never drops entries.
// A reader blocks while the ring is empty. Ring is safe for concurrent use.
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
// if the ring is full.
func (ring *Ring[T]) Offer(entry T) error {
	select {
	case ring.slots <- entry:
		return nil
	default:
		ring.refused.Add(1)
		return classifier.New(classifier.RingFull, "ring %s is full with %d entries", ring.name, cap(ring.slots))
	}
}

// Put adds an entry. While the ring is full, it blocks until the context ends.
// This is the back-pressure between duties that must not lose entries.
func (ring *Ring[T]) Put(ctx context.Context, entry T) error {
	select {
	case ring.slots <- entry:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Entries returns the channel from which the reading duty receives. It is
// never closed: a duty ends with its context, not with the end of its input.
func (ring *Ring[T]) Entries() <-chan T { return ring.slots }

// Name returns the name given to New.
func (ring *Ring[T]) Name() string { return ring.name }

// Depth returns the number of entries in the ring.
func (ring *Ring[T]) Depth() int { return len(ring.slots) }

// Refused returns how often Offer found the ring full.
func (ring *Ring[T]) Refused() uint64 { return ring.refused.Load() }
