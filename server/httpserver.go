package server

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"corianderroad/acceptor"
	"corianderroad/authenticator"
	"corianderroad/classifier"
	"corianderroad/gatherer"
	"corianderroad/identifier"
	"corianderroad/parser"
	"corianderroad/responder"
)

// Bounds of the HTTP front.
const (
	maxHeader     = 16 << 10
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the reading of a request, so that a caller which sends
	// nothing more does not hold a connection for good.
	bodyTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
)

// front is the HTTP listener of commands and queries.
type front struct {
	address netip.AddrPort
	server  *http.Server
}

// routes returns the handler of commands and queries.
func (server *Server) routes(remote gatherer.Remote) (http.Handler, error) {
	app := iris.New()
	app.Configure(iris.WithoutStartupLog, iris.WithoutInterruptHandler, iris.WithoutBodyConsumptionOnUnmarshal)
	app.Logger().SetLevel("disable")
	acceptor.New(acceptor.Dependencies{
		Inlet:     sink{server},
		Calls:     server.calls,
		Commands:  server.commands,
		Access:    server.authenticator,
		Newcomers: newcomers{},
		Drainer:   server,
		Counter:   server.exporter,
	}).Register(app)
	responder.New(responder.Dependencies{
		Gatherer:  gatherer.New(server.settings.Node, server.inspector, remote, server.members),
		Access:    server.authenticator,
		Readiness: server.readiness,
		Metrics:   server.exporter.Handler(),
	}).Register(app)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build routes")
	}
	return app, nil
}

func (server *Server) front() *front {
	return &front{
		address: server.settings.HTTPAddress.AddrPort,
		server: &http.Server{
			Handler:           server.handler,
			MaxHeaderBytes:    maxHeader,
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       bodyTimeout,
			IdleTimeout:       idleTimeout,
		},
	}
}

func (front *front) run(ctx context.Context) error {
	listener, err := net.Listen("tcp", front.address.String())
	if err != nil {
		return classifier.New(classifier.InvalidSettings, "http-address: %v", err)
	}
	stopped := context.AfterFunc(ctx, func() { _ = front.server.Close() })
	defer stopped()
	if err := front.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	return nil
}

// shutdown closes the listener and waits for the answers that are being written.
func (front *front) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, headerTimeout)
	defer cancel()
	_ = front.server.Shutdown(ctx)
}

// newcomers checks the token of an organisation that is not yet a member.
type newcomers struct{}

// Matches implements acceptor.Newcomers.
func (newcomers) Matches(text []byte, organisation identifier.Organisation, token string) error {
	parsed, err := parser.Parser{}.Parse(text)
	if err != nil {
		return err
	}
	if parsed.Organisation != organisation {
		return classifier.New(classifier.Forbidden, "the text is that of organisation %q, not of %q", parsed.Organisation, organisation)
	}
	if !authenticator.Of(token).Equal(parsed.OperatorDigest) {
		return classifier.New(classifier.Unauthenticated, "the token does not match the operator-token-digest of the text")
	}
	return nil
}
