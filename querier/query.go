// Package querier declares the queries of callers and operators, which change
// no state, and their answers. It is independent of any protocol.
package querier

import (
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// Kind is the kind of a query.
type Kind uint8

// Kinds of queries.
const (
	// Status requests members, configuration, jobs and gauges.
	Status Kind = iota + 1
	// Explain requests the decisions about one subject, or from the holder on the users'
	// platform what it knows of one job.
	Explain
	// Shares requests guarantees and use by workspace.
	Shares
	// JobState requests the state of the job that Subject names from an entry VM.
	JobState
	// QueueLength requests from an entry VM the number of jobs that have not started
	// in the queue that Subject names.
	QueueLength
	// PoolStatus requests from a node on the users' platform what it knows of the pool as a
	// whole.
	PoolStatus
)

// Query is a query to the state machines of one node or of all nodes.
type Query struct {
	Kind Kind
	// Subject names the subject of Explain, JobState or QueueLength. For Explain it is
	// a job, request, workspace, worker or node.
	Subject string
	// Workspace restricts the answer to one workspace, empty for all.
	Workspace identifier.Workspace
}

// Answer is the part of an answer that one state machine contributes.
type Answer struct {
	Members       []Member
	Configuration []Organisation
	Jobs          []Job
	Minions       []Minion
	Workers       []Worker
	Decisions     []Decision
	// IsHolder is set for Explain and PoolStatus by the holder, and Explanations has its answer, none if
	// it has no such job.
	IsHolder     bool
	Explanations []Explanation
	Shares       []Share
	Gauges       []Gauge
	// Pools answers PoolStatus, in one row.
	Pools []Pool
	// Submitted answers JobState. It is empty if the entry VM has no such job.
	Submitted []SubmittedJob
	// Waiting answers QueueLength.
	Waiting int
	// AsOf is set for JobState and QueueLength. The answer includes all commands that
	// were acknowledged up to this time.
	AsOf time.Time
}

// SubmittedJob is the state of a job in the journal.
type SubmittedJob struct {
	Job       identifier.Job
	Queue     identifier.Queue
	Workspace identifier.Workspace
	State     specifier.State
	// Reason is why the job has failed, empty otherwise.
	Reason string
}

// Merge appends the rows of another part.
func (answer *Answer) Merge(part Answer) {
	answer.Members = append(answer.Members, part.Members...)
	answer.Configuration = append(answer.Configuration, part.Configuration...)
	answer.Jobs = append(answer.Jobs, part.Jobs...)
	answer.Minions = append(answer.Minions, part.Minions...)
	answer.Workers = append(answer.Workers, part.Workers...)
	answer.Decisions = append(answer.Decisions, part.Decisions...)
	answer.IsHolder = answer.IsHolder || part.IsHolder
	answer.Explanations = append(answer.Explanations, part.Explanations...)
	answer.Pools = append(answer.Pools, part.Pools...)
	answer.Shares = append(answer.Shares, part.Shares...)
	answer.Gauges = append(answer.Gauges, part.Gauges...)
	answer.Submitted = append(answer.Submitted, part.Submitted...)
	answer.Waiting += part.Waiting
	if answer.AsOf.IsZero() {
		answer.AsOf = part.AsOf
	}
}

// Member is one node as the answering node sees it.
type Member struct {
	Node          identifier.Node
	Region        identifier.Region
	FailureDomain identifier.FailureDomain
	State         string
	Incarnation   identifier.Incarnation
	Configuration identifier.Offset
}

// Organisation is the state of one organisation's publication.
type Organisation struct {
	Organisation identifier.Organisation
	Version      identifier.Offset
	// Pending is the offset of a publication that awaits approval, zero for none.
	Pending identifier.Offset
	// Missing lists the members that have not approved Pending.
	Missing []identifier.Organisation
}

// Job is the state of one job.
type Job struct {
	Job       identifier.Job
	Workspace identifier.Workspace
	Region    identifier.Region
	State     string
	Reason    string
	Workers   []identifier.Worker
	Since     time.Time
}

// Minion is the state of one minion at its owner.
type Minion struct {
	Minion  identifier.Minion
	Service identifier.Service
	Busy    int
	Slots   int
	State   string
}

// Worker is the state of one worker at the placing node.
type Worker struct {
	Worker identifier.Worker
	Rack   identifier.Rack
	Free   int
	Total  int
	State  string
}

// Decision is one recorded decision with its reason.
type Decision struct {
	At      time.Time
	Node    identifier.Node
	Subject string
	// Reason is a result code's name or a decision's name in kebab case.
	Reason string
	Detail string
}

// Share is the use of one workspace.
type Share struct {
	Workspace identifier.Workspace
	// Guaranteed is the number of guaranteed accelerators.
	Guaranteed int
	// Used is the number of accelerators in use.
	Used int
	// Covered reports whether every guaranteed shape can be reclaimed now.
	Covered bool
}

// Gauge is a named measured value. The name ends with its unit.
type Gauge struct {
	Name  string
	Label string
	Value float64
}
