// Package querier declares the queries of callers and operators, which change
// nothing, and their answers. It knows no protocol.
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
	// Status asks for members, configuration, jobs and gauges.
	Status Kind = iota + 1
	// Explain asks for the decisions about one subject.
	Explain
	// Shares asks for guarantees and use by workspace.
	Shares
	// JobState asks an entry for the state of the job that Subject names.
	JobState
	// QueueLength asks an entry how many jobs of the queue that Subject names
	// have not begun.
	QueueLength
)

// Query is a question to the machines of one or all nodes.
type Query struct {
	Kind Kind
	// Subject is what Explain asks about: a job, request, workspace, worker or
	// node by its name.
	Subject string
	// Workspace limits the answer to one workspace, empty for all.
	Workspace identifier.Workspace
}

// Answer is the part of an answer that one machine knows.
type Answer struct {
	Members       []Member
	Configuration []Organisation
	Jobs          []Job
	Minions       []Minion
	Workers       []Worker
	Decisions     []Decision
	Shares        []Share
	Gauges        []Gauge
	// Submitted answers JobState. It is empty if the entry knows no such job.
	Submitted []SubmittedJob
	// Waiting answers QueueLength.
	Waiting int
	// AsOf is the time up to which all acknowledged commands are contained, for
	// JobState and QueueLength.
	AsOf time.Time
}

// SubmittedJob is the state of a job in the journal.
type SubmittedJob struct {
	Job       identifier.Job
	Queue     identifier.Queue
	Workspace identifier.Workspace
	State     specifier.State
}

// Merge appends the rows of another part.
func (answer *Answer) Merge(part Answer) {
	answer.Members = append(answer.Members, part.Members...)
	answer.Configuration = append(answer.Configuration, part.Configuration...)
	answer.Jobs = append(answer.Jobs, part.Jobs...)
	answer.Minions = append(answer.Minions, part.Minions...)
	answer.Workers = append(answer.Workers, part.Workers...)
	answer.Decisions = append(answer.Decisions, part.Decisions...)
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
	// Covered says whether every guaranteed shape can be reclaimed now.
	Covered bool
}

// Gauge is a measured value by name, in the unit that its name ends with.
type Gauge struct {
	Name  string
	Label string
	Value float64
}
