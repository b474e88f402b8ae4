package router

import "time"

// link prices the use of the region link: a request may cross only while this
// node's part of the link's volume lasts.
type link struct {
	rate   float64
	tokens float64
	at     time.Time
}

func newLink(rate int) link { return link{rate: float64(rate), tokens: float64(rate)} }

// spend takes the bytes of a crossing and says whether they were left.
func (link *link) spend(now time.Time, bytes int) bool {
	if !link.at.IsZero() {
		link.tokens = min(link.rate, link.tokens+link.rate*now.Sub(link.at).Seconds())
	}
	link.at = now
	if link.tokens < float64(bytes) {
		return false
	}
	link.tokens -= float64(bytes)
	return true
}
