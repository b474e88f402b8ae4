package explainer

import (
	"time"

	"corianderroad/identifier"
	"corianderroad/querier"
)

// refusal is the body of an answer without an explanation.
type refusal struct {
	Node   identifier.Node `json:"node"`
	Error  string          `json:"error"`
	Reason string          `json:"reason"`
}

// explanation is the body of an answer.
type explanation struct {
	Node         identifier.Node      `json:"node"`
	Token        identifier.Term      `json:"token"`
	AsOf         time.Time            `json:"as-of"`
	Job          identifier.Job       `json:"job"`
	Queue        identifier.Queue     `json:"queue"`
	Workspace    identifier.Workspace `json:"workspace"`
	State        string               `json:"state"`
	Failure      string               `json:"failure,omitempty"`
	WaitingSteps []waitingStep        `json:"waiting-steps"`
	OmittedSteps int                  `json:"omitted-steps"`
}

// waitingStep is a step in the body of an answer.
type waitingStep struct {
	Occurrence     int        `json:"occurrence"`
	Step           int        `json:"step"`
	Tasks          int        `json:"tasks"`
	Startable      int        `json:"startable-tasks"`
	Reason         string     `json:"reason"`
	Since          *time.Time `json:"waiting-since,omitempty"`
	Place          int        `json:"place"`
	Waiting        int        `json:"steps-in-order"`
	Late           bool       `json:"late"`
	FittingMinions int        `json:"fitting-minions"`
	ExpectedStart  *time.Time `json:"expected-start,omitempty"`
	Basis          string     `json:"basis"`
}

func render(node identifier.Node, explained *querier.Explanation) explanation {
	body := explanation{
		Node: node, Token: explained.Token, AsOf: explained.AsOf.UTC(), Job: explained.Job, Queue: explained.Queue,
		Workspace: explained.Workspace, State: explained.State.String(), Failure: explained.Failure,
		WaitingSteps: make([]waitingStep, 0, len(explained.Steps)), OmittedSteps: explained.Omitted,
	}
	for index := range explained.Steps {
		step := &explained.Steps[index]
		body.WaitingSteps = append(body.WaitingSteps, waitingStep{
			Occurrence: step.Occurrence, Step: step.Step, Tasks: step.Tasks, Startable: step.Startable, Reason: step.Reason,
			Since: known(step.Since), Place: step.Place, Waiting: step.Waiting, Late: step.Late,
			FittingMinions: step.FittingMinions, ExpectedStart: known(step.ExpectedStart), Basis: step.Basis.String(),
		})
	}
	return body
}

// known returns a time in UTC, nil if it is zero.
func known(at time.Time) *time.Time {
	if at.IsZero() {
		return nil
	}
	at = at.UTC()
	return &at
}
