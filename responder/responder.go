// Package responder serves the queries of callers and operators, metrics and health
// checks over HTTP. It changes no state. Package acceptor serves commands.
package responder

import (
	"context"
	"net/http"

	"github.com/kataras/iris/v12"

	"corianderroad/acceptor"
	"corianderroad/classifier"
	"corianderroad/gatherer"
	"corianderroad/identifier"
	"corianderroad/querier"
)

// Gatherer answers queries for the entire deployment.
type Gatherer interface {
	Gather(ctx context.Context, query querier.Query) gatherer.Report
}

// Access identifies the workspace or organisation of a token.
type Access interface {
	Workspace(token string) (identifier.Workspace, error)
	Operator(token string) (identifier.Organisation, error)
}

// Readiness reports whether this node should receive calls.
type Readiness interface {
	// Check returns nil, or an error with code NotReady or Leaving.
	Check() error
}

// Dependencies are the dependencies of a Responder. All are required.
type Dependencies struct {
	Gatherer  Gatherer
	Access    Access
	Readiness Readiness
	Metrics   http.Handler
}

// Responder serves queries. It is safe for concurrent use.
type Responder struct {
	Dependencies
}

// New returns a Responder.
func New(dependencies Dependencies) *Responder {
	return &Responder{dependencies}
}

// Register adds the routes of all queries.
func (responder *Responder) Register(app *iris.Application) {
	queries := app.Party("/v1/queries")
	queries.Get("/status", responder.handleQuery(querier.Status))
	queries.Get("/explain", responder.handleQuery(querier.Explain))
	queries.Get("/shares", responder.handleQuery(querier.Shares))
	app.Get("/metrics", iris.FromStd(responder.Metrics))
	app.Get("/health/live", func(ctx iris.Context) { _, _ = ctx.WriteString("live\n") })
	app.Get("/health/ready", responder.handleReadiness)
}

func (responder *Responder) handleReadiness(ctx iris.Context) {
	if err := responder.Readiness.Check(); err != nil {
		acceptor.WriteRefusal(ctx, err)
		return
	}
	_, _ = ctx.WriteString("ready\n")
}

func (responder *Responder) handleQuery(kind querier.Kind) iris.Handler {
	return func(ctx iris.Context) {
		query := querier.Query{Kind: kind, Subject: ctx.URLParam("subject")}
		if kind == querier.Explain && (query.Subject == "" || len(query.Subject) > maxSubjectBytes) {
			acceptor.WriteRefusal(ctx, classifier.New(classifier.BadRequest,
				"parameter subject has %d bytes, but must have 1 to %d", len(query.Subject), maxSubjectBytes))
			return
		}
		workspace, err := responder.authorise(acceptor.BearerToken(ctx))
		if err != nil {
			acceptor.WriteRefusal(ctx, err)
			return
		}
		query.Workspace = workspace
		report := responder.Gatherer.Gather(ctx.Request().Context(), query)
		_ = ctx.JSON(render(report, workspace))
	}
}

const maxSubjectBytes = 256

// authorise returns the workspace to which the answer is restricted. It is empty for
// an operator, who may see everything.
func (responder *Responder) authorise(token string) (identifier.Workspace, error) {
	if _, err := responder.Access.Operator(token); err == nil {
		return "", nil
	}
	return responder.Access.Workspace(token)
}
