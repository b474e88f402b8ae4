// Package budgeter decides whether a node may accept one more job, so that the memory that all
// accepted jobs need stays within a limit at every node. It knows no network, clock or encoding.
// All nodes count the same from the journal.
package budgeter

import (
	"time"

	"corianderroad/identifier"
)

const (
	// nodes is how many nodes may accept jobs at the same time without seeing each other's. What
	// they accept between two readings of the journal is at most half of what is free.
	nodes        = 40
	unreadShares = 2 * nodes
	// freeMultiple is how many times the memory that stays free one workspace may use. A single
	// workspace thus leaves a quarter of the limit to others.
	freeMultiple = 3
	// reserveDivisor is the part of the limit that is left to workspaces that use little, although
	// others use less than an equal share: two workspaces could fill the limit otherwise.
	reserveDivisor = 16
)

// Budgeter counts the memory of the accepted jobs. Only one goroutine may use it.
type Budgeter struct {
	limit     int64
	retention time.Duration
	jobs      map[identifier.Job]entry
	accounts  map[identifier.Workspace]*account
	held      int64
	// unread is the part of held that this node has accepted and not yet read.
	unread int64
	// openWorkspaces counts the workspaces with jobs that have not ended.
	openWorkspaces int
	expiries       expiries
}

// entry is what a job needs.
type entry struct {
	workspace identifier.Workspace
	bytes     int64
	isUnread  bool
	// expiresAt is when the state of an ended job need not be readable any more, zero for an
	// open job.
	expiresAt time.Time
}

func (entry entry) isOpen() bool { return entry.expiresAt.IsZero() }

// account is what the jobs of a workspace need.
type account struct {
	held int64
	jobs int
	open int // jobs that have not ended
}

// New returns a Budgeter without jobs. The limit is in bytes. The retention is how long the state
// of an ended job stays readable, and so its memory in use.
func New(limit int64, retention time.Duration) *Budgeter {
	return &Budgeter{limit: limit, retention: retention, jobs: make(map[identifier.Job]entry), accounts: make(map[identifier.Workspace]*account)}
}

// Admit decides on a submission. A job that it accepts counts at once. A job that counts already
// is accepted, because the journal has it or may have it.
func (budgeter *Budgeter) Admit(job identifier.Job, workspace identifier.Workspace, bytes int64) Verdict {
	if budgeter.Knows(job) {
		return Accept
	}
	bytes = budgeter.counted(bytes)
	verdict := budgeter.decide(workspace, bytes)
	if verdict == Accept || verdict == AcceptAtEnd {
		budgeter.put(job, entry{workspace: workspace, bytes: bytes, isUnread: true})
	}
	return verdict
}

func (budgeter *Budgeter) decide(workspace identifier.Workspace, bytes int64) Verdict {
	if verdict := budgeter.check(workspace, bytes); verdict != Accept {
		return verdict
	}
	share := (budgeter.limit - budgeter.held + budgeter.unread) / unreadShares
	switch {
	case budgeter.unread+bytes <= share:
		return Accept
	case bytes <= share:
		return Await
	default:
		return AcceptAtEnd
	}
}

// check compares a job with the limit and with what other workspaces must find free.
func (budgeter *Budgeter) check(workspace identifier.Workspace, bytes int64) Verdict {
	demand := budgeter.demand(workspace, bytes)
	return demand.check()
}

// Read counts a job that the journal has, with what it needs now. The time of its end is zero while
// it is open.
func (budgeter *Budgeter) Read(job identifier.Job, workspace identifier.Workspace, bytes int64, endedAt time.Time) {
	read := entry{workspace: workspace, bytes: budgeter.counted(bytes)}
	if endedAt.IsZero() {
		budgeter.put(job, read)
		return
	}
	budgeter.putEnded(job, read, endedAt)
}

// counted returns what counts of a job. The largest job may need more than a small machine has for
// all jobs. It is accepted while no other is open, and must leave room for other workspaces.
func (budgeter *Budgeter) counted(bytes int64) int64 {
	return min(bytes, budgeter.limit/(freeMultiple+1)*freeMultiple)
}

// End says that a job has ended at some time. What it needs counts until Release.
func (budgeter *Budgeter) End(job identifier.Job, endedAt time.Time) {
	if known, ok := budgeter.jobs[job]; ok {
		budgeter.putEnded(job, known, endedAt)
	}
}

func (budgeter *Budgeter) putEnded(job identifier.Job, ended entry, endedAt time.Time) {
	ended.expiresAt = endedAt.Add(budgeter.retention)
	isKnown := budgeter.jobs[job].expiresAt.Equal(ended.expiresAt)
	budgeter.put(job, ended)
	if !isKnown {
		budgeter.expiries.add(expiry{at: ended.expiresAt, job: job}, budgeter.jobs)
	}
}

// Shrink says that a job needs no more than some bytes.
func (budgeter *Budgeter) Shrink(job identifier.Job, bytes int64) {
	if known, ok := budgeter.jobs[job]; ok {
		known.bytes = min(known.bytes, bytes)
		budgeter.put(job, known)
	}
}

// Settle says that a reading of the journal no longer has to be awaited for a job, because it
// is not known whether the journal will have it.
func (budgeter *Budgeter) Settle(job identifier.Job) {
	if known, ok := budgeter.jobs[job]; ok {
		known.isUnread = false
		budgeter.put(job, known)
	}
}

// Release forgets a job that no node has.
func (budgeter *Budgeter) Release(job identifier.Job) {
	known, ok := budgeter.jobs[job]
	if !ok {
		return
	}
	delete(budgeter.jobs, job)
	budgeter.held -= known.bytes
	if known.isUnread {
		budgeter.unread -= known.bytes
	}
	account := budgeter.accounts[known.workspace]
	account.held -= known.bytes
	account.jobs--
	if known.isOpen() {
		account.open--
		if account.open == 0 {
			budgeter.openWorkspaces--
		}
	}
	if account.jobs == 0 {
		delete(budgeter.accounts, known.workspace)
	}
}

func (budgeter *Budgeter) put(job identifier.Job, added entry) {
	budgeter.Release(job)
	budgeter.jobs[job] = added
	budgeter.held += added.bytes
	if added.isUnread {
		budgeter.unread += added.bytes
	}
	owner, ok := budgeter.accounts[added.workspace]
	if !ok {
		owner = &account{}
		budgeter.accounts[added.workspace] = owner
	}
	owner.held += added.bytes
	owner.jobs++
	if added.isOpen() {
		owner.open++
		if owner.open == 1 {
			budgeter.openWorkspaces++
		}
	}
}
