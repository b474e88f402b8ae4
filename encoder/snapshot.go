package encoder

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// logSnapshot returns the wire form of a part of a snapshot.
func logSnapshot(snapshot messenger.Snapshot) (LogSnapshot, error) {
	wire := LogSnapshot{
		Covered: uint64(snapshot.Covered), Digest: snapshot.Digest, Part: snapshot.Part, Parts: snapshot.Parts,
	}
	switch state := snapshot.State.(type) {
	case messenger.ConfigurationState:
		wire.Configuration = logConfigurationState(state)
	case messenger.JobsState:
		wire.Jobs = logJobsState(state)
	default:
		return LogSnapshot{}, classifier.New(classifier.Internal, "state %T has no wire form", state)
	}
	return wire, nil
}

// messenger returns the part of a snapshot. The error has code BadFrame if it
// does not hold exactly one state.
func (wire *LogSnapshot) messenger() (messenger.Snapshot, error) {
	snapshot := messenger.Snapshot{
		Covered: identifier.Offset(wire.Covered), Digest: wire.Digest, Part: wire.Part, Parts: wire.Parts,
	}
	switch {
	case wire.Configuration != nil && wire.Jobs == nil:
		snapshot.State = wire.Configuration.messenger()
	case wire.Jobs != nil && wire.Configuration == nil:
		snapshot.State = wire.Jobs.messenger()
	default:
		return messenger.Snapshot{}, classifier.New(classifier.BadFrame, "snapshot of offset %d holds no or several states", wire.Covered)
	}
	return snapshot, nil
}

func logConfigurationState(state messenger.ConfigurationState) *LogConfigurationState {
	wire := &LogConfigurationState{Version: uint64(state.Version), Folded: logFoldedEntries(state.Applied)}
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

func (wire *LogConfigurationState) messenger() messenger.ConfigurationState {
	state := messenger.ConfigurationState{Version: identifier.Offset(wire.Version), Applied: foldedEntries(wire.Folded)}
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

func logJobsState(state messenger.JobsState) *LogJobsState {
	wire := &LogJobsState{Folded: logFoldedEntries(state.Applied)}
	for _, job := range state.Jobs {
		row := LogJobState{
			Spec: logJobSpec(job.Spec), Offset: uint64(job.Offset), AcceptedAt: nanoseconds(job.AcceptedAt),
			CancelledAt: uint64(job.CancelledAt), EndedAt: nanoseconds(job.EndedAt),
		}
		if !job.EndedAt.IsZero() {
			outcome := logOutcome(job.Outcome)
			row.Outcome = &outcome
		}
		wire.Jobs = append(wire.Jobs, row)
	}
	for _, claim := range state.Claims {
		wire.Claims = append(wire.Claims, LogClaimState{logRegionClaim(claim.Claim), uint64(claim.Term)})
	}
	return wire
}

func (wire *LogJobsState) messenger() messenger.JobsState {
	state := messenger.JobsState{Applied: foldedEntries(wire.Folded)}
	for i := range wire.Jobs {
		row := &wire.Jobs[i]
		job := messenger.JobState{
			Spec: row.Spec.messenger(), Offset: identifier.Offset(row.Offset), AcceptedAt: instant(row.AcceptedAt),
			CancelledAt: identifier.Offset(row.CancelledAt), EndedAt: instant(row.EndedAt),
		}
		if row.Outcome != nil {
			job.Outcome = row.Outcome.messenger()
		}
		state.Jobs = append(state.Jobs, job)
	}
	for _, claim := range wire.Claims {
		state.Claims = append(state.Claims, messenger.ClaimState{Claim: claim.Claim.messenger(), Term: identifier.Term(claim.Term)})
	}
	return state
}

func logFoldedEntries(entries []messenger.AppliedEntry) []LogFoldedEntry {
	var wire []LogFoldedEntry
	for _, entry := range entries {
		wire = append(wire, LogFoldedEntry{entry.ID, nanoseconds(entry.At)})
	}
	return wire
}

func foldedEntries(wire []LogFoldedEntry) []messenger.AppliedEntry {
	var entries []messenger.AppliedEntry
	for _, entry := range wire {
		entries = append(entries, messenger.AppliedEntry{ID: entry.ID, At: instant(entry.At)})
	}
	return entries
}

// nanoseconds returns the Unix time, zero for the zero time, whose Unix time is
// outside the range of int64 nanoseconds.
func nanoseconds(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixNano()
}

func instant(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds).UTC()
}
