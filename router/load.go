package router

import (
	"time"

	"corianderroad/messenger"
)

// Bounds of the time between two reports of the load.
const (
	minReportInterval = 250 * time.Millisecond
	// maxReportInterval is how often an unchanged value is repeated, because the
	// ring to the detector may have refused a report.
	maxReportInterval = time.Second
)

// loadReport is the last reported load.
type loadReport struct {
	at      time.Time
	last    messenger.LoadChanged
	pending *timer
}

// measureLoad returns the number of waiting requests and of free slots.
func (router *Router) measureLoad() (queued, free int) {
	for _, queue := range router.queues {
		queued += queue.length()
		for _, minion := range queue.minions {
			if minion.state == serving {
				free += minion.limiter.Free()
			}
		}
	}
	return queued, free
}

// reportLoad sends the load to the detector, at most once per minReportInterval
// and at least once per maxReportInterval.
func (router *Router) reportLoad(now time.Time) {
	since := now.Sub(router.load.at)
	if since < minReportInterval {
		return
	}
	queued, free := router.measureLoad()
	current := messenger.LoadChanged{Queued: queued, FreeSlots: free}
	if current == router.load.last && since < maxReportInterval {
		return
	}
	router.load.at, router.load.last = now, current
	router.emit(current)
	router.timers.cancel(router.load.pending)
	router.load.pending = router.timers.set(now.Add(maxReportInterval), func(time.Time) {})
}
