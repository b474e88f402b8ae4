package applier

import (
	"maps"
	"slices"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// splitter decides which items begin a new part of a snapshot. It holds the size and
// the number of items of the current part.
type splitter struct{ size, items int }

// startsNewPart adds an item and returns whether it begins a new part.
func (splitter *splitter) startsNewPart(size int) bool {
	if splitter.items > 0 && (splitter.size+size > maxPartSize || splitter.items >= maxPartItems) {
		splitter.size, splitter.items = size, 1
		return true
	}
	splitter.size += size
	splitter.items++
	return false
}

// states returns the state in parts. Each part contains the version.
func (configuration *configuration) states() []messenger.State {
	parts := []*messenger.ConfigurationState{{Version: configuration.version}}
	splitter := splitter{}
	partFor := func(size int) *messenger.ConfigurationState {
		if splitter.startsNewPart(size) {
			parts = append(parts, &messenger.ConfigurationState{Version: configuration.version})
		}
		return parts[len(parts)-1]
	}
	for _, organisation := range slices.Sorted(maps.Keys(configuration.texts)) {
		text := configuration.texts[organisation]
		part := partFor(len(text.raw))
		part.Organisations = append(part.Organisations,
			messenger.PublishedText{Organisation: organisation, Version: text.parsed.Version, Text: text.raw})
	}
	for _, organisation := range slices.Sorted(maps.Keys(configuration.pending)) {
		pending := configuration.pending[organisation]
		part := partFor(len(pending.raw))
		part.Pending = append(part.Pending, messenger.PendingText{
			Publication: pending.offset, Organisation: organisation, Text: pending.raw,
			Approvals: slices.Sorted(maps.Keys(pending.approvals)),
		})
	}
	for _, entry := range configuration.deduplicator.entries {
		part := partFor(appliedEntrySize)
		part.Applied = append(part.Applied, entry)
	}
	return toStates(parts)
}

// restore fills an empty configuration from the parts of a snapshot. It returns false
// if a part is invalid.
func (configuration *configuration) restore(states []messenger.State) bool {
	var entries []messenger.AppliedEntry
	var version identifier.Offset
	for _, state := range states {
		part, ok := state.(messenger.ConfigurationState)
		if !ok {
			return false
		}
		version = part.Version
		entries = append(entries, part.Applied...)
		for _, text := range part.Organisations {
			parsed, err := configuration.parse(text.Organisation, text.Text)
			if err != nil {
				return false
			}
			configuration.setText(text.Version, text.Version, text.Text, parsed)
		}
		for _, text := range part.Pending {
			parsed, err := configuration.parse(text.Organisation, text.Text)
			if err != nil {
				return false
			}
			pending := &pendingPublication{offset: text.Publication, raw: text.Text, parsed: parsed, approvals: map[identifier.Organisation]bool{}}
			for _, organisation := range text.Approvals {
				pending.approvals[organisation] = true
			}
			configuration.pending[text.Organisation] = pending
			configuration.itemDigest += pending.fingerprint()
		}
	}
	configuration.deduplicator = newDeduplicator(entries)
	configuration.version = version
	configuration.changed = true
	return true
}

// Estimated sizes of small items on the wire.
const (
	appliedEntrySize = 96
	claimSize        = 128
	jobSize          = 256
)

func (jobs *jobs) states() []messenger.State {
	parts := []*messenger.JobsState{{}}
	splitter := splitter{}
	partFor := func(size int) *messenger.JobsState {
		if splitter.startsNewPart(size) {
			parts = append(parts, &messenger.JobsState{})
		}
		return parts[len(parts)-1]
	}
	for _, claim := range jobs.sortedClaims() {
		part := partFor(claimSize)
		part.Claims = append(part.Claims, claim)
	}
	for _, job := range jobs.sorted() {
		part := partFor(jobSize + len(job.Spec.Job) + len(job.Spec.Workspace) + len(job.Outcome.Reason))
		part.Jobs = append(part.Jobs, *job)
	}
	for _, entry := range jobs.deduplicator.entries {
		part := partFor(appliedEntrySize)
		part.Applied = append(part.Applied, entry)
	}
	return toStates(parts)
}

// restore fills empty jobs from the parts of a snapshot. It returns false if a part is
// invalid.
func (jobs *jobs) restore(states []messenger.State) bool {
	var entries []messenger.AppliedEntry
	for _, state := range states {
		part, ok := state.(messenger.JobsState)
		if !ok {
			return false
		}
		entries = append(entries, part.Applied...)
		for _, claim := range part.Claims {
			jobs.claims[claim.Claim.Region] = claim
			jobs.itemDigest += claimFingerprint(claim)
		}
		for _, job := range part.Jobs {
			jobs.jobs[job.Spec.Job] = &job
			jobs.itemDigest += jobFingerprint(&job)
			if !job.EndedAt.IsZero() {
				jobs.ended = append(jobs.ended, &job)
			}
		}
	}
	slices.SortStableFunc(jobs.ended, func(a, b *messenger.JobState) int { return a.EndedAt.Compare(b.EndedAt) })
	jobs.deduplicator = newDeduplicator(entries)
	return true
}

func toStates[T messenger.State](parts []*T) []messenger.State {
	states := make([]messenger.State, len(parts))
	for i, part := range parts {
		states[i] = *part
	}
	return states
}
