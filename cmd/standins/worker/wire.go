package worker

import (
	"time"

	"corianderroad/cmd/standins/auditor"
	"corianderroad/identifier"
)

// duration is encoded in Go's notation, for example "1m30s".
type duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (duration duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (duration *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*(*time.Duration)(duration) = parsed
	return err
}

// callBody holds the keys of all calls.
type callBody struct {
	Term         identifier.Term     `json:"term"`
	Gang         auditor.Gang        `json:"gang"`
	Gangs        []auditor.Gang      `json:"gangs"`
	Accelerators int                 `json:"accelerators"`
	Members      []identifier.Worker `json:"members"`
	WorkerClock  duration            `json:"mark"`
	Lease        duration            `json:"lease"`
	RunTime      duration            `json:"run-time"`
	Progress     duration            `json:"progress"`
	Grace        duration            `json:"grace"`
}

type taskBody struct {
	Gang         auditor.Gang        `json:"gang"`
	State        State               `json:"state"`
	Accelerators int                 `json:"accelerators"`
	Members      []identifier.Worker `json:"members"`
	Progress     duration            `json:"progress"`
}

type reportBody struct {
	Worker       identifier.Worker `json:"worker"`
	Term         identifier.Term   `json:"term"`
	WorkerClock  duration          `json:"mark"`
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
		Term:         report.HighestTerm,
		WorkerClock:  duration(report.WorkerClock),
		Accelerators: report.Accelerators,
		Tasks:        make([]taskBody, 0, len(report.Tasks)),
	}
	for _, task := range report.Tasks {
		encoded.Tasks = append(encoded.Tasks, taskBody{
			Gang:         task.Gang,
			State:        task.State,
			Accelerators: task.Accelerators,
			Members:      task.Members,
			Progress:     duration(task.Progress),
		})
	}
	return encoded
}
