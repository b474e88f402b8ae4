package planner

import (
	"time"

	"corianderroad/evictor"
)

// countingDecider counts the searches of another decider.
type countingDecider struct {
	stopDecider
	searches *int
}

// Choose implements stopDecider.
func (decider countingDecider) Choose(now time.Time, room *evictor.Room) (evictor.Choice, bool) {
	*decider.searches++
	return decider.stopDecider.Choose(now, room)
}

// CountSearches counts from now on how often the planner searches for runs to stop.
func (planner *Planner) CountSearches() *int {
	searches := new(int)
	planner.stops = countingDecider{planner.stops, searches}
	return searches
}
