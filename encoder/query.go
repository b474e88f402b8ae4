package encoder

import (
	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/querier"
	"corianderroad/specifier"
)

// MarshalQuery encodes a query in msgpack.
func MarshalQuery(query querier.Query) ([]byte, error) {
	wire := WireQuery{Kind: uint8(query.Kind), Subject: query.Subject, Workspace: string(query.Workspace)}
	body, err := wire.MarshalMsg(nil)
	if err != nil {
		return nil, classifier.New(classifier.Internal, "encode query: %v", err)
	}
	return body, nil
}

// UnmarshalQuery decodes the query in the body of a frame. The error has code
// BadFrame.
func UnmarshalQuery(body []byte) (querier.Query, error) {
	var wire WireQuery
	if err := unmarshal(body, &wire); err != nil {
		return querier.Query{}, classifier.New(classifier.BadFrame, "query: %v", err)
	}
	return querier.Query{
		Kind: querier.Kind(wire.Kind), Subject: wire.Subject, Workspace: identifier.Workspace(wire.Workspace),
	}, nil
}

// MarshalAnswer encodes an answer in msgpack.
func MarshalAnswer(answer querier.Answer) ([]byte, error) {
	wire := answerToWire(answer)
	body, err := wire.MarshalMsg(nil)
	if err != nil {
		return nil, classifier.New(classifier.Internal, "encode answer: %v", err)
	}
	return body, nil
}

// UnmarshalAnswer decodes the answer in the body of a frame. The error has code
// BadFrame.
func UnmarshalAnswer(body []byte) (querier.Answer, error) {
	var wire WireAnswer
	if err := unmarshal(body, &wire); err != nil {
		return querier.Answer{}, classifier.New(classifier.BadFrame, "answer: %v", err)
	}
	return answerFromWire(&wire), nil
}

func answerToWire(answer querier.Answer) *WireAnswer {
	wire := &WireAnswer{
		Members: convertRows(answer.Members, func(row querier.Member) WireMemberRow {
			return WireMemberRow{
				Node: string(row.Node), Region: string(row.Region), FailureDomain: string(row.FailureDomain),
				State: row.State, Incarnation: uint64(row.Incarnation), Configuration: uint64(row.Configuration),
			}
		}),
		Configuration: convertRows(answer.Configuration, func(row querier.Organisation) WireOrganisationRow {
			return WireOrganisationRow{
				Organisation: string(row.Organisation), Version: uint64(row.Version), Pending: uint64(row.Pending),
				Missing: convertNames[identifier.Organisation, string](row.Missing),
			}
		}),
		Jobs: convertRows(answer.Jobs, func(row querier.Job) WireJobRow {
			return WireJobRow{
				Job: string(row.Job), Workspace: string(row.Workspace), Region: string(row.Region), State: row.State,
				Reason: row.Reason, Workers: convertNames[identifier.Worker, string](row.Workers), Since: row.Since,
			}
		}),
		Minions: convertRows(answer.Minions, func(row querier.Minion) WireMinionRow {
			return WireMinionRow{
				Minion: string(row.Minion), Service: string(row.Service), Busy: row.Busy, Slots: row.Slots, State: row.State,
			}
		}),
		Workers: convertRows(answer.Workers, func(row querier.Worker) WireWorkerRow {
			return WireWorkerRow{
				Worker: string(row.Worker), Rack: string(row.Rack), Free: row.Free, Total: row.Total, State: row.State,
			}
		}),
		Decisions: convertRows(answer.Decisions, func(row querier.Decision) WireDecisionRow {
			return WireDecisionRow{
				At: row.At, Node: string(row.Node), Subject: row.Subject, Reason: row.Reason, Detail: row.Detail,
			}
		}),
		Shares: convertRows(answer.Shares, func(row querier.Share) WireShareRow {
			return WireShareRow{
				Workspace: string(row.Workspace), Guaranteed: row.Guaranteed, Used: row.Used, Covered: row.Covered,
			}
		}),
		Gauges: convertRows(answer.Gauges, func(row querier.Gauge) WireGaugeRow { return WireGaugeRow(row) }),
		Submitted: convertRows(answer.Submitted, func(row querier.SubmittedJob) WireSubmittedRow {
			return WireSubmittedRow{
				Job: string(row.Job), Queue: string(row.Queue), Workspace: string(row.Workspace), State: uint8(row.State), Reason: row.Reason,
			}
		}),
		Waiting:      answer.Waiting,
		AsOf:         answer.AsOf,
		IsHolder:     answer.IsHolder,
		Explanations: convertRows(answer.Explanations, explanationToWire),
		Pools:        convertRows(answer.Pools, poolToWire),
	}
	return wire
}

func answerFromWire(wire *WireAnswer) querier.Answer {
	return querier.Answer{
		Members: convertRows(wire.Members, func(row WireMemberRow) querier.Member {
			return querier.Member{
				Node: identifier.Node(row.Node), Region: identifier.Region(row.Region),
				FailureDomain: identifier.FailureDomain(row.FailureDomain), State: row.State,
				Incarnation: identifier.Incarnation(row.Incarnation), Configuration: identifier.Offset(row.Configuration),
			}
		}),
		Configuration: convertRows(wire.Configuration, func(row WireOrganisationRow) querier.Organisation {
			return querier.Organisation{
				Organisation: identifier.Organisation(row.Organisation), Version: identifier.Offset(row.Version),
				Pending: identifier.Offset(row.Pending), Missing: convertNames[string, identifier.Organisation](row.Missing),
			}
		}),
		Jobs: convertRows(wire.Jobs, func(row WireJobRow) querier.Job {
			return querier.Job{
				Job: identifier.Job(row.Job), Workspace: identifier.Workspace(row.Workspace),
				Region: identifier.Region(row.Region), State: row.State, Reason: row.Reason,
				Workers: convertNames[string, identifier.Worker](row.Workers), Since: row.Since,
			}
		}),
		Minions: convertRows(wire.Minions, func(row WireMinionRow) querier.Minion {
			return querier.Minion{
				Minion: identifier.Minion(row.Minion), Service: identifier.Service(row.Service),
				Busy: row.Busy, Slots: row.Slots, State: row.State,
			}
		}),
		Workers: convertRows(wire.Workers, func(row WireWorkerRow) querier.Worker {
			return querier.Worker{
				Worker: identifier.Worker(row.Worker), Rack: identifier.Rack(row.Rack),
				Free: row.Free, Total: row.Total, State: row.State,
			}
		}),
		Decisions: convertRows(wire.Decisions, func(row WireDecisionRow) querier.Decision {
			return querier.Decision{
				At: row.At, Node: identifier.Node(row.Node), Subject: row.Subject, Reason: row.Reason, Detail: row.Detail,
			}
		}),
		Shares: convertRows(wire.Shares, func(row WireShareRow) querier.Share {
			return querier.Share{
				Workspace: identifier.Workspace(row.Workspace), Guaranteed: row.Guaranteed,
				Used: row.Used, Covered: row.Covered,
			}
		}),
		Gauges: convertRows(wire.Gauges, func(row WireGaugeRow) querier.Gauge { return querier.Gauge(row) }),
		Submitted: convertRows(wire.Submitted, func(row WireSubmittedRow) querier.SubmittedJob {
			return querier.SubmittedJob{
				Job: identifier.Job(row.Job), Queue: identifier.Queue(row.Queue),
				Workspace: identifier.Workspace(row.Workspace), State: specifier.State(row.State), Reason: row.Reason,
			}
		}),
		Waiting:      wire.Waiting,
		AsOf:         wire.AsOf,
		IsHolder:     wire.IsHolder,
		Explanations: convertRows(wire.Explanations, explanationFromWire),
		Pools:        convertRows(wire.Pools, poolFromWire),
	}
}

func convertRows[From, To any](rows []From, convert func(From) To) []To {
	if len(rows) == 0 {
		return nil
	}
	converted := make([]To, 0, len(rows))
	for _, row := range rows {
		converted = append(converted, convert(row))
	}
	return converted
}

func convertNames[From, To ~string](rows []From) []To {
	return convertRows(rows, func(name From) To { return To(name) })
}
