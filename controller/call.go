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

// maxAnswer bounds an answer. A worker with 32 tasks of 128 members each needs
// about 600 KiB if names have their full length.
const maxAnswer = 1 << 20

var paths = map[messenger.WorkerCallKind]string{
	messenger.ReserveTask:    "/reserve",
	messenger.StartTask:      "/start",
	messenger.RenewTasks:     "/renew",
	messenger.CheckpointTask: "/checkpoint",
	messenger.ReleaseTask:    "/release",
	messenger.ReadState:      "/state",
}

// call carries out one call and returns its answer.
func (controller *Controller) call(ctx context.Context, ask messenger.CallWorker) messenger.WorkerAnswered {
	ctx, cancel := context.WithTimeout(ctx, controller.parameters.Timeout+ask.Grace)
	defer cancel()
	// The request may have taken effect as soon as a connection was there to
	// write it to. Before that it surely has not.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := newRequest(ctx, ask)
	if err != nil {
		return ask.Refusal(classifier.New(classifier.Internal, "request for worker %s: %v", ask.Worker, err))
	}
	response, err := controller.client.Do(request)
	if err != nil {
		return ask.Refusal(failed(ask, err, connected.Load()))
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return ask.Refusal(failed(ask, err, true))
	}
	return decode(ask, response.StatusCode, body)
}

// failed says whether a call without an answer may have taken effect.
func failed(ask messenger.CallWorker, err error, connected bool) *classifier.Error {
	switch {
	case !connected:
		return classifier.New(classifier.NodeUnreachable, "worker %s: %v", ask.Worker, err)
	case errors.Is(err, context.DeadlineExceeded):
		return classifier.New(classifier.TimedOut, "worker %s did not answer in time", ask.Worker)
	}
	return classifier.New(classifier.OutcomeUnknown, "worker %s: %v", ask.Worker, err)
}

func newRequest(ctx context.Context, ask messenger.CallWorker) (*http.Request, error) {
	target := "http://" + ask.Address.String() + paths[ask.Kind]
	if ask.Kind == messenger.ReadState {
		target += "?term=" + strconv.FormatUint(uint64(ask.Term), 10)
		return http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	}
	body, err := json.Marshal(encode(ask))
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	// Without GetBody the client never sends a request a second time by itself.
	request.GetBody = nil
	return request, nil
}
