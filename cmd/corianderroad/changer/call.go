package changer

import (
	"context"
	"flag"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/google/subcommands"

	"corianderroad/cmd/corianderroad/connector"
	"corianderroad/requester"
)

// Call is the subcommand that sends one service request.
type Call struct {
	connector.Connector
	service    string
	method     string
	key        string
	body       string
	timeout    time.Duration
	runTime    time.Duration
	idempotent bool
	repeated   bool
}

// Name implements subcommands.Command.
func (*Call) Name() string { return "call" }

// Synopsis implements subcommands.Command.
func (*Call) Synopsis() string { return "send one service request and print the answer" }

// Usage implements subcommands.Command.
func (*Call) Usage() string {
	return "call -service S -method M [-timeout 2s] [-key UUIDv7] [-run-time 50ms] [-idempotent] -body TEXT\n"
}

// SetFlags implements subcommands.Command.
func (call *Call) SetFlags(flags *flag.FlagSet) {
	call.Register(flags)
	flags.StringVar(&call.service, "service", "", "service")
	flags.StringVar(&call.method, "method", "", "method of the service")
	flags.StringVar(&call.key, "key", "", "idempotency key, a UUIDv7; requests with the same key run at most once")
	flags.StringVar(&call.body, "body", "", "body of the request")
	flags.DurationVar(&call.timeout, "timeout", 2*time.Second, "time after which the caller no longer needs the answer")
	flags.DurationVar(&call.runTime, "run-time", 0, "declared run time, 0 if unknown")
	flags.BoolVar(&call.repeated, "repeated", false, "a request with this key was sent before; a refusal then never states that it did not run")
	flags.BoolVar(&call.idempotent, "idempotent", false, "the request may run more than once without harm")
}

// Execute implements subcommands.Command.
func (call *Call) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := call.Connect()
	if err != nil {
		return call.Fail(err)
	}
	header := http.Header{
		"Timeout":    {call.timeout.String()},
		"Idempotent": {strconv.FormatBool(call.idempotent)},
		"Repeated":   {strconv.FormatBool(call.repeated)},
	}
	if call.key != "" {
		header.Set("Idempotency-Key", call.key)
	}
	if call.runTime > 0 {
		header.Set("Run-Time", call.runTime.String())
	}
	answer, err := client.Do(ctx, requester.Request{
		Method: http.MethodPost,
		Path:   "/v1/services/" + url.PathEscape(call.service) + "/methods/" + url.PathEscape(call.method),
		Header: header,
		Body:   []byte(call.body),
	})
	if err != nil {
		return call.Fail(err)
	}
	_, _ = os.Stdout.Write(append(answer, '\n'))
	return subcommands.ExitSuccess
}
