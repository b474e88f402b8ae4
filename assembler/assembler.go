// Package assembler creates and connects the duties of an entry VM on the users'
// platform, and runs them as one group that stops together.
package assembler

import (
	"context"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"corianderroad/admitter"
	"corianderroad/authorizer"
	"corianderroad/budgeter"
	"corianderroad/buffer"
	"corianderroad/claimer"
	"corianderroad/committer"
	"corianderroad/explainer"
	"corianderroad/exporter"
	"corianderroad/gatekeeper"
	"corianderroad/identifier"
	"corianderroad/inspector"
	"corianderroad/messenger"
	"corianderroad/orderer"
	"corianderroad/planner"
	"corianderroad/platform"
	"corianderroad/registrar"
	"corianderroad/runner"
	"corianderroad/tailer"
	"corianderroad/waiter"
)

// Capacities of rings.
const (
	eventCapacity     = 2048
	lowVolumeCapacity = 512 // for queries, appends of the holder and calls of services
	callCapacity      = 2048
	pollCapacity      = 8192 // a new holder polls all minions at once
)

// revocationMargin is subtracted from the platform's bound for revocations, so that
// this node refuses a revoked key before the bound.
const revocationMargin = 500 * time.Millisecond

// statusMargin is added to the time for which the state of ended jobs must stay
// readable.
const statusMargin = 30 * time.Second

// Assembler is one entry VM.
type Assembler struct {
	settings    *platform.Settings
	options     Options
	clock       runner.Clock
	decisionLog *decisionLog

	claims, entries, plans                *buffer.Ring[messenger.Event]
	claimQueries, jobQueries, planQueries *buffer.Ring[runner.QueryRequest]

	claimAppends    *buffer.Ring[messenger.AppendClaim]
	entryAppends    *buffer.Ring[messenger.AppendEntries]
	progressAppends *buffer.Ring[messenger.Action]
	orders, polls   *buffer.Ring[messenger.OrderMinion]
	serviceCalls    *buffer.Ring[messenger.Action]

	answers    *waiter.Waiter[messenger.CommandAnswered]
	exporter   *exporter.Exporter
	explainer  *explainer.Explainer
	poolStatus *explainer.Status
	authorizer atomic.Pointer[authorizer.Authorizer]
	readiness  readiness

	journalTailer, progressTailer, minionTailer *tailer.Tailer

	// Each admits the clients of one listener.
	clients, healthChecks, scrapes *gatekeeper.Gatekeeper

	frontEnd *platform.FrontEnd
	duties   []duty
}

// Options are what the deployment sets for its entry VMs on the command line.
type Options struct {
	// Features are the rules of the planner that are enabled.
	Features planner.Features
	// Clients are the limits of clients.
	Clients ClientLimits
	// JobMemory is the limit of the memory for accepted jobs, in bytes. Zero stands for its
	// default, which follows from the settings.
	JobMemory int64
	// MaxRuns limits the runs that the holder has at the same time. Zero stands for its default,
	// which follows from the settings.
	MaxRuns int
}

// Check returns an error with code InvalidSettings if a limit does not suit the machine.
func (options Options) Check(settings *platform.Settings) error {
	if _, err := options.Clients.Complete(settings); err != nil {
		return err
	}
	if _, err := options.CompleteJobMemory(settings); err != nil {
		return err
	}
	_, err := options.CompleteMaxRuns(settings)
	return err
}

// duty runs until its context ends.
type duty interface {
	Run(ctx context.Context) error
}

// New returns an Assembler with the given settings and options. The limits get their
// defaults, and must have been checked by Options.Check.
func New(settings *platform.Settings, options Options, clock runner.Clock) *Assembler {
	assembler := &Assembler{settings: settings, options: options, clock: clock, decisionLog: newDecisionLog(settings.Node, os.Stdout)}
	assembler.makeRings()
	limits, _ := options.Clients.Complete(settings) // checked by the caller
	assembler.addGatekeepers(limits)
	jobs := inspector.New([]*buffer.Ring[runner.QueryRequest]{assembler.jobQueries})
	all := inspector.New([]*buffer.Ring[runner.QueryRequest]{assembler.claimQueries, assembler.jobQueries, assembler.planQueries, assembler.clients.Queries(), assembler.healthChecks.Queries(), assembler.scrapes.Queries()})
	assembler.exporter = exporter.New(assembler.rings(), all)
	plans := inspector.New([]*buffer.Ring[runner.QueryRequest]{assembler.planQueries})
	assembler.explainer, assembler.poolStatus = explainer.New(settings.Node, plans, clock), explainer.NewStatus(settings.Node, plans, clock)
	assembler.addStateMachines()
	assembler.addIODuties()
	assembler.frontEnd = &platform.FrontEnd{
		Authorizer: requestAuthorizer{assembler}, Commands: commandSubmitter{assembler}, Queries: jobs, Journal: assembler.journalTailer, Observer: assembler.exporter,
		Callers: callerFinder{}, Decoder: platform.NewJobDecoder(), Clock: clock,
	}
	return assembler
}

func (assembler *Assembler) makeRings() {
	assembler.claims = buffer.New[messenger.Event]("claim-events", eventCapacity)
	assembler.entries = buffer.New[messenger.Event]("entry-events", eventCapacity)
	assembler.plans = buffer.New[messenger.Event]("plan-events", eventCapacity)
	assembler.claimQueries = buffer.New[runner.QueryRequest]("claim-queries", lowVolumeCapacity)
	assembler.jobQueries = buffer.New[runner.QueryRequest]("job-queries", lowVolumeCapacity)
	assembler.planQueries = buffer.New[runner.QueryRequest]("plan-queries", lowVolumeCapacity)
	assembler.claimAppends = buffer.New[messenger.AppendClaim]("claim-appends", lowVolumeCapacity)
	assembler.entryAppends = buffer.New[messenger.AppendEntries]("entry-appends", callCapacity)
	assembler.progressAppends = buffer.New[messenger.Action]("progress-appends", lowVolumeCapacity)
	assembler.orders = buffer.New[messenger.OrderMinion]("orders", callCapacity)
	assembler.polls = buffer.New[messenger.OrderMinion]("polls", pollCapacity)
	assembler.serviceCalls = buffer.New[messenger.Action]("service-calls", lowVolumeCapacity)
	assembler.answers = waiter.New[messenger.CommandAnswered]("answers", callCapacity)
}

// rings lists the rings whose depth and refusals are exported.
func (assembler *Assembler) rings() []exporter.Ring {
	return []exporter.Ring{
		assembler.claims, assembler.entries, assembler.plans, assembler.claimQueries, assembler.jobQueries,
		assembler.planQueries, assembler.claimAppends, assembler.entryAppends, assembler.progressAppends,
		assembler.orders, assembler.polls, assembler.serviceCalls, assembler.answers,
		assembler.clients, assembler.healthChecks, assembler.scrapes,
	}
}

func (assembler *Assembler) addStateMachines() {
	settings, start := assembler.settings, assembler.clock()
	incarnation := identifier.NewIncarnation(start)
	source := rand.New(rand.NewPCG(uint64(incarnation), uint64(len(settings.Node)))) // nodes must not draw the same random delays
	jobMemory, _ := assembler.options.CompleteJobMemory(settings)                    // checked by the caller
	maxRuns, _ := assembler.options.CompleteMaxRuns(settings)                        // as above
	bounds := planner.Bounds{
		MaxRuns:  maxRuns,
		MaxLease: settings.Bounds.MaxLease, StopTimeout: settings.Bounds.StopTimeout,
		StatusRetention: settings.Bounds.StatusRetention + statusMargin,
		MaintenanceTime: settings.Bounds.MaintenanceTime, ReclaimTime: settings.Bounds.ReclaimTime, EvacuationTime: settings.Bounds.EvacuationTime,
	}
	dispatcher := actionDispatcher{assembler}
	assembler.duties = append(assembler.duties,
		runner.New(claimer.New(settings.Node, incarnation, claimDelay(settings.Cores), source), assembler.claims, assembler.claimQueries, dispatcher, assembler.clock),
		runner.New(assembler.newRegistrar(budgeter.New(jobMemory, bounds.StatusRetention), source), assembler.entries, assembler.jobQueries, dispatcher, assembler.clock),
		runner.New(planner.New(settings.Node, bounds, assembler.options.Features), assembler.plans, assembler.planQueries, dispatcher, assembler.clock),
		assembler.answers)
}

// newRegistrar returns the registrar, which refuses submissions early only if the deployment
// enables it.
func (assembler *Assembler) newRegistrar(budget *budgeter.Budgeter, source *rand.Rand) *registrar.Registrar {
	if !assembler.options.Features.EarlyRefusals {
		return registrar.New(budget, nil)
	}
	return registrar.New(budget, admitter.New(rand.New(rand.NewPCG(source.Uint64(), source.Uint64()))))
}

// Delays of claims on nodes with few processors. The holder needs more processor
// time than the other nodes, so nodes with more processors claim first.
const (
	singleCoreClaimDelay = 40 * time.Millisecond
	maxClaimDelay        = 300 * time.Millisecond
)

// claimDelay returns how long a node delays its claim in favour of nodes with more
// processors.
func claimDelay(cores float64) time.Duration {
	if cores <= 0 {
		return 0
	}
	return min(time.Duration(float64(singleCoreClaimDelay)/cores), maxClaimDelay)
}

// lateClaimDelay is the delay from which on a node counts as one that claims late.
const lateClaimDelay = 150 * time.Millisecond

// claimPace returns the pace at which a node reads the claims.
func claimPace(cores float64) time.Duration {
	if claimDelay(cores) > lateClaimDelay {
		return lateClaimPace
	}
	return 0
}

// Intervals and limits of the reads of topics. Nodes that read the journal only to
// answer queries wait between two reads, so that each read returns several records.
// The holder reads without such a pause.
const (
	policyWait  = time.Second
	journalWait = time.Second
	// journalPace is long, because all nodes together may make only so many calls. A query
	// for a job that has not ended shortens it to refreshPace.
	journalPace = 600 * time.Millisecond
	refreshPace = 150 * time.Millisecond
	claimWait   = 700 * time.Millisecond
	// lateClaimPace is the pace of nodes that claim only after others. With claimWait it
	// stays below the gap between reads that makes a claimer wait anew.
	lateClaimPace = 800 * time.Millisecond
	minionWait    = time.Second
	minionPace    = 150 * time.Millisecond
)

func (assembler *Assembler) addIODuties() {
	settings := assembler.settings
	storeClient := platform.NewStoreClient(settings.Store, assembler.exporter)
	limits := committer.Limits{RecordBytes: settings.RecordBytes, RequestBytes: settings.RequestBytes}
	sink := eventSink{assembler}
	newTailer := func(options tailer.Options, receiver tailer.Sink) *tailer.Tailer {
		return tailer.New(options, storeClient, receiver, assembler.clock)
	}
	assembler.minionTailer = newTailer(tailer.Options{Topic: platform.MinionTopic(), Wait: minionWait, Pace: minionPace, Paused: true}, &minionSink{newTopicSink(assembler, "minions")})
	assembler.journalTailer = newTailer(tailer.Options{Topic: identifier.Journal, Wait: journalWait, Pace: journalPace, RefreshPace: refreshPace}, &journalSink{newTopicSink(assembler, "journal")})
	assembler.progressTailer = newTailer(tailer.Options{Topic: identifier.Progress, Wait: journalWait, Paused: true}, &progressSink{newTopicSink(assembler, "progress")})
	serviceClient := platform.NewServiceClient(settings, storeClient, refusalObserver{assembler})
	assembler.duties = append(assembler.duties,
		newTailer(tailer.Options{Topic: platform.OperatorTopic(), Wait: policyWait}, &policySink{newTopicSink(assembler, "operator")}),
		assembler.journalTailer, assembler.progressTailer,
		newTailer(tailer.Options{Topic: identifier.Claims, Wait: claimWait, Pace: claimPace(settings.Cores)}, &claimSink{newTopicSink(assembler, "claims")}),
		assembler.minionTailer,
		committer.NewEntryAppender(assembler.entryAppends, storeClient, limits, sink),
		committer.NewProgressAppender(assembler.progressAppends, storeClient, limits, sink),
		committer.NewClaimAppender(assembler.claimAppends, storeClient, sink, assembler.clock),
		orderer.New(assembler.orders, assembler.polls, platform.NewMinionClient(), sink, assembler.clock),
		orderer.NewServiceCaller(assembler.serviceCalls, serviceClient, serviceClient, sink, assembler.clock))
}

// Run runs the entry VM until the context ends, a duty fails, or a graceful stop
// is complete. Closing the stop channel starts a graceful stop.
func (assembler *Assembler) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, duty := range assembler.duties {
		group.Go(func() error { return duty.Run(ctx) })
	}
	servers := assembler.servers()
	for _, server := range servers {
		group.Go(func() error { return server.run(ctx) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stop:
		}
		assembler.stopGracefully(ctx, servers)
		cancel()
		return nil
	})
	assembler.decisionLog.logState("started", "", assembler.settings.FrontEnd.String())
	err := group.Wait()
	assembler.decisionLog.logState("stopped", "", "")
	assembler.decisionLog.close()
	return err
}
