package worker

import (
	"time"

	"corianderroad/cmd/standins/auditor"
	"corianderroad/identifier"
)

// span is a duration that is written as in Go, for example "1m30s".
type span time.Duration

// MarshalText implements encoding.TextMarshaler.
func (span span) MarshalText() ([]byte, error) { return []byte(time.Duration(span).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (span *span) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*(*time.Duration)(span) = parsed
	return err
}

// body holds the keys of all calls.
type body struct {
	Term         identifier.Term     `json:"term"`
	Gang         auditor.Gang        `json:"gang"`
	Gangs        []auditor.Gang      `json:"gangs"`
	Accelerators int                 `json:"accelerators"`
	Members      []identifier.Worker `json:"members"`
	Mark         span                `json:"mark"`
	Lease        span                `json:"lease"`
	RunTime      span                `json:"run-time"`
	Progress     span                `json:"progress"`
	Grace        span                `json:"grace"`
}

type taskBody struct {
	Gang         auditor.Gang        `json:"gang"`
	State        State               `json:"state"`
	Accelerators int                 `json:"accelerators"`
	Members      []identifier.Worker `json:"members"`
	Progress     span                `json:"progress"`
}

type reportBody struct {
	Worker       identifier.Worker `json:"worker"`
	Term         identifier.Term   `json:"term"`
	Mark         span              `json:"mark"`
	Accelerators int               `json:"accelerators"`
	Tasks        []taskBody        `json:"tasks"`
}

type refusalBody struct {
	Code    uint16          `json:"code"`
	Message string          `json:"message"`
	Term    identifier.Term `json:"term"`
}

func newReportBody(report Report) reportBody {
	encoded := reportBody{
		Worker:       report.Worker,
		Term:         report.Fence,
		Mark:         span(report.Mark),
		Accelerators: report.Accelerators,
		Tasks:        make([]taskBody, 0, len(report.Tasks)),
	}
	for _, task := range report.Tasks {
		encoded.Tasks = append(encoded.Tasks, taskBody{
			Gang:         task.Gang,
			State:        task.State,
			Accelerators: task.Accelerators,
			Members:      task.Members,
			Progress:     span(task.Progress),
		})
	}
	return encoded
}
