package applier

import (
	"maps"
	"slices"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// splitter decides where a part of a snapshot ends.
type splitter struct{ size, items int }

// full counts an item and says whether it begins a new part.
func (splitter *splitter) full(size int) bool {
	if splitter.items > 0 && (splitter.size+size > maxPart || splitter.items >= maxPartItems) {
		splitter.size, splitter.items = size, 1
		return true
	}
	splitter.size += size
	splitter.items++
	return false
}

// states returns the state in parts. Each repeats the version.
func (configuration *configuration) states() []messenger.State {
	parts := []*messenger.ConfigurationState{{Version: configuration.version}}
	split := splitter{}
	part := func(size int) *messenger.ConfigurationState {
		if split.full(size) {
			parts = append(parts, &messenger.ConfigurationState{Version: configuration.version})
		}
		return parts[len(parts)-1]
	}
	for _, organisation := range slices.Sorted(maps.Keys(configuration.texts)) {
		text := configuration.texts[organisation]
		to := part(len(text.raw))
		to.Organisations = append(to.Organisations,
			messenger.PublishedText{Organisation: organisation, Version: text.parsed.Version, Text: text.raw})
	}
	for _, organisation := range slices.Sorted(maps.Keys(configuration.pending)) {
		newcomer := configuration.pending[organisation]
		to := part(len(newcomer.raw))
		to.Pending = append(to.Pending, messenger.PendingText{
			Publication: newcomer.offset, Organisation: organisation, Text: newcomer.raw,
			Approvals: slices.Sorted(maps.Keys(newcomer.approvals)),
		})
	}
	for _, entry := range configuration.folded.order {
		to := part(foldedSize)
		to.Applied = append(to.Applied, entry)
	}
	return statesOf(parts)
}

// restore returns false if the parts don't make a state.
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
			configuration.put(text.Version, text.Version, text.Text, parsed)
		}
		for _, text := range part.Pending {
			parsed, err := configuration.parse(text.Organisation, text.Text)
			if err != nil {
				return false
			}
			newcomer := &pending{offset: text.Publication, raw: text.Text, parsed: parsed, approvals: map[identifier.Organisation]bool{}}
			for _, organisation := range text.Approvals {
				newcomer.approvals[organisation] = true
			}
			configuration.pending[text.Organisation] = newcomer
			configuration.items += newcomer.fingerprint()
		}
	}
	configuration.folded = newFolded(entries)
	configuration.version = version
	configuration.changed = true
	return true
}

// Estimated sizes of small items on the wire.
const (
	foldedSize = 96
	claimSize  = 128
	jobSize    = 256
)

func (jobs *jobs) states() []messenger.State {
	parts := []*messenger.JobsState{{}}
	split := splitter{}
	part := func(size int) *messenger.JobsState {
		if split.full(size) {
			parts = append(parts, &messenger.JobsState{})
		}
		return parts[len(parts)-1]
	}
	for _, claim := range jobs.sortedClaims() {
		to := part(claimSize)
		to.Claims = append(to.Claims, claim)
	}
	for _, job := range jobs.sorted() {
		to := part(jobSize + len(job.Spec.Job) + len(job.Spec.Workspace) + len(job.Outcome.Reason))
		to.Jobs = append(to.Jobs, *job)
	}
	for _, entry := range jobs.folded.order {
		to := part(foldedSize)
		to.Applied = append(to.Applied, entry)
	}
	return statesOf(parts)
}

// restore returns false if the parts don't make a state.
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
			jobs.items += claimFingerprint(claim)
		}
		for _, job := range part.Jobs {
			jobs.jobs[job.Spec.Job] = &job
			jobs.items += jobFingerprint(&job)
			if !job.EndedAt.IsZero() {
				jobs.ended = append(jobs.ended, &job)
			}
		}
	}
	slices.SortStableFunc(jobs.ended, func(a, b *messenger.JobState) int { return a.EndedAt.Compare(b.EndedAt) })
	jobs.folded = newFolded(entries)
	return true
}

func statesOf[T messenger.State](parts []*T) []messenger.State {
	states := make([]messenger.State, len(parts))
	for i, part := range parts {
		states[i] = *part
	}
	return states
}
