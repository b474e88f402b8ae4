package caller

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"corianderroad/cmd/loadgen/planner"
	"corianderroad/identifier"
)

// noAnswer is the code of an attempt without a response before the timeout.
const noAnswer = "no-answer"

// maxAnswer bounds the bytes that are read of one answer.
const maxAnswer = 1 << 20

// Reply is the result of one attempt.
type Reply struct {
	Verdict Verdict
	// Code is the name of a refusal or of a failure of the connection.
	Code string
	// NotRun is true if the call certainly did not run in this attempt.
	NotRun     bool
	RetryAfter time.Duration
}

// HTTP sends attempts over HTTP. It is safe for concurrent use.
type HTTP struct {
	service identifier.Service
	client  *http.Client
}

// NewHTTP returns a sender for a service.
func NewHTTP(service identifier.Service) *HTTP {
	return &HTTP{service: service, client: &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
		},
	}}
}

// Send implements Sender.
func (sender *HTTP) Send(ctx context.Context, entry netip.AddrPort, call planner.Call) Reply {
	url := "http://" + entry.String() + "/v1/services/" + string(sender.service) + "/methods/" + string(call.Kind.Method)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(call.Body))
	if err != nil {
		return Reply{Verdict: Lost, Code: "invalid-request", NotRun: true}
	}
	// Without GetBody the transport cannot retry a request itself. It would retry
	// any request with an Idempotency-Key, and such retries would not be counted.
	request.GetBody = nil
	header := request.Header
	header.Set("Authorization", "Bearer "+call.Workspace.Token)
	header.Set("Timeout", call.Kind.Timeout.String())
	header.Set("Run-Time", call.Kind.RunTime.String())
	header.Set("Idempotent", strconv.FormatBool(call.Kind.Idempotent))
	header.Set("Repeated", strconv.FormatBool(call.Repeated))
	if call.Key != "" {
		header.Set("Idempotency-Key", string(call.Key))
	}
	response, err := sender.client.Do(request)
	if err != nil {
		return classifyError(ctx, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return classifyError(ctx, err)
	}
	return classifyResponse(call, response.StatusCode == http.StatusOK, body)
}

func classifyError(ctx context.Context, err error) Reply {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return Reply{Verdict: Lost, Code: "connection-refused", NotRun: true}
	}
	if ctx.Err() != nil {
		return Reply{Verdict: Lost, Code: noAnswer}
	}
	return Reply{Verdict: Broken, Code: "connection-broken"}
}
