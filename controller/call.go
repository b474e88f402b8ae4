package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"

	"corianderroad/classifier"
	"corianderroad/messenger"
)

// maxAnswerBytes bounds the body of an answer. The answer of a worker with 32 tasks
// of 128 members each has about 600 KiB if all names have their maximum length.
const maxAnswerBytes = 1 << 20

var paths = map[messenger.WorkerCallKind]string{
	messenger.ReserveTask:    "/reserve",
	messenger.StartTask:      "/start",
	messenger.RenewTasks:     "/renew",
	messenger.CheckpointTask: "/checkpoint",
	messenger.ReleaseTask:    "/release",
	messenger.ReadState:      "/state",
}

// execute sends one call to its worker and returns the answer.
func (controller *Controller) execute(ctx context.Context, call messenger.CallWorker) messenger.WorkerAnswered {
	ctx, cancel := context.WithTimeout(ctx, controller.parameters.Timeout+call.Grace)
	defer cancel()
	// The request may have taken effect once a connection was available to write
	// it to. Before that it certainly has not.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := newRequest(ctx, call)
	if err != nil {
		return call.Refusal(classifier.New(classifier.Internal, "request for worker %s: %v", call.Worker, err))
	}
	response, err := controller.client.Do(request)
	if err != nil {
		return call.Refusal(callError(call, err, connected.Load()))
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return call.Refusal(callError(call, err, true))
	}
	return decode(call, response.StatusCode, body)
}

// callError returns the error of a call without an answer. Its code states whether
// the call may have taken effect.
func callError(call messenger.CallWorker, err error, connected bool) *classifier.Error {
	switch {
	case !connected:
		return classifier.New(classifier.NodeUnreachable, "worker %s: %v", call.Worker, err)
	case errors.Is(err, context.DeadlineExceeded):
		return classifier.New(classifier.TimedOut, "worker %s did not answer in time", call.Worker)
	}
	return classifier.New(classifier.OutcomeUnknown, "worker %s: %v", call.Worker, err)
}

func newRequest(ctx context.Context, call messenger.CallWorker) (*http.Request, error) {
	target := "http://" + call.Address.String() + paths[call.Kind]
	if call.Kind == messenger.ReadState {
		target += "?term=" + strconv.FormatUint(uint64(call.Term), 10)
		return http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	}
	body, err := json.Marshal(encode(call))
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	// Without GetBody the client never repeats a request by itself.
	request.GetBody = nil
	return request, nil
}
