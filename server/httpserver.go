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
	"corianderroad/watcher"
)

// Limits of the HTTP server.
const (
	maxHeader     = 16 << 10
	headerTimeout = 5 * time.Second
	// bodyTimeout limits the time for reading a request, so that a caller that stops
	// sending does not occupy a connection forever.
	bodyTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
	// writeStallTimeout limits the time in which a caller reads nothing of its answer.
	// The duration of an answer is not limited, because it depends on the caller's link.
	writeStallTimeout = 10 * time.Second
	// shutdownTimeout limits the wait for answers that are not complete when the
	// server shuts down.
	shutdownTimeout = 5 * time.Second
)

// httpServer is the HTTP server for commands and queries, with its address.
type httpServer struct {
	address netip.AddrPort
	server  *http.Server
}

// routes returns the handler of commands and queries.
func (server *Server) routes(remote gatherer.Remote) (http.Handler, error) {
	app := iris.New()
	app.Configure(iris.WithoutStartupLog, iris.WithoutInterruptHandler, iris.WithoutBodyConsumptionOnUnmarshal)
	app.Logger().SetLevel("disable")
	acceptor.New(acceptor.Dependencies{
		EventSink:           eventSink{server},
		Calls:               server.calls,
		Commands:            server.commands,
		Access:              server.authenticator,
		PublicationVerifier: nonMemberVerifier{},
		Drainer:             server,
		Counter:             server.exporter,
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

func (server *Server) newHTTPServer() *httpServer {
	return &httpServer{
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

func (httpServer *httpServer) run(ctx context.Context) error {
	listener, err := net.Listen("tcp", httpServer.address.String())
	if err != nil {
		return classifier.New(classifier.InvalidSettings, "http-address: %v", err)
	}
	return httpServer.serve(ctx, listener)
}

// serve answers the requests that arrive at a listener until the context ends.
func (httpServer *httpServer) serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = httpServer.server.Close() })
	defer stop()
	if err := httpServer.server.Serve(watcher.NewListener(listener, writeStallTimeout)); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	return nil
}

// shutdown closes the listener and waits until the answers in progress are written.
func (httpServer *httpServer) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	_ = httpServer.server.Shutdown(ctx)
}

// nonMemberVerifier verifies the token of an organisation that is not yet a member.
type nonMemberVerifier struct{}

// Verify implements acceptor.PublicationVerifier.
func (nonMemberVerifier) Verify(text []byte, organisation identifier.Organisation, token string) error {
	parsed, err := parser.Parser{}.Parse(text)
	if err != nil {
		return err
	}
	if parsed.Organisation != organisation {
		return classifier.New(classifier.Forbidden, "the service text belongs to organisation %q, not to %q", parsed.Organisation, organisation)
	}
	if !authenticator.DigestOf(token).Equal(parsed.OperatorDigest) {
		return classifier.New(classifier.Unauthenticated, "the token does not match the operator-token-digest of the text")
	}
	return nil
}
