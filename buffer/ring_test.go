package buffer_test

import (
	"context"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/buffer"
	"corianderroad/classifier"
)

// TestRingKeepsOrderAndBound guards against entries that are lost, reordered
// or accepted beyond the capacity.
func TestRingKeepsOrderAndBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		ring := buffer.New[int]("test", capacity)
		var model []int
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				err := ring.Offer(next)
				if full := len(model) == capacity; full != (classifier.CodeOf(err) == classifier.RingFull) {
					t.Fatalf("offer with %d of %d entries returned %v", len(model), capacity, err)
				}
				if err == nil {
					model = append(model, next)
				}
				next++
			},
			"take": func(t *rapid.T) {
				if len(model) == 0 {
					return
				}
				if entry := <-ring.Entries(); entry != model[0] {
					t.Fatalf("received %d, want %d", entry, model[0])
				}
				model = model[1:]
			},
			"": func(t *rapid.T) {
				if ring.Depth() != len(model) {
					t.Fatalf("depth is %d, want %d", ring.Depth(), len(model))
				}
			},
		})
	})
}

// TestPutReturnsWhenContextEnds guards against a sender that blocks forever on
// a full ring whose reader has stopped.
func TestPutReturnsWhenContextEnds(t *testing.T) {
	c := quicktest.New(t)
	ring := buffer.New[int]("test", 1)
	c.Assert(ring.Put(context.Background(), 1), quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(ring.Put(ctx, 2), quicktest.Equals, context.Canceled)
}
