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
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// Bounds of the HTTP servers.
const (
	maxHeader     = 16 << 10
	headerTimeout = 3 * time.Second
	bodyTimeout   = 10 * time.Second
	idleTimeout   = 30 * time.Second
	// stopReserve is the part of the grace period that is kept for the last
	// answers and the end of the process.
	stopReserve = 2500 * time.Millisecond
	// comeBack is the hint of a refusal for lack of room in a ring.
	comeBack = time.Second
	// lastAnswers bounds the wait for answers that are still being made.
	lastAnswers = 1500 * time.Millisecond
)

// httpServer is one listener with its server.
type httpServer struct {
	address netip.AddrPort
	server  *http.Server
}

func newServer(address netip.AddrPort, handler http.Handler) *httpServer {
	return &httpServer{address, &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
	}}
}

// servers returns the servers of this node, the front first.
func (assembler *Assembler) servers() []*httpServer {
	servers := []*httpServer{
		newServer(assembler.settings.Front, assembler.front),
		newServer(assembler.settings.Readiness, http.HandlerFunc(assembler.serveReadiness)),
	}
	if assembler.settings.Metrics.IsValid() {
		servers = append(servers, newServer(assembler.settings.Metrics, assembler.exporter.Handler()))
	}
	return servers
}

func (server *httpServer) run(ctx context.Context) error {
	listener, err := net.Listen("tcp", server.address.String())
	if err != nil {
		return classifier.New(classifier.InvalidSettings, "listen: %v", err)
	}
	stopped := context.AfterFunc(ctx, func() { _ = server.server.Close() })
	defer stopped()
	if err := server.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	<-ctx.Done()
	return ctx.Err()
}

// leave stops the node gracefully: it releases the claim, lets the balancer
// send clients elsewhere while it answers what comes on open connections, and
// closes these at last.
func (assembler *Assembler) leave(ctx context.Context, servers []*httpServer) {
	assembler.journal.state("stopping", "SIGTERM", "")
	assembler.readiness.draining.Store(true)
	if err := assembler.claims.Put(ctx, messenger.DrainArrived{}); err != nil {
		return
	}
	assembler.front.Drain()
	wait := time.NewTimer(assembler.settings.Bounds.Grace - stopReserve)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lastAnswers)
	defer cancel()
	if err := servers[0].server.Shutdown(ctx); err != nil {
		assembler.journal.state("stopping", "open connections remain", err.Error())
	}
}

// gate admits requests by the newest policy.
type gate struct {
	assembler *Assembler
}

// Admit implements platform.Gate.
func (gate gate) Admit(host, path, key string) (authorizer.Admission, *classifier.Error) {
	assembler := gate.assembler
	return assembler.authorizer.Load().Admit(assembler.clock(), host, path, key)
}

// commands hands the commands of clients to the registrar.
type commands struct {
	assembler *Assembler
}

// Submit implements platform.Commands.
func (commands commands) Submit(ctx context.Context, arrived messenger.SubmitArrived) *classifier.Error {
	return commands.execute(ctx, arrived.Request, arrived)
}

// Withdraw implements platform.Commands.
func (commands commands) Withdraw(ctx context.Context, arrived messenger.WithdrawArrived) *classifier.Error {
	return commands.execute(ctx, arrived.Request, arrived)
}

// execute waits for the one answer to a command.
func (commands commands) execute(ctx context.Context, request identifier.Request, event messenger.Event) *classifier.Error {
	assembler := commands.assembler
	answer, err := assembler.answers.Register(request)
	if err == nil {
		err = assembler.entries.Offer(event)
	}
	if err != nil {
		return classifier.Wrap(err).WithRetryAfter(comeBack)
	}
	select {
	case answered := <-answer:
		return answered.Err
	case <-ctx.Done():
		// The registrar answers before the deadline, so that only a client that
		// has left gets here.
		_ = assembler.answers.Forget(context.WithoutCancel(ctx), request)
		return classifier.New(classifier.OutcomeUnknown, "the client has left")
	}
}
