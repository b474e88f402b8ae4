package router

import (
	"time"
)

// Bounds of the record of attempts.
const (
	// maxTransit is how long after it was sent a Forward is accepted.
	maxTransit = time.Minute
	// seenTime exceeds maxTransit by as much as the clocks of two nodes may
	// differ, so that a second copy of a Forward is always known.
	seenTime = 3 * time.Minute
	maxSeen  = 1 << 16
)

// seen records the attempts that this owner has taken or refused, so that a
// second copy of a Forward neither runs nor gets another answer.
type seen struct {
	attempts map[attemptID]struct{}
	order    []seenAttempt
}

type seenAttempt struct {
	id attemptID
	at time.Time
}

func newSeen() seen { return seen{attempts: map[attemptID]struct{}{}} }

// add records an attempt and says whether it is new.
func (seen *seen) add(now time.Time, id attemptID) bool {
	if _, ok := seen.attempts[id]; ok {
		return false
	}
	seen.attempts[id] = struct{}{}
	seen.order = append(seen.order, seenAttempt{id, now})
	return true
}

// full says whether there is no room for another attempt.
func (seen *seen) full(now time.Time) bool {
	for len(seen.order) > 0 && now.Sub(seen.order[0].at) > seenTime {
		delete(seen.attempts, seen.order[0].id)
		seen.order = seen.order[1:]
	}
	return len(seen.attempts) >= maxSeen
}
