package budgeter

import (
	"slices"
	"time"

	"corianderroad/identifier"
)

const (
	// maxExpiries bounds the ended jobs that RoomAt considers for one submission.
	maxExpiries = 4096
	// minOutdated is how many outdated expiries are kept at least, so that few are not removed
	// one by one.
	minOutdated = 64
)

// RoomAt returns when so many ended jobs have expired that a job would not be refused, if nothing
// else changes, or false if it is not known: the jobs that have ended do not leave enough room. Jobs
// that end meanwhile, or other nodes, may leave room earlier.
func (budgeter *Budgeter) RoomAt(workspace identifier.Workspace, bytes int64) (time.Time, bool) {
	demand := budgeter.demand(workspace, budgeter.counted(bytes))
	for _, expiry := range budgeter.expiries.first(maxExpiries, budgeter.jobs) {
		if !expiry.isCurrent(budgeter.jobs) {
			continue
		}
		ended := budgeter.jobs[expiry.job]
		demand.release(ended.bytes, ended.workspace == workspace)
		if demand.check() == Accept {
			return expiry.at, true
		}
	}
	return time.Time{}, false
}

// expiry is when an ended job no longer counts.
type expiry struct {
	at  time.Time
	job identifier.Job
}

// isCurrent reports whether the job still counts and has ended at the time of this expiry.
func (expiry expiry) isCurrent(jobs map[identifier.Job]entry) bool {
	known, ok := jobs[expiry.job]
	return ok && known.expiresAt.Equal(expiry.at)
}

// expiries are those of the ended jobs, and some that are outdated.
type expiries struct {
	entries []expiry
	// isUnsorted means that an entry may be before an earlier one. Ends are read nearly in their
	// order, but in any order by a node that starts.
	isUnsorted bool
}

// add adds an expiry. At most as many outdated ones are kept as there are jobs.
func (expiries *expiries) add(added expiry, jobs map[identifier.Job]entry) {
	if count := len(expiries.entries); count > 0 && added.at.Before(expiries.entries[count-1].at) {
		expiries.isUnsorted = true
	}
	expiries.entries = append(expiries.entries, added)
	if len(expiries.entries) > 2*len(jobs)+minOutdated {
		expiries.entries = slices.DeleteFunc(expiries.entries, func(expiry expiry) bool { return !expiry.isCurrent(jobs) })
	}
}

// first returns the earliest expiries, some of which may be outdated.
func (expiries *expiries) first(count int, jobs map[identifier.Job]entry) []expiry {
	if expiries.isUnsorted {
		slices.SortFunc(expiries.entries, func(one, other expiry) int { return one.at.Compare(other.at) })
		expiries.isUnsorted = false
	}
	for len(expiries.entries) > 0 && !expiries.entries[0].isCurrent(jobs) {
		expiries.entries = expiries.entries[1:]
	}
	return expiries.entries[:min(count, len(expiries.entries))]
}
