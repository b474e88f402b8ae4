// Package server creates and connects the duties of a node, and runs them as one
// group that stops together.
package server

import (
	"context"
	"net/http"
	"sync"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"corianderroad/authenticator"
	"corianderroad/buffer"
	"corianderroad/decider"
	"corianderroad/exporter"
	"corianderroad/identifier"
	"corianderroad/inspector"
	"corianderroad/loader"
	"corianderroad/messenger"
	"corianderroad/runner"
	"corianderroad/waiter"
)

// Server is one node.
type Server struct {
	settings *loader.Settings
	identity messenger.Identity
	clock    runner.Clock

	events        []*buffer.Ring[messenger.Event]
	queries       []*buffer.Ring[runner.QueryRequest]
	stateMachines []decider.StateMachine

	sends       *buffer.Ring[messenger.SendPeer]
	appends     map[identifier.Stream]*buffer.Ring[messenger.AppendRecord]
	advances    map[identifier.Stream]*buffer.Ring[messenger.StreamAdvanced]
	minionCalls *buffer.Ring[messenger.CallMinion]
	slotQueries *buffer.Ring[messenger.QuerySlots]
	workerCalls *buffer.Ring[messenger.CallWorker]

	calls    *waiter.Waiter[messenger.CallAnswered]
	commands *waiter.Waiter[messenger.CommandAnswered]

	authenticator *authenticator.Authenticator
	inspector     *inspector.Inspector
	exporter      *exporter.Exporter
	readiness     *readiness
	members       *members

	drain     chan struct{}
	drainOnce sync.Once
	handler   http.Handler
	duties    []duty
}

// duty runs until its context ends.
type duty interface {
	Run(ctx context.Context) error
}

// New returns a node with the given settings. The clock must have a monotonic
// reading, as time.Now has.
func New(settings *loader.Settings, clock runner.Clock) (*Server, error) {
	start := clock()
	server := &Server{
		settings:  settings,
		identity:  settings.Identity(start),
		clock:     clock,
		readiness: newReadiness(clock),
		members:   &members{node: settings.Node},
		drain:     make(chan struct{}),
	}
	founders := make(map[identifier.Organisation]authenticator.Digest)
	for _, founder := range settings.Founders {
		founders[founder.Organisation] = authenticator.Digest(founder.OperatorTokenDigest)
	}
	server.authenticator = authenticator.New(founders)
	server.makeRings()
	server.inspector = inspector.New(server.queries)
	server.exporter = exporter.New(server.rings(), server.inspector)
	seed := uint64(start.UnixNano()) // nodes must not make the same random choices
	server.stateMachines = decider.NewStateMachines(server.identity, parameters(settings), seed)
	server.addStateMachines()
	if err := server.addIODuties(); err != nil {
		return nil, err
	}
	return server, nil
}

// queryCapacity limits the queries that wait for a duty. It is small because
// queries come only from people, scripts and scrapes of metrics.
const queryCapacity = 64

func (server *Server) makeRings() {
	capacity := server.settings.Limits.RingCapacity
	for _, duty := range decider.Duties() {
		server.events = append(server.events, buffer.New[messenger.Event](duty.String()+"-events", capacity))
		server.queries = append(server.queries, buffer.New[runner.QueryRequest](duty.String()+"-queries", queryCapacity))
	}
	server.sends = buffer.New[messenger.SendPeer]("sends", capacity)
	server.appends = make(map[identifier.Stream]*buffer.Ring[messenger.AppendRecord])
	server.advances = make(map[identifier.Stream]*buffer.Ring[messenger.StreamAdvanced])
	for _, stream := range streams() {
		server.appends[stream] = buffer.New[messenger.AppendRecord](string(stream)+"-appends", capacity)
		server.advances[stream] = buffer.New[messenger.StreamAdvanced](string(stream)+"-advances", queryCapacity)
	}
	server.minionCalls = buffer.New[messenger.CallMinion]("minion-calls", capacity)
	server.slotQueries = buffer.New[messenger.QuerySlots]("slot-asks", capacity)
	server.workerCalls = buffer.New[messenger.CallWorker]("worker-calls", capacity)
	server.calls = waiter.New[messenger.CallAnswered]("calls", capacity)
	server.commands = waiter.New[messenger.CommandAnswered]("commands", capacity)
}

// rings lists the rings whose depth and refusals are exported.
func (server *Server) rings() []exporter.Ring {
	rings := []exporter.Ring{server.sends, server.minionCalls, server.slotQueries, server.workerCalls, server.calls, server.commands}
	for _, ring := range server.events {
		rings = append(rings, ring)
	}
	for _, ring := range server.queries {
		rings = append(rings, ring)
	}
	for _, stream := range streams() {
		rings = append(rings, server.appends[stream], server.advances[stream])
	}
	return rings
}

func (server *Server) addStateMachines() {
	for _, duty := range decider.Duties() {
		actionDispatcher := &actionDispatcher{server: server, sender: duty}
		server.duties = append(server.duties,
			runner.New(server.stateMachines[duty], server.events[duty], server.queries[duty], actionDispatcher, server.clock))
	}
	server.duties = append(server.duties, server.calls, server.commands)
}

// Drain starts the graceful stop of the node. It returns at once and may be
// called more than once.
func (server *Server) Drain() { server.drainOnce.Do(func() { close(server.drain) }) }

// Run runs the node until the context ends, a duty fails, or a graceful stop is
// complete. Drain or closing the stop channel starts a graceful stop.
func (server *Server) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, duty := range server.duties {
		group.Go(func() error { return duty.Run(ctx) })
	}
	httpServer := server.newHTTPServer()
	group.Go(func() error { return httpServer.run(ctx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stop:
		case <-server.drain:
		}
		server.stopGracefully(ctx)
		httpServer.shutdown(ctx)
		cancel()
		return nil
	})
	log.Info().Str("node", string(server.settings.Node)).Str("state", "serving").Msg("node started")
	err := group.Wait()
	log.Info().Str("node", string(server.settings.Node)).Str("state", "stopped").Msg("node stopped")
	return err
}

// updateHandlerState stores the newest configuration and members for the HTTP
// handlers, so that they need not query a duty for each request.
func (server *Server) updateHandlerState(action messenger.Action) {
	switch action := action.(type) {
	case messenger.ConfigurationChanged:
		server.authenticator.Update(action.Configuration)
		server.readiness.configured.Store(true)
	case messenger.MembersChanged:
		server.members.update(action.Members)
	}
}

func (server *Server) logTransition(duty decider.Duty, transition messenger.Transition) {
	entry := log.Info().Str("node", string(server.settings.Node)).Str("duty", duty.String()).
		Str("subject", transition.Subject).Str("from", transition.From).Str("to", transition.To).
		Str("reason", transition.Reason)
	if transition.Detail != "" {
		entry = entry.Str("inputs", transition.Detail)
	}
	entry.Msg("state changed")
}
