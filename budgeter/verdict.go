package budgeter

import "corianderroad/identifier"

// Verdict is the decision on a submission.
type Verdict uint8

// Values of Verdict.
const (
	// Accept means that the job may be appended to the journal.
	Accept Verdict = iota
	// AcceptAtEnd means that it may be appended if the journal ends where this node has read it:
	// the job needs more than a node may accept without the knowledge of the others.
	AcceptAtEnd
	// Await means that the decision must be repeated after the next reading of the journal.
	Await
	// RefuseLimit means that the jobs of all workspaces need all the memory.
	RefuseLimit
	// RefuseShare means that the workspace would use more than an equal share and leave too
	// little to others.
	RefuseShare
)

// IsRefusal reports whether the job must not be accepted.
func (verdict Verdict) IsRefusal() bool { return verdict == RefuseLimit || verdict == RefuseShare }

// String returns the name of the verdict in gauges and log lines.
func (verdict Verdict) String() string {
	return [...]string{"accepted", "accepted-at-end", "awaits-reading", "memory-limit", "workspace-share"}[verdict]
}

// Usage is what the accepted jobs need, in bytes.
type Usage struct {
	Held, Limit int64
	// Unread is the part of Held that this node has accepted and not yet read.
	Unread int64
}

// View returns the present usage.
func (budgeter *Budgeter) View() Usage {
	return Usage{Held: budgeter.held, Limit: budgeter.limit, Unread: budgeter.unread}
}

// Held returns what the jobs of a workspace need, in bytes.
func (budgeter *Budgeter) Held(workspace identifier.Workspace) int64 {
	if account, ok := budgeter.accounts[workspace]; ok {
		return account.held
	}
	return 0
}

// Knows reports whether a job counts.
func (budgeter *Budgeter) Knows(job identifier.Job) bool {
	_, ok := budgeter.jobs[job]
	return ok
}
