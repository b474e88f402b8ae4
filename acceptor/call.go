package acceptor

import (
	"context"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// Bounds of a caller's timeout. The default applies to a request without a timeout.
const (
	defaultTimeout = 30 * time.Second
	maxTimeout     = 24 * time.Hour
	// answerGrace is how long the handler waits after the deadline for the state
	// machine's own answer, which states whether the request ran.
	answerGrace = 2 * time.Second
)

func (acceptor *Acceptor) handleCall(ctx iris.Context) {
	repeated, err := readFlag(ctx, "Repeated")
	if err != nil {
		acceptor.refuse(ctx, err)
		return
	}
	call, err := acceptor.readCall(ctx)
	if err != nil {
		acceptor.refuseCall(ctx, err, repeated)
		return
	}
	request := newRequest()
	ctx.Header("Request-Id", string(request))
	answer, err := acceptor.awaitAnswer(ctx.Request().Context(), request, call)
	if err != nil {
		acceptor.refuseCall(ctx, err, repeated)
		return
	}
	ctx.ContentType("application/octet-stream")
	ctx.Header("Content-Length", strconv.Itoa(len(answer.Body)))
	_, _ = ctx.Write(answer.Body)
}

func (acceptor *Acceptor) awaitAnswer(ctx context.Context, request identifier.Request, call commander.Call,
) (messenger.CallAnswered, error) {
	event := messenger.CallArrived{Request: request, Call: call}
	answer, err := exchange(ctx, acceptor.Calls, acceptor.EventSink, request, event, time.Until(call.Deadline)+answerGrace)
	switch {
	case errors.Is(err, errNoAnswer):
		_ = acceptor.EventSink.Deliver(context.WithoutCancel(ctx), messenger.CallerDisconnected{Request: request})
		return answer, classifier.New(classifier.TimedOut, "no answer before the deadline")
	case err != nil:
		return answer, err
	case answer.Err != nil:
		return answer, answer.Err
	}
	return answer, nil
}

func (acceptor *Acceptor) readCall(ctx iris.Context) (commander.Call, error) {
	workspace, err := acceptor.Access.Workspace(BearerToken(ctx))
	if err != nil {
		return commander.Call{}, err
	}
	timeout, err := readDuration(ctx, "Timeout", defaultTimeout)
	if err != nil {
		return commander.Call{}, err
	}
	if timeout <= 0 || timeout > maxTimeout {
		return commander.Call{}, classifier.New(classifier.BadRequest, "header Timeout is %s, but must be above 0 and at most %s", timeout, maxTimeout)
	}
	runTime, err := readDuration(ctx, "Run-Time", 0)
	if err != nil {
		return commander.Call{}, err
	}
	idempotent, err := readFlag(ctx, "Idempotent")
	if err != nil {
		return commander.Call{}, err
	}
	body, err := readBody(ctx, commander.MaxBodyBytes)
	if err != nil {
		return commander.Call{}, err
	}
	call := commander.Call{
		Workspace:  workspace,
		Service:    identifier.Service(ctx.Params().Get("service")),
		Method:     identifier.Method(ctx.Params().Get("method")),
		Key:        identifier.Key(ctx.GetHeader("Idempotency-Key")),
		Idempotent: idempotent,
		RunTime:    runTime,
		Deadline:   time.Now().Add(timeout),
		Body:       body,
	}
	return call, call.Check()
}

// refuseCall answers a call that was not served. A caller marks a request that it
// sends again with the same key as repeated. The earlier request may have run even if
// this one did not, so the refusal of a repeated request must not claim that the work
// was not done.
func (acceptor *Acceptor) refuseCall(ctx iris.Context, err error, repeated bool) {
	var coded *classifier.Error
	if repeated && errors.As(err, &coded) {
		err = coded.OfRepeat()
	}
	acceptor.refuse(ctx, err)
}

func readFlag(ctx iris.Context, header string) (bool, error) {
	switch text := ctx.GetHeader(header); text {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, classifier.New(classifier.BadRequest, "header %s is %q, but must be true or false", header, text)
	}
}

func readDuration(ctx iris.Context, header string, fallback time.Duration) (time.Duration, error) {
	text := ctx.GetHeader(header)
	if text == "" {
		return fallback, nil
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return 0, classifier.New(classifier.BadRequest, "header %s is %q, but must be a duration with a unit such as 500ms", header, text)
	}
	return parsed, nil
}
