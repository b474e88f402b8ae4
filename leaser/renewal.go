package leaser

import (
	"time"

	"corianderroad/identifier"
)

// IsRenewable reports whether every member has reported its task in the answer to
// a call that was sent at since or later.
func (gang *Gang) IsRenewable(since time.Time) bool {
	return (gang.phase == Running || gang.phase == Checkpointing) && !gang.observedSince().Before(since)
}

// RenewalDeadline returns the latest end of lease that a renewal may grant: one
// lease after the last time at which the complete gang is known to have run.
func (gang *Gang) RenewalDeadline() time.Time { return gang.observedSince().Add(gang.timing.Lease) }

// Observation returns the newest observation of a member's task.
func (gang *Gang) Observation(worker identifier.Worker) Observation {
	return gang.members[gang.index[worker]].newest
}

// ExtendExpiry records that renewals with the given end of lease are being sent.
func (gang *Gang) ExtendExpiry(deadline time.Time) {
	if deadline.After(gang.expiry) {
		gang.expiry = deadline
	}
}

// observedSince returns the latest time since which every member has been
// observed: the oldest of the members' newest observations.
func (gang *Gang) observedSince() time.Time {
	oldest := gang.members[0].newest.SentAt
	for i := range gang.members {
		if at := gang.members[i].newest.SentAt; at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}
