// Package budgeter decides whether a node may accept one more job, so that the memory that all
// accepted jobs need stays within a limit at every node. It knows no network, clock or encoding.
// All nodes count the same from the journal.
package budgeter

import "corianderroad/identifier"

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
	limit    int64
	jobs     map[identifier.Job]entry
	accounts map[identifier.Workspace]*account
	held     int64
	// unread is the part of held that this node has accepted and not yet read.
	unread int64
	// openWorkspaces counts the workspaces with jobs that have not ended.
	openWorkspaces int
}

// entry is what a job needs.
type entry struct {
	workspace identifier.Workspace
	bytes     int64
	isOpen    bool
	isUnread  bool
}

// account is what the jobs of a workspace need.
type account struct {
	held int64
	jobs int
	open int // jobs that have not ended
}

// New returns a Budgeter without jobs. The limit is in bytes.
func New(limit int64) *Budgeter {
	return &Budgeter{limit: limit, jobs: make(map[identifier.Job]entry), accounts: make(map[identifier.Workspace]*account)}
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
		budgeter.put(job, entry{workspace: workspace, bytes: bytes, isOpen: true, isUnread: true})
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

// check compares a job with the limit and with what other workspaces must find free. A job fits
// while no other is open, whatever is left of ended ones up to a quarter of the limit.
func (budgeter *Budgeter) check(workspace identifier.Workspace, bytes int64) Verdict {
	if budgeter.openWorkspaces == 0 && budgeter.held <= budgeter.limit/(freeMultiple+1) {
		return Accept
	}
	free := budgeter.limit - budgeter.held - bytes
	if free < 0 {
		return RefuseLimit
	}
	workspaces, held := budgeter.openWorkspaces, bytes
	if account, ok := budgeter.accounts[workspace]; ok {
		held += account.held
		if account.open > 0 {
			workspaces--
		}
	}
	// The equal share is that of one workspace more than there are, so that a further one
	// finds room.
	equalShare := budgeter.limit / int64(workspaces+2)
	isModest := held <= equalShare && free >= budgeter.limit/reserveDivisor
	if held > freeMultiple*free && !isModest {
		return RefuseShare
	}
	return Accept
}

// Read counts a job that the journal has, with what it needs now.
func (budgeter *Budgeter) Read(job identifier.Job, workspace identifier.Workspace, bytes int64, isOpen bool) {
	budgeter.put(job, entry{workspace: workspace, bytes: budgeter.counted(bytes), isOpen: isOpen})
}

// counted returns what counts of a job. The largest job may need more than a small machine has for
// all jobs. It is accepted while no other is open, and must leave room for other workspaces.
func (budgeter *Budgeter) counted(bytes int64) int64 {
	return min(bytes, budgeter.limit/(freeMultiple+1)*freeMultiple)
}

// End says that a job has ended. What it needs counts until Release.
func (budgeter *Budgeter) End(job identifier.Job) {
	if known, ok := budgeter.jobs[job]; ok {
		known.isOpen = false
		budgeter.put(job, known)
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
	if known.isOpen {
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
	if added.isOpen {
		owner.open++
		if owner.open == 1 {
			budgeter.openWorkspaces++
		}
	}
}
