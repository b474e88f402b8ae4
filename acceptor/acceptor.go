// Package acceptor serves the commands of callers and operators over HTTP. It checks
// access and input, passes commands to the state machines and returns their answers.
// Package responder serves queries.
package acceptor

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// EventSink receives events for the state machines of this node.
type EventSink interface {
	// Offer passes on an event without blocking. If the ring is full, the error has
	// code RingFull.
	Offer(event messenger.Event) error
	// Deliver passes on an event and blocks until the ring has free capacity.
	Deliver(ctx context.Context, event messenger.Event) error
}

// Registry matches answers of type T with the callers that wait for them.
type Registry[T any] interface {
	Register(request identifier.Request) (<-chan T, error)
	Forget(ctx context.Context, request identifier.Request) error
}

// Access identifies the workspace or organisation of a token.
type Access interface {
	Workspace(token string) (identifier.Workspace, error)
	Operator(token string) (identifier.Organisation, error)
	IsMember(organisation identifier.Organisation) bool
}

// PublicationVerifier checks whether a token belongs to the text that an
// organisation publishes before it is a member.
type PublicationVerifier interface {
	Verify(text []byte, organisation identifier.Organisation, token string) error
}

// Drainer starts the graceful stop of this node.
type Drainer interface {
	Drain()
}

// Counter counts refusals by code.
type Counter interface {
	CountRefusal(code classifier.Code)
}

// Dependencies are the dependencies of an Acceptor. All are required.
type Dependencies struct {
	EventSink           EventSink
	Calls               Registry[messenger.CallAnswered]
	Commands            Registry[messenger.CommandAnswered]
	Access              Access
	PublicationVerifier PublicationVerifier
	Drainer             Drainer
	Counter             Counter
}

// Acceptor serves commands. It is safe for concurrent use.
type Acceptor struct {
	Dependencies
}

// New returns an Acceptor.
func New(dependencies Dependencies) *Acceptor {
	return &Acceptor{dependencies}
}

// Register adds the routes of all commands.
func (acceptor *Acceptor) Register(app *iris.Application) {
	app.Post("/v1/services/{service:string}/methods/{method:string}", acceptor.handleCall)
	commands := app.Party("/v1/commands")
	commands.Post("/publish", acceptor.handlePublish)
	commands.Post("/approve", acceptor.handleApprove)
	commands.Post("/submit", acceptor.handleSubmit)
	commands.Post("/cancel", acceptor.handleCancel)
	commands.Post("/drain", acceptor.handleDrain)
}

// commandTimeout bounds the wait for a command's record to be appended and read
// back. It is longer than the appender's own bound, so that the more specific answer
// of the state machine usually arrives first.
const commandTimeout = 20 * time.Second

// execute passes a command to its state machine and returns the answer.
func (acceptor *Acceptor) execute(ctx context.Context, command commander.Command) (messenger.CommandAnswered, error) {
	if err := command.Check(); err != nil {
		return messenger.CommandAnswered{}, err
	}
	request := newRequest()
	event := messenger.CommandArrived{Request: request, Command: command}
	answer, err := exchange(ctx, acceptor.Commands, acceptor.EventSink, request, event, commandTimeout)
	switch {
	case errors.Is(err, errNoAnswer):
		return answer, classifier.New(classifier.OutcomeUnknown, "the command was not confirmed before the timeout")
	case err != nil:
		return answer, err
	case answer.Err != nil:
		return answer, answer.Err
	}
	return answer, nil
}

// errNoAnswer reports that the caller disconnected or the timeout passed before the
// answer arrived.
var errNoAnswer = errors.New("no answer")

// exchange passes an event to a state machine and waits for the answer to its request.
func exchange[T any](ctx context.Context, registry Registry[T], eventSink EventSink, request identifier.Request,
	event messenger.Event, timeout time.Duration,
) (T, error) {
	var zero T
	reply, err := registry.Register(request)
	if err != nil {
		return zero, err
	}
	if err := eventSink.Offer(event); err != nil {
		_ = registry.Forget(ctx, request)
		return zero, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer := <-reply:
		return answer, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	_ = registry.Forget(context.WithoutCancel(ctx), request)
	return zero, errNoAnswer
}

// newRequest returns an ID that is unique across all nodes.
func newRequest() identifier.Request {
	return identifier.Request(uuid.Must(uuid.NewV7()).String())
}
