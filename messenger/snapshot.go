package messenger

import (
	"time"

	"corianderroad/commander"
	"corianderroad/identifier"
)

// Snapshot is one part of the applied state of a stream up to and including
// offset Covered. The state is split into parts because the sizes of an append
// and of a frame are limited.
type Snapshot struct {
	Covered identifier.Offset
	// Digest is the xxhash digest of the complete state, all parts together.
	Digest uint64
	// Part counts from 0 to Parts-1.
	Part  int
	Parts int
	State State
}

// State is the applied state of a stream, or a part of it.
type State interface{ state() }

// ConfigurationState is the applied state of the stream configuration.
type ConfigurationState struct {
	// Version is the offset of the newest record that changed the configuration.
	Version       identifier.Offset
	Organisations []PublishedText
	Pending       []PendingText
	Applied       []AppliedEntry
}

// PublishedText is the text in force of one organisation.
type PublishedText struct {
	Organisation identifier.Organisation
	Version      identifier.Offset
	Text         []byte
}

// PendingText is a newcomer's publication that awaits approvals.
type PendingText struct {
	Publication  identifier.Offset
	Organisation identifier.Organisation
	Text         []byte
	Approvals    []identifier.Organisation
}

// JobsState is the applied state of the stream jobs.
type JobsState struct {
	Jobs    []JobState
	Claims  []ClaimState
	Applied []AppliedEntry
}

// JobState is the applied state of one job.
type JobState struct {
	Spec       commander.JobSpec
	Offset     identifier.Offset
	AcceptedAt time.Time
	// CancelledAt is the offset of the first cancellation, zero for none.
	CancelledAt identifier.Offset
	// EndedAt is the time of the outcome, zero for a job that has not ended.
	EndedAt time.Time
	Outcome Outcome
}

// ClaimState is the newest claim of a region.
type ClaimState struct {
	Claim RegionClaim
	Term  identifier.Term
}

// AppliedEntry is the ID of a record that must not be applied again.
type AppliedEntry struct {
	ID string
	At time.Time
}

func (Snapshot) record() {}

func (ConfigurationState) state() {}
func (JobsState) state()          {}
