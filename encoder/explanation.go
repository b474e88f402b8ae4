package encoder

import (
	"corianderroad/identifier"
	"corianderroad/querier"
	"corianderroad/specifier"
)

func explanationToWire(row querier.Explanation) WireExplanationRow {
	return WireExplanationRow{
		Job: string(row.Job), Queue: string(row.Queue), Workspace: string(row.Workspace), State: uint8(row.State), Failure: row.Failure,
		Token: uint64(row.Token), AsOf: row.AsOf, Omitted: row.Omitted,
		Steps: convertRows(row.Steps, func(row querier.WaitingStep) WireWaitingStepRow {
			return WireWaitingStepRow{
				Occurrence: row.Occurrence, Step: row.Step, Tasks: row.Tasks, Startable: row.Startable, Reason: row.Reason, Since: row.Since,
				Place: row.Place, Waiting: row.Waiting, Late: row.Late, FittingMinions: row.FittingMinions,
				ExpectedStart: row.ExpectedStart, Basis: uint8(row.Basis),
			}
		}),
	}
}

func explanationFromWire(row WireExplanationRow) querier.Explanation {
	return querier.Explanation{
		Job: identifier.Job(row.Job), Queue: identifier.Queue(row.Queue), Workspace: identifier.Workspace(row.Workspace),
		State: specifier.State(row.State), Failure: row.Failure, Token: identifier.Term(row.Token), AsOf: row.AsOf, Omitted: row.Omitted,
		Steps: convertRows(row.Steps, func(row WireWaitingStepRow) querier.WaitingStep {
			return querier.WaitingStep{
				Occurrence: row.Occurrence, Step: row.Step, Tasks: row.Tasks, Startable: row.Startable, Reason: row.Reason, Since: row.Since,
				Place: row.Place, Waiting: row.Waiting, Late: row.Late, FittingMinions: row.FittingMinions,
				ExpectedStart: row.ExpectedStart, Basis: querier.Basis(row.Basis),
			}
		}),
	}
}
