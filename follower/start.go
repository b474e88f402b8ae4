package follower

import (
	"context"
	"time"
)

// begin returns the offset of the first read.
func (follower *Follower) begin(ctx context.Context) (uint64, error) {
	if follower.parameters.Recent == 0 {
		return 1, nil
	}
	// The first retained offset and the end come with the answer or the refusal.
	answer, err := follower.log.read(ctx, 1, 1, 0)
	first, next := answer.FirstRetained, answer.Next
	if gone, ok := err.(goneError); ok {
		first, next, err = gone.firstRetained, gone.next, nil
	}
	if err != nil {
		return 0, err
	}
	return follower.search(ctx, max(first, 1), next)
}

// search returns the last offset that is older than the recent time, so that
// the append there proves that no later one was missed.
func (follower *Follower) search(ctx context.Context, first, next uint64) (uint64, error) {
	cutoff := time.Now().Add(-follower.parameters.Recent)
	low, high := first, next
	for low < high {
		middle := low + (high-low)/2
		answer, err := follower.log.read(ctx, middle, 1, 0)
		if gone, ok := err.(goneError); ok && gone.firstRetained > middle {
			// Retention goes on during the search.
			low = gone.firstRetained
			first = low
			continue
		}
		if err != nil {
			return 0, err
		}
		if len(answer.Appends) > 0 && !answer.Appends[0].AppendedAt.After(cutoff) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return max(low-1, first), nil
}
