package controller

import (
	"encoding/json"
	"net/http"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// gangBody, callBody, taskBody and answerBody are the JSON of
// docs/WORKER-PROTOCOL.md. Durations are Go duration strings.
type gangBody struct {
	Job       identifier.Job `json:"job"`
	Placement uint32         `json:"placement"`
}

type callBody struct {
	Term         identifier.Term     `json:"term"`
	Gang         *gangBody           `json:"gang,omitempty"`
	Gangs        []gangBody          `json:"gangs,omitempty"`
	Accelerators int                 `json:"accelerators,omitempty"`
	Members      []identifier.Worker `json:"members,omitempty"`
	Mark         string              `json:"mark,omitempty"`
	Lease        string              `json:"lease,omitempty"`
	RunTime      string              `json:"run-time,omitempty"`
	Progress     string              `json:"progress,omitempty"`
	Grace        string              `json:"grace,omitempty"`
}

type taskBody struct {
	Gang         gangBody            `json:"gang"`
	State        string              `json:"state"`
	Accelerators int                 `json:"accelerators"`
	Members      []identifier.Worker `json:"members"`
	Progress     string              `json:"progress"`
}

type answerBody struct {
	Worker       identifier.Worker `json:"worker"`
	Term         identifier.Term   `json:"term"`
	Mark         string            `json:"mark"`
	Accelerators int               `json:"accelerators"`
	Tasks        []taskBody        `json:"tasks"`
	Code         classifier.Code   `json:"code"`
	Message      string            `json:"message"`
}

func encode(ask messenger.CallWorker) callBody {
	body := callBody{Term: ask.Term}
	if ask.Kind != messenger.RenewTasks {
		body.Gang = &gangBody{ask.Gang.Job, ask.Gang.Placement}
	}
	switch ask.Kind {
	case messenger.ReserveTask:
		body.Accelerators, body.Members, body.Lease = ask.Accelerators, ask.Members, ask.Lease.String()
	case messenger.StartTask:
		body.Mark, body.Lease = ask.WorkerClock.String(), ask.Lease.String()
		body.RunTime, body.Progress = ask.RunTime.String(), ask.Progress.String()
	case messenger.RenewTasks:
		body.Mark, body.Lease = ask.WorkerClock.String(), ask.Lease.String()
		for _, gang := range ask.Gangs {
			body.Gangs = append(body.Gangs, gangBody{gang.Job, gang.Placement})
		}
	case messenger.CheckpointTask:
		body.Grace = ask.Grace.String()
	}
	return body
}

// decode turns the answer of a worker into an event. An answer that cannot be
// read, or that comes from another worker, leaves the effect unknown.
func decode(ask messenger.CallWorker, status int, content []byte) messenger.WorkerAnswered {
	var body answerBody
	if len(content) > maxAnswer {
		return ask.Refusal(classifier.New(classifier.OutcomeUnknown, "answer of worker %s has more than %d bytes", ask.Worker, maxAnswer))
	}
	if err := json.Unmarshal(content, &body); err != nil {
		return ask.Refusal(classifier.New(classifier.OutcomeUnknown, "answer of worker %s with status %d: %v", ask.Worker, status, err))
	}
	switch status {
	case http.StatusOK:
		return decodeState(ask, body)
	case http.StatusConflict, http.StatusBadRequest:
		answer := ask.Refusal(classifier.New(refusal(body.Code), "worker %s: %s", ask.Worker, body.Message))
		answer.HighestTerm = body.Term
		return answer
	}
	return ask.Refusal(classifier.New(classifier.OutcomeUnknown, "worker %s answered with status %d", ask.Worker, status))
}

// refusal accepts only the codes with which a worker refuses, because they
// state that the call changed nothing.
func refusal(code classifier.Code) classifier.Code {
	switch code {
	case classifier.StaleTerm, classifier.NoCapacity, classifier.LeaseExpired, classifier.BadRequest:
		return code
	}
	return classifier.OutcomeUnknown
}

func decodeState(ask messenger.CallWorker, body answerBody) messenger.WorkerAnswered {
	unknown := func(format string, arguments ...any) messenger.WorkerAnswered {
		return ask.Refusal(classifier.New(classifier.OutcomeUnknown, format, arguments...))
	}
	if body.Worker != ask.Worker {
		return unknown("worker %s answered at the address of %s", body.Worker, ask.Worker)
	}
	mark, err := time.ParseDuration(body.Mark)
	if err != nil {
		return unknown("mark of worker %s: %v", ask.Worker, err)
	}
	answer := messenger.WorkerAnswered{
		Sequence: ask.Sequence, Worker: ask.Worker, Kind: ask.Kind, Gang: ask.Gang,
		Accelerators: body.Accelerators, HighestTerm: body.Term, WorkerClock: mark,
		Tasks: make([]messenger.Task, len(body.Tasks)),
	}
	for i, task := range body.Tasks {
		state, ok := taskStates[task.State]
		progress, err := time.ParseDuration(task.Progress)
		if !ok || err != nil {
			return unknown("task %s of worker %s has state %q and progress %q", task.Gang.Job, ask.Worker, task.State, task.Progress)
		}
		answer.Tasks[i] = messenger.Task{
			Gang: messenger.Gang{Job: task.Gang.Job, Placement: task.Gang.Placement}, State: state,
			Accelerators: task.Accelerators, Members: task.Members, Progress: progress,
		}
	}
	return answer
}

var taskStates = indexStates()

func indexStates() map[string]messenger.TaskState {
	states := make(map[string]messenger.TaskState)
	for state := messenger.Reserved; state <= messenger.Expired; state++ {
		states[state.String()] = state
	}
	return states
}
