package router

import "time"

// link is a token bucket for the region link: a request may cross only within this
// node's share of the link's bandwidth. It holds at most one second's worth of bytes.
type link struct {
	rate   float64
	tokens float64
	at     time.Time
}

func newLink(rate int) link { return link{rate: float64(rate), tokens: float64(rate)} }

// allows reports whether a crossing of the given size is within the budget.
func (link *link) allows(at time.Time, bytes int) bool { return link.available(at) >= float64(bytes) }

// consume subtracts the bytes of a crossing.
func (link *link) consume(now time.Time, bytes int) {
	link.tokens, link.at = link.available(now)-float64(bytes), now
}

func (link *link) available(at time.Time) float64 {
	if link.at.IsZero() {
		return link.tokens
	}
	return min(link.rate, link.tokens+link.rate*max(0, at.Sub(link.at).Seconds()))
}
