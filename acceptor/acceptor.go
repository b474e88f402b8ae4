// Package acceptor serves the commands of callers and operators over HTTP. It
// checks access and input, hands commands to the machines and returns their
// answers. Queries are served by package responder.
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

// Inlet takes events for the machines of this node.
type Inlet interface {
	// Offer hands on an event without waiting. The error has code RingFull.
	Offer(event messenger.Event) error
	// Deliver hands on an event and waits for room.
	Deliver(ctx context.Context, event messenger.Event) error
}

// Registry joins answers of type T to the callers that wait for them.
type Registry[T any] interface {
	Register(request identifier.Request) (<-chan T, error)
	Forget(ctx context.Context, request identifier.Request) error
}

// Access tells whom a token stands for.
type Access interface {
	Workspace(token string) (identifier.Workspace, error)
	Operator(token string) (identifier.Organisation, error)
	Member(organisation identifier.Organisation) bool
}

// Newcomers tells whether a token belongs to the text that a newcomer publishes.
type Newcomers interface {
	Matches(text []byte, organisation identifier.Organisation, token string) error
}

// Drainer starts the graceful stop of this node.
type Drainer interface {
	Drain()
}

// Counter counts refusals by code.
type Counter interface {
	Refused(code classifier.Code)
}

// Dependencies are what an Acceptor works with. All are required.
type Dependencies struct {
	Inlet     Inlet
	Calls     Registry[messenger.CallAnswered]
	Commands  Registry[messenger.CommandAnswered]
	Access    Access
	Newcomers Newcomers
	Drainer   Drainer
	Counter   Counter
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
	app.Post("/v1/services/{service:string}/methods/{method:string}", acceptor.call)
	commands := app.Party("/v1/commands")
	commands.Post("/publish", acceptor.publish)
	commands.Post("/approve", acceptor.approve)
	commands.Post("/submit", acceptor.submit)
	commands.Post("/cancel", acceptor.cancel)
	commands.Post("/drain", acceptor.drain)
}

// commandTimeout bounds the wait for a command's record to be appended and read
// back. It is longer than the appender's own bound, so that the machine's
// answer, which knows more, usually comes first.
const commandTimeout = 20 * time.Second

// run hands a command to its machine and returns the machine's answer.
func (acceptor *Acceptor) run(ctx context.Context, command commander.Command) (messenger.CommandAnswered, error) {
	if err := command.Check(); err != nil {
		return messenger.CommandAnswered{}, err
	}
	request := newRequest()
	event := messenger.CommandArrived{Request: request, Command: command}
	answer, err := exchange(ctx, acceptor.Commands, acceptor.Inlet, request, event, commandTimeout)
	switch {
	case errors.Is(err, errNoAnswer):
		return answer, classifier.New(classifier.OutcomeUnknown, "the command was not confirmed in time")
	case err != nil:
		return answer, err
	case answer.Err != nil:
		return answer, answer.Err
	}
	return answer, nil
}

// errNoAnswer says that the caller left or the limit passed before the answer.
var errNoAnswer = errors.New("no answer")

// exchange hands an event to a machine and waits for the answer to its request.
func exchange[T any](ctx context.Context, registry Registry[T], inlet Inlet, request identifier.Request,
	event messenger.Event, limit time.Duration,
) (T, error) {
	var none T
	reply, err := registry.Register(request)
	if err != nil {
		return none, err
	}
	if err := inlet.Offer(event); err != nil {
		_ = registry.Forget(ctx, request)
		return none, err
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case answer := <-reply:
		return answer, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	_ = registry.Forget(context.WithoutCancel(ctx), request)
	return none, errNoAnswer
}

// newRequest returns an ID that is unique over all nodes.
func newRequest() identifier.Request {
	return identifier.Request(uuid.Must(uuid.NewV7()).String())
}
