package follower

import (
	"context"
	"time"
)

// findStart returns the offset of the first read.
func (follower *Follower) findStart(ctx context.Context) (uint64, error) {
	if follower.parameters.StartAge == 0 {
		return 1, nil
	}
	// An answer contains the first retained offset and the end, also with status 410.
	answer, err := follower.log.read(ctx, 1, 1, 0)
	first, next := answer.FirstRetained, answer.Next
	if gone, ok := err.(goneError); ok {
		first, next, err = gone.firstRetained, gone.next, nil
	}
	if err != nil {
		return 0, err
	}
	return follower.searchStart(ctx, max(first, 1), next)
}

// searchStart returns the last offset whose append is older than
// Parameters.StartAge, so that this append proves that no later one was missed.
// If there is none, it returns the first retained offset.
func (follower *Follower) searchStart(ctx context.Context, first, next uint64) (uint64, error) {
	cutoff := time.Now().Add(-follower.parameters.StartAge)
	low, high := first, next
	for low < high {
		middle := low + (high-low)/2
		answer, err := follower.log.read(ctx, middle, 1, 0)
		if gone, ok := err.(goneError); ok && gone.firstRetained > middle {
			// Retention may delete appends during the search.
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
