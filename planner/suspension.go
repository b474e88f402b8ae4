package planner

import "time"

// maxStepGap is the longest time between two events of a node that runs. The holder has at
// least one each idleInterval. With RenewInterval it is shorter than the time after which
// another node claims.
const maxStepGap = 800 * time.Millisecond

// suspension observes whether the node was suspended. When it continues, another node may
// have claimed, and leases are renewed again only once the claim is confirmed.
type suspension struct {
	steppedAt   time.Time
	continuedAt time.Time
}

// observe notes the time of an event. Only the active holder has events all the time.
func (suspension *suspension) observe(now time.Time, isActive bool) {
	if !isActive {
		suspension.steppedAt = time.Time{}
		return
	}
	if !suspension.steppedAt.IsZero() && now.Sub(suspension.steppedAt) > maxStepGap {
		suspension.continuedAt = now
	}
	suspension.steppedAt = now
}

// endedBefore reports whether the last suspension had ended when the newest confirmation
// of the claim was requested.
func (suspension *suspension) endedBefore(confirmedAt time.Time) bool {
	return !confirmedAt.Before(suspension.continuedAt)
}
