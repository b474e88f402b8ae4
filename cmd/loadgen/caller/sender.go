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

// noAnswer is the code of a try that got no answer before the timeout.
const noAnswer = "no-answer"

// maxAnswer bounds the bytes read of one answer.
const maxAnswer = 1 << 20

// Reply is the result of one try.
type Reply struct {
	Verdict Verdict
	// Code is the name of a refusal or of a fault of the connection.
	Code string
	// NotRun says that the try surely did not run.
	NotRun     bool
	RetryAfter time.Duration
}

// HTTP sends tries over HTTP. It is safe for concurrent use.
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
	// Without GetBody the transport can't repeat a request by itself. It would
	// do so for any request with an Idempotency-Key, uncounted.
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
		return failed(ctx, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return failed(ctx, err)
	}
	return judge(call, response.StatusCode == http.StatusOK, body)
}

func failed(ctx context.Context, err error) Reply {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return Reply{Verdict: Lost, Code: "connection-refused", NotRun: true}
	}
	if ctx.Err() != nil {
		return Reply{Verdict: Lost, Code: noAnswer}
	}
	return Reply{Verdict: Broken, Code: "connection-broken"}
}
