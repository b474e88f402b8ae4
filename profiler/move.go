package profiler

import "time"

// moveTime is what a move costs a run beside the work that it loses: the stop, the record of its
// next start, and the time until it works again.
const moveTime = 1500 * time.Millisecond

// Stall is a run without progress, or a gang with such a run, that could continue elsewhere.
type Stall struct {
	// For is how long it has made no progress.
	For time.Duration
	// Lost is the work that it would do again.
	Lost time.Duration
}

// MovePays reports whether a move is expected to end the run earlier. A stall is expected to last
// for as long again as it has lasted: most are over soon, and one that has lasted for long goes
// on. A run is thus moved late if it loses much, and the loss never exceeds the time it has waited.
func (stall Stall) MovePays() bool { return stall.For >= moveTime+stall.Lost }
