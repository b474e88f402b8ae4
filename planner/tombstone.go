package planner

import (
	"slices"
	"strings"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// tombstones are those of the journal, with when this node read them.
type tombstones map[messenger.Tombstone]*tombstoneState

type tombstoneState struct {
	readAt time.Time
	// deletedWith is the token with which this node has deleted it, zero if it has not.
	deletedWith identifier.Term
}

// hasFor reports whether the caller has cancelled a job that now becomes durable.
func (tombstones tombstones) hasFor(job *specifier.Job) bool {
	return tombstones[messenger.Tombstone{Job: job.ID, Workspace: job.Workspace}] != nil
}

// applyTombstone keeps a tombstone, and returns the job that it cancels, nil if the journal does
// not have it yet.
func (planner *Planner) applyTombstone(now time.Time, tombstone messenger.Tombstone) *job {
	planner.tombstones[tombstone] = &tombstoneState{readAt: now}
	job, ok := planner.jobs[tombstone.Job]
	if !ok || !job.submitted || job.spec.Workspace != tombstone.Workspace {
		return nil
	}
	job.withdrawn = true
	planner.updateOpenJobs(job)
	return job
}

// expiredTombstones returns the tombstones that no append of their jobs can follow any more.
// That of a job stays until the journal has its end.
func (planner *Planner) expiredTombstones(now time.Time) []messenger.Tombstone {
	if now.Before(planner.nextExpiryCheckAt) {
		return nil
	}
	var expired []messenger.Tombstone
	for tombstone, state := range planner.tombstones {
		job, ok := planner.jobs[tombstone.Job]
		isNeeded := now.Sub(state.readAt) <= messenger.MaxAppendDelay || (ok && job.submitted && !job.journalState.IsFinal())
		if !isNeeded && state.deletedWith != planner.holder.token && len(expired) < maxDeletionsPerRecord {
			state.deletedWith = planner.holder.token
			expired = append(expired, tombstone)
		}
	}
	slices.SortFunc(expired, func(one, other messenger.Tombstone) int { return strings.Compare(string(one.Job), string(other.Job)) })
	return expired
}
