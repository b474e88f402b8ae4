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

// allows says whether the bytes of a crossing are left at a time.
func (link *link) allows(at time.Time, bytes int) bool { return link.left(at) >= float64(bytes) }

// spend takes the bytes of a crossing.
func (link *link) spend(now time.Time, bytes int) {
	link.tokens, link.at = link.left(now)-float64(bytes), now
}

func (link *link) left(at time.Time) float64 {
	if link.at.IsZero() {
		return link.tokens
	}
	return min(link.rate, link.tokens+link.rate*max(0, at.Sub(link.at).Seconds()))
}
