package router

import (
	"time"
)

// Bounds of the history of attempts.
const (
	// maxForwardAge is the age up to which a Forward is accepted.
	maxForwardAge = time.Minute
	// historyRetention exceeds maxForwardAge by the maximum difference between the
	// clocks of two nodes, so that a second copy of a Forward is always detected.
	historyRetention = 3 * time.Minute
	maxHistory       = 1 << 16
)

// history records the attempts that this owner has accepted, refused or
// cancelled, so that a second copy of a Forward neither runs nor is answered again.
type history struct {
	attempts map[attemptID]struct{}
	order    []historyEntry
}

type historyEntry struct {
	id attemptID
	at time.Time
}

func newHistory() history { return history{attempts: map[attemptID]struct{}{}} }

// add records an attempt and reports whether it is new.
func (history *history) add(now time.Time, id attemptID) bool {
	if _, ok := history.attempts[id]; ok {
		return false
	}
	history.attempts[id] = struct{}{}
	history.order = append(history.order, historyEntry{id, now})
	return true
}

// isFull removes expired entries and reports whether no further attempt can be
// recorded.
func (history *history) isFull(now time.Time) bool {
	for len(history.order) > 0 && now.Sub(history.order[0].at) > historyRetention {
		delete(history.attempts, history.order[0].id)
		history.order = history.order[1:]
	}
	return len(history.attempts) >= maxHistory
}
