package encoder

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// snapshotToWire returns the wire form of a part of a snapshot.
func snapshotToWire(snapshot messenger.Snapshot) (LogSnapshot, error) {
	wire := LogSnapshot{
		Covered: uint64(snapshot.Covered), Digest: snapshot.Digest, Part: snapshot.Part, Parts: snapshot.Parts,
	}
	switch state := snapshot.State.(type) {
	case messenger.ConfigurationState:
		wire.Configuration = configurationStateToWire(state)
	case messenger.JobsState:
		wire.Jobs = jobsStateToWire(state)
	default:
		return LogSnapshot{}, classifier.New(classifier.Internal, "state %T has no wire form", state)
	}
	return wire, nil
}

// decode returns the part of a snapshot. The error has code BadFrame if the part
// does not contain exactly one state.
func (wire *LogSnapshot) decode() (messenger.Snapshot, error) {
	snapshot := messenger.Snapshot{
		Covered: identifier.Offset(wire.Covered), Digest: wire.Digest, Part: wire.Part, Parts: wire.Parts,
	}
	switch {
	case wire.Configuration != nil && wire.Jobs == nil:
		snapshot.State = wire.Configuration.decode()
	case wire.Jobs != nil && wire.Configuration == nil:
		state, err := wire.Jobs.decode()
		if err != nil {
			return messenger.Snapshot{}, err
		}
		snapshot.State = state
	default:
		return messenger.Snapshot{}, classifier.New(classifier.BadFrame, "snapshot of offset %d does not contain exactly one state", wire.Covered)
	}
	return snapshot, nil
}

func configurationStateToWire(state messenger.ConfigurationState) *LogConfigurationState {
	wire := &LogConfigurationState{Version: uint64(state.Version), Applied: appliedEntriesToWire(state.Applied)}
	for _, published := range state.Organisations {
		wire.Organisations = append(wire.Organisations,
			LogPublishedText{string(published.Organisation), uint64(published.Version), published.Text})
	}
	for _, pending := range state.Pending {
		approvals := make([]string, len(pending.Approvals))
		for i, organisation := range pending.Approvals {
			approvals[i] = string(organisation)
		}
		wire.Pending = append(wire.Pending,
			LogPendingText{uint64(pending.Publication), string(pending.Organisation), pending.Text, approvals})
	}
	return wire
}

func (wire *LogConfigurationState) decode() messenger.ConfigurationState {
	state := messenger.ConfigurationState{Version: identifier.Offset(wire.Version), Applied: appliedEntriesFromWire(wire.Applied)}
	for _, published := range wire.Organisations {
		state.Organisations = append(state.Organisations, messenger.PublishedText{
			Organisation: identifier.Organisation(published.Organisation),
			Version:      identifier.Offset(published.Version), Text: published.Text,
		})
	}
	for _, pending := range wire.Pending {
		var approvals []identifier.Organisation
		for _, organisation := range pending.Approvals {
			approvals = append(approvals, identifier.Organisation(organisation))
		}
		state.Pending = append(state.Pending, messenger.PendingText{
			Publication: identifier.Offset(pending.Publication), Organisation: identifier.Organisation(pending.Organisation),
			Text: pending.Text, Approvals: approvals,
		})
	}
	return state
}

func jobsStateToWire(state messenger.JobsState) *LogJobsState {
	wire := &LogJobsState{Applied: appliedEntriesToWire(state.Applied)}
	for _, job := range state.Jobs {
		row := LogJobState{
			Spec: jobSpecToWire(job.Spec), Offset: uint64(job.Offset), AcceptedAt: unixNanoseconds(job.AcceptedAt),
			CancelledAt: uint64(job.CancelledAt), EndedAt: unixNanoseconds(job.EndedAt),
		}
		if !job.EndedAt.IsZero() {
			outcome := outcomeToWire(job.Outcome)
			row.Outcome = &outcome
		}
		wire.Jobs = append(wire.Jobs, row)
	}
	for _, claim := range state.Claims {
		wire.Claims = append(wire.Claims, LogClaimState{regionClaimToWire(claim.Claim), uint64(claim.Term)})
	}
	return wire
}

func (wire *LogJobsState) decode() (messenger.JobsState, error) {
	state := messenger.JobsState{Applied: appliedEntriesFromWire(wire.Applied)}
	for i := range wire.Jobs {
		row := &wire.Jobs[i]
		spec, err := row.Spec.decode()
		if err != nil {
			return messenger.JobsState{}, err
		}
		job := messenger.JobState{
			Spec: spec, Offset: identifier.Offset(row.Offset), AcceptedAt: utcTime(row.AcceptedAt),
			CancelledAt: identifier.Offset(row.CancelledAt), EndedAt: utcTime(row.EndedAt),
		}
		if row.Outcome != nil {
			job.Outcome = row.Outcome.decode()
		}
		state.Jobs = append(state.Jobs, job)
	}
	for _, claim := range wire.Claims {
		state.Claims = append(state.Claims, messenger.ClaimState{Claim: claim.Claim.decode(), Term: identifier.Term(claim.Term)})
	}
	return state, nil
}

func appliedEntriesToWire(entries []messenger.AppliedEntry) []LogAppliedEntry {
	var wire []LogAppliedEntry
	for _, entry := range entries {
		wire = append(wire, LogAppliedEntry{entry.ID, unixNanoseconds(entry.At)})
	}
	return wire
}

func appliedEntriesFromWire(wire []LogAppliedEntry) []messenger.AppliedEntry {
	var entries []messenger.AppliedEntry
	for _, entry := range wire {
		entries = append(entries, messenger.AppliedEntry{ID: entry.ID, At: utcTime(entry.At)})
	}
	return entries
}

// unixNanoseconds returns the Unix time in nanoseconds. It returns zero for the
// zero time, whose Unix time is outside the range of int64 nanoseconds.
func unixNanoseconds(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixNano()
}

func utcTime(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds).UTC()
}
