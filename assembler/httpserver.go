package assembler

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"corianderroad/authorizer"
	"corianderroad/classifier"
	"corianderroad/explainer"
	"corianderroad/gatekeeper"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// Limits of the HTTP servers.
const (
	maxHeader     = 16 << 10
	headerTimeout = 3 * time.Second
	bodyTimeout   = 10 * time.Second
	idleTimeout   = 30 * time.Second
	// writeStallTimeout limits the time in which a client reads nothing of its answer.
	// The duration of an answer is not limited, because it depends on the client's link.
	writeStallTimeout = 10 * time.Second
	// stopReserve is the part of the grace period that is reserved for the last
	// answers and the end of the process.
	stopReserve = 2500 * time.Millisecond
	// ringFullRetryDelay is the retry delay sent to a client whose command is
	// refused because a ring is full.
	ringFullRetryDelay = time.Second
	// shutdownTimeout limits the wait for answers that are not complete when the
	// server shuts down.
	shutdownTimeout = 1500 * time.Millisecond
	// lastAnswerMargin is the time before the end of shutdownTimeout by which the last
	// answers are written.
	lastAnswerMargin = 300 * time.Millisecond
)

// httpServer is an HTTP server with its address.
type httpServer struct {
	address    netip.AddrPort
	gatekeeper *gatekeeper.Gatekeeper
	server     *http.Server
}

func newServer(address netip.AddrPort, keeper *gatekeeper.Gatekeeper, handler http.Handler) *httpServer {
	return &httpServer{address, keeper, &http.Server{
		ConnContext: gatekeeper.ConnContext, ConnState: gatekeeper.ConnState,
		Handler: gatekeeper.LimitHeaders(handler), MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
	}}
}

// servers returns the HTTP servers of this node. The first one serves clients.
func (assembler *Assembler) servers() []*httpServer {
	servers := []*httpServer{
		newServer(assembler.settings.FrontEnd, assembler.clients, assembler.frontEnd),
		newServer(assembler.settings.Readiness, assembler.healthChecks, http.HandlerFunc(assembler.serveReadiness)),
	}
	if assembler.settings.Metrics.IsValid() {
		servers = append(servers, newServer(assembler.settings.Metrics, assembler.scrapes, assembler.operatorHandler()))
	}
	return servers
}

// operatorHandler returns the handler of the metrics address. All other paths than those of
// the queries about jobs and the pool have the metrics.
func (assembler *Assembler) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(explainer.Pattern, assembler.explainer)
	mux.Handle(explainer.StatusPattern, assembler.poolStatus)
	mux.Handle("/", assembler.exporter.Handler())
	return mux
}

func (httpServer *httpServer) run(ctx context.Context) error {
	listener, err := gatekeeper.Listen(ctx, httpServer.address)
	if err != nil {
		return classifier.New(classifier.InvalidSettings, "listen: %v", err)
	}
	return httpServer.serve(ctx, listener)
}

// serve answers the requests that arrive at a listener until the context ends.
func (httpServer *httpServer) serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = httpServer.server.Close() })
	defer stop()
	if err := httpServer.server.Serve(httpServer.gatekeeper.NewListener(listener, writeStallTimeout)); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	<-ctx.Done()
	return ctx.Err()
}

// stopGracefully releases the claim and reports the node as not ready, so that the
// balancer sends new clients to other nodes. It continues to answer requests until
// stopReserve before the end of the grace period, and then shuts down the server
// for clients.
func (assembler *Assembler) stopGracefully(ctx context.Context, servers []*httpServer) {
	assembler.decisionLog.logState("stopping", "SIGTERM", "")
	assembler.readiness.draining.Store(true)
	if err := assembler.claims.Put(ctx, messenger.DrainArrived{}); err != nil {
		return
	}
	assembler.frontEnd.Drain(assembler.clock().Add(assembler.settings.Bounds.Grace - stopReserve + shutdownTimeout - lastAnswerMargin))
	wait := time.NewTimer(assembler.settings.Bounds.Grace - stopReserve)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := servers[0].server.Shutdown(ctx); err != nil {
		assembler.decisionLog.logState("stopping", "open connections remain", err.Error())
	}
}

// requestAuthorizer authorizes requests by the newest policy.
type requestAuthorizer struct {
	assembler *Assembler
}

// Authorize implements platform.Authorizer.
func (requestAuthorizer requestAuthorizer) Authorize(host, path, key string) (authorizer.Admission, *classifier.Error) {
	assembler := requestAuthorizer.assembler
	return assembler.authorizer.Load().Authorize(assembler.clock(), host, path, key)
}

// commandSubmitter passes the commands of clients to the registrar.
type commandSubmitter struct {
	assembler *Assembler
}

// Submit implements platform.CommandExecutor.
func (commandSubmitter commandSubmitter) Submit(ctx context.Context, arrived messenger.SubmitArrived) *classifier.Error {
	return commandSubmitter.execute(ctx, arrived.Request, arrived)
}

// Withdraw implements platform.CommandExecutor.
func (commandSubmitter commandSubmitter) Withdraw(ctx context.Context, arrived messenger.WithdrawArrived) *classifier.Error {
	return commandSubmitter.execute(ctx, arrived.Request, arrived)
}

// execute passes a command to the registrar and waits for its answer.
func (commandSubmitter commandSubmitter) execute(ctx context.Context, request identifier.Request, event messenger.Event) *classifier.Error {
	assembler := commandSubmitter.assembler
	answer, err := assembler.answers.Register(request)
	if err == nil {
		err = assembler.entries.Offer(event)
	}
	if err != nil {
		return classifier.Wrap(err).WithRetryAfter(ringFullRetryDelay)
	}
	select {
	case event := <-answer:
		return event.Err
	case <-ctx.Done():
		// The registrar answers before the deadline, so this case occurs only if the
		// client has disconnected.
		_ = assembler.answers.Forget(context.WithoutCancel(ctx), request)
		return classifier.New(classifier.OutcomeUnknown, "the client has disconnected")
	}
}
