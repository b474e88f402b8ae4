package controller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// gangBody, callBody, taskBody and answerBody are the JSON schema of
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
	WorkerClock  string              `json:"mark,omitempty"`
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
	WorkerClock  string            `json:"mark"`
	Accelerators int               `json:"accelerators"`
	Tasks        []taskBody        `json:"tasks"`
	Code         classifier.Code   `json:"code"`
	Message      string            `json:"message"`
}

func encode(call messenger.CallWorker) callBody {
	body := callBody{Term: call.Term}
	if call.Kind != messenger.RenewTasks {
		body.Gang = &gangBody{call.Gang.Job, call.Gang.Placement}
	}
	switch call.Kind {
	case messenger.ReserveTask:
		body.Accelerators, body.Members, body.Lease = call.Accelerators, call.Members, call.Lease.String()
	case messenger.StartTask:
		body.WorkerClock, body.Lease = call.WorkerClock.String(), call.Lease.String()
		body.RunTime, body.Progress = call.RunTime.String(), call.Progress.String()
	case messenger.RenewTasks:
		body.WorkerClock, body.Lease = call.WorkerClock.String(), call.Lease.String()
		for _, gang := range call.Gangs {
			body.Gangs = append(body.Gangs, gangBody{gang.Job, gang.Placement})
		}
	case messenger.CheckpointTask:
		body.Grace = call.Grace.String()
	}
	return body
}

// decode converts the answer of a worker to an event. If the answer can't be
// decoded or comes from another worker, the outcome of the call is unknown.
func decode(call messenger.CallWorker, status int, content []byte) messenger.WorkerAnswered {
	var body answerBody
	if len(content) > maxAnswerBytes {
		return call.Refusal(classifier.New(classifier.OutcomeUnknown, "answer of worker %s exceeds %d bytes", call.Worker, maxAnswerBytes))
	}
	if err := json.Unmarshal(content, &body); err != nil {
		return call.Refusal(classifier.New(classifier.OutcomeUnknown, "answer of worker %s with status %d: %v", call.Worker, status, err))
	}
	if body.Term > messenger.MaxTerm {
		return call.Refusal(classifier.New(classifier.OutcomeUnknown, "answer of worker %s has the term %d, which is out of range", call.Worker, body.Term))
	}
	switch status {
	case http.StatusOK:
		return decodeState(call, body)
	case http.StatusConflict, http.StatusBadRequest:
		answer := call.Refusal(classifier.New(refusalCode(body.Code), "worker %s: %s", call.Worker, body.Message))
		answer.HighestTerm = body.Term
		return answer
	}
	return call.Refusal(classifier.New(classifier.OutcomeUnknown, "worker %s answered with status %d", call.Worker, status))
}

// refusalCode returns the code of a worker's refusal if it is one that states that
// the call changed nothing, and OutcomeUnknown for any other code.
func refusalCode(code classifier.Code) classifier.Code {
	switch code {
	case classifier.StaleTerm, classifier.NoCapacity, classifier.LeaseExpired, classifier.BadRequest:
		return code
	}
	return classifier.OutcomeUnknown
}

func decodeState(call messenger.CallWorker, body answerBody) messenger.WorkerAnswered {
	outcomeUnknown := func(format string, arguments ...any) messenger.WorkerAnswered {
		return call.Refusal(classifier.New(classifier.OutcomeUnknown, format, arguments...))
	}
	if body.Worker != call.Worker {
		return outcomeUnknown("worker %s answered at the address of %s", body.Worker, call.Worker)
	}
	workerClock, err := parseDuration(body.WorkerClock, messenger.MaxWorkerClock)
	if err != nil {
		return outcomeUnknown("worker %s answered with an invalid mark: %v", call.Worker, err)
	}
	if body.Accelerators < 0 || body.Accelerators > messenger.MaxWorkerAccelerators {
		return outcomeUnknown("worker %s answered with %d accelerators", call.Worker, body.Accelerators)
	}
	answer := messenger.WorkerAnswered{
		Sequence: call.Sequence, Worker: call.Worker, Kind: call.Kind, Gang: call.Gang,
		Accelerators: body.Accelerators, HighestTerm: body.Term, WorkerClock: workerClock,
		Tasks: make([]messenger.Task, len(body.Tasks)),
	}
	for i, task := range body.Tasks {
		decoded, err := decodeTask(task)
		if err != nil {
			// Without this task the answer would state that the worker does not run it.
			return outcomeUnknown("task %.128q of worker %s: %v", task.Gang.Job, call.Worker, err)
		}
		answer.Tasks[i] = decoded
	}
	return answer
}

func decodeTask(task taskBody) (messenger.Task, error) {
	state, ok := taskStates[task.State]
	if !ok {
		return messenger.Task{}, errors.Errorf("unknown state %.32q", task.State)
	}
	progress, err := parseDuration(task.Progress, specifier.MaxDuration)
	if err != nil {
		return messenger.Task{}, err
	}
	if task.Accelerators < 0 || task.Accelerators > commander.MaxAccelerators || len(task.Members) > commander.MaxGangMembers {
		return messenger.Task{}, errors.Errorf("%d accelerators and %d members are out of range", task.Accelerators, len(task.Members))
	}
	return messenger.Task{
		Gang: messenger.Gang{Job: task.Gang.Job, Placement: task.Gang.Placement}, State: state,
		Accelerators: task.Accelerators, Members: task.Members, Progress: progress,
	}, nil
}

// parseDuration parses a duration between zero and the given maximum.
func parseDuration(text string, maximum time.Duration) (time.Duration, error) {
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, err
	}
	if duration < 0 || duration > maximum {
		return 0, errors.Errorf("duration %s is not between 0 and %s", duration, maximum)
	}
	return duration, nil
}

var taskStates = indexStates()

func indexStates() map[string]messenger.TaskState {
	states := make(map[string]messenger.TaskState)
	for state := messenger.Reserved; state <= messenger.Expired; state++ {
		states[state.String()] = state
	}
	return states
}
