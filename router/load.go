package router

import (
	"time"

	"corianderroad/messenger"
)

// Times between two reports of the load.
const (
	minReport = 250 * time.Millisecond
	// maxReport is how often the newest value is repeated, because the ring to
	// the detector may refuse one.
	maxReport = time.Second
)

// loadReport is the load that was reported last.
type loadReport struct {
	at      time.Time
	last    messenger.LoadChanged
	pending *timer
}

// measure returns the number of waiting requests and of free slots.
func (router *Router) measure() (queued, free int) {
	for _, waiting := range router.queues {
		queued += waiting.length()
		for _, member := range waiting.minions {
			if member.state == serving {
				free += member.limiter.Free()
			}
		}
	}
	return queued, free
}

// reportLoad sends the load to the detector, at most once per minReport and at
// least once per maxReport.
func (router *Router) reportLoad(now time.Time) {
	since := now.Sub(router.load.at)
	if since < minReport {
		return
	}
	queued, free := router.measure()
	current := messenger.LoadChanged{Queued: queued, FreeSlots: free}
	if current == router.load.last && since < maxReport {
		return
	}
	router.load.at, router.load.last = now, current
	router.emit(current)
	router.timers.cancel(router.load.pending)
	router.load.pending = router.timers.set(now.Add(maxReport), func(time.Time) {})
}
