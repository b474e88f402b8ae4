package leaser

import (
	"time"

	"corianderroad/identifier"
)

// Renewable says whether every member reported its task in answer to a call
// that was sent at since or later.
func (gang *Gang) Renewable(since time.Time) bool {
	return (gang.phase == Running || gang.phase == Checkpointing) && !gang.evidence().Before(since)
}

// Deadline returns the end of the lease that a renewal may give: one lease
// after the time at which the whole gang surely ran.
func (gang *Gang) Deadline() time.Time { return gang.evidence().Add(gang.timing.Lease) }

// Observation returns the newest observation of a member's task.
func (gang *Gang) Observation(worker identifier.Worker) Observation {
	return gang.members[gang.index[worker]].newest
}

// Extend notes that renewals with the given end are being sent.
func (gang *Gang) Extend(deadline time.Time) {
	if deadline.After(gang.expiry) {
		gang.expiry = deadline
	}
}

// evidence returns the latest time since which every member has been observed.
func (gang *Gang) evidence() time.Time {
	oldest := gang.members[0].newest.AskedAt
	for i := range gang.members {
		if at := gang.members[i].newest.AskedAt; at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}
