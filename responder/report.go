package responder

import (
	"time"

	"corianderroad/gatherer"
	"corianderroad/identifier"
	"corianderroad/querier"
)

// Report is the JSON form of an answer for the entire deployment.
type Report struct {
	Nodes []NodeReport `json:"nodes"`
	// Unresponsive lists the nodes that did not answer in time.
	Unresponsive []identifier.Node `json:"silent"`
}

// NodeReport is the JSON form of one node's answer.
type NodeReport struct {
	Node          identifier.Node `json:"node"`
	Members       []Member        `json:"members,omitempty"`
	Configuration []Organisation  `json:"configuration,omitempty"`
	Jobs          []Job           `json:"jobs,omitempty"`
	Minions       []Minion        `json:"minions,omitempty"`
	Workers       []Worker        `json:"workers,omitempty"`
	Decisions     []Decision      `json:"decisions,omitempty"`
	Shares        []Share         `json:"shares,omitempty"`
	Gauges        []Gauge         `json:"gauges,omitempty"`
}

// Member is the JSON form of querier.Member.
type Member struct {
	Node          identifier.Node          `json:"node"`
	Region        identifier.Region        `json:"region"`
	FailureDomain identifier.FailureDomain `json:"failure-domain"`
	State         string                   `json:"state"`
	Incarnation   identifier.Incarnation   `json:"incarnation"`
	Configuration identifier.Offset        `json:"configuration"`
}

// Organisation is the JSON form of querier.Organisation.
type Organisation struct {
	Organisation identifier.Organisation   `json:"organisation"`
	Version      identifier.Offset         `json:"version"`
	Pending      identifier.Offset         `json:"pending,omitempty"`
	Missing      []identifier.Organisation `json:"missing,omitempty"`
}

// Job is the JSON form of querier.Job.
type Job struct {
	Job       identifier.Job       `json:"job"`
	Workspace identifier.Workspace `json:"workspace"`
	Region    identifier.Region    `json:"region"`
	State     string               `json:"state"`
	Reason    string               `json:"reason,omitempty"`
	Workers   []identifier.Worker  `json:"workers,omitempty"`
	Since     time.Time            `json:"since"`
}

// Minion is the JSON form of querier.Minion.
type Minion struct {
	Minion  identifier.Minion  `json:"minion"`
	Service identifier.Service `json:"service"`
	Busy    int                `json:"busy"`
	Slots   int                `json:"slots"`
	State   string             `json:"state"`
}

// Worker is the JSON form of querier.Worker.
type Worker struct {
	Worker identifier.Worker `json:"worker"`
	Rack   identifier.Rack   `json:"rack"`
	Free   int               `json:"free"`
	Total  int               `json:"total"`
	State  string            `json:"state"`
}

// Decision is the JSON form of querier.Decision.
type Decision struct {
	At      time.Time       `json:"at"`
	Node    identifier.Node `json:"node"`
	Subject string          `json:"subject"`
	Reason  string          `json:"reason"`
	Detail  string          `json:"detail,omitempty"`
}

// Share is the JSON form of querier.Share.
type Share struct {
	Workspace  identifier.Workspace `json:"workspace"`
	Guaranteed int                  `json:"guaranteed"`
	Used       int                  `json:"used"`
	Covered    bool                 `json:"covered"`
}

// Gauge is the JSON form of querier.Gauge.
type Gauge struct {
	Name  string  `json:"name"`
	Label string  `json:"label,omitempty"`
	Value float64 `json:"value"`
}

// render converts a report. A workspace gets only its own jobs, its shares and the
// decisions about its own jobs. Members, minions, workers and gauges are for operators.
func render(report gatherer.Report, workspace identifier.Workspace) Report {
	rendered := Report{Unresponsive: append([]identifier.Node{}, report.Unresponsive...)}
	for _, nodeAnswer := range report.Answers {
		if workspace != "" {
			nodeAnswer.Answer = restrictToWorkspace(nodeAnswer.Answer, workspace)
		}
		rendered.Nodes = append(rendered.Nodes, renderNode(nodeAnswer))
	}
	return rendered
}

func restrictToWorkspace(answer querier.Answer, workspace identifier.Workspace) querier.Answer {
	var restricted querier.Answer
	ownJobs := make(map[string]bool)
	for _, job := range answer.Jobs {
		if job.Workspace == workspace {
			restricted.Jobs = append(restricted.Jobs, job)
			ownJobs[string(job.Job)] = true
		}
	}
	for _, decision := range answer.Decisions {
		if ownJobs[decision.Subject] {
			restricted.Decisions = append(restricted.Decisions, decision)
		}
	}
	for _, share := range answer.Shares {
		if share.Workspace == workspace {
			restricted.Shares = append(restricted.Shares, share)
		}
	}
	return restricted
}

func renderNode(nodeAnswer gatherer.NodeAnswer) NodeReport {
	answer := nodeAnswer.Answer
	return NodeReport{
		Node:          nodeAnswer.Node,
		Members:       convertRows(answer.Members, func(member querier.Member) Member { return Member(member) }),
		Configuration: convertRows(answer.Configuration, func(organisation querier.Organisation) Organisation { return Organisation(organisation) }),
		Jobs:          convertRows(answer.Jobs, func(job querier.Job) Job { return Job(job) }),
		Minions:       convertRows(answer.Minions, func(minion querier.Minion) Minion { return Minion(minion) }),
		Workers:       convertRows(answer.Workers, func(worker querier.Worker) Worker { return Worker(worker) }),
		Decisions:     convertRows(answer.Decisions, func(decision querier.Decision) Decision { return Decision(decision) }),
		Shares:        convertRows(answer.Shares, func(share querier.Share) Share { return Share(share) }),
		Gauges:        convertRows(answer.Gauges, func(gauge querier.Gauge) Gauge { return Gauge(gauge) }),
	}
}

func convertRows[From, To any](rows []From, convert func(From) To) []To {
	converted := make([]To, 0, len(rows))
	for _, from := range rows {
		converted = append(converted, convert(from))
	}
	return converted
}
