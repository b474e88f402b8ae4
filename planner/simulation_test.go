package planner_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/planner"
	"corianderroad/specifier"
)

const (
	poolService = identifier.Service("pool")
	normalQueue = identifier.Queue("draws")
	urgentQueue = identifier.Queue("swaps")
	adviceQueue = identifier.Queue("advised")
	attempts    = 3
	latency     = 5 * time.Millisecond
	appendTime  = 10 * time.Millisecond
	maxLease    = 6 * time.Second
)

// simulation runs planners, minions and the store together in virtual time.
type simulation struct {
	now     time.Time
	events  callQueue
	ordinal int
	random  *rand.Rand

	nodes   []*node
	minions map[identifier.Minion]*fakeMinion
	// maxLease is the longest lease that the minions grant.
	maxLease time.Duration
	// features are the rules of the nodes that are created from now on.
	features planner.Features
	// evacuationTime is the bound of the nodes that are created from now on, zero for none.
	evacuationTime time.Duration
	// maxRuns is the limit of the nodes that are created from now on, zero for none.
	maxRuns  int
	operator operatorTopic
	// addresses is the number of addresses that minions have.
	addresses int
	journal   []messenger.JournalEntry
	// progress holds the records of the progress. One without tasks and state stands for
	// a deletion.
	progress []messenger.Progressed
	store    *fakeStore
	// delayVariation varies the delay of orders, so that answers arrive out of
	// order.
	delayVariation time.Duration
	fenceToken     identifier.Term
	lastToken      identifier.Term
	tasks          map[specifier.Task]*taskState
	jobs           map[identifier.Job]*specifier.Job
	// cancelled holds when each cancellation was acknowledged.
	cancelled  map[identifier.Job]time.Time
	services   *fakeServices
	violations []string
	decisions  []string
	// onDecision is called with each decision. It may be nil.
	onDecision func(messenger.Decision)
	// counts are the sums of the counters, by their name and reason.
	counts map[string]float64

	// Faults: the share of orders whose answer is lost, and of those that are
	// executed late.
	lostAnswerShare, lateOrderShare float64
	// outdatedListShare is the share of polls whose answer is one that the minion gave to
	// an earlier poll.
	outdatedListShare float64
	// lostRecordAnswerShare is the share of records that become durable without an
	// answer.
	lostRecordAnswerShare float64
	// fails reports whether a run fails.
	fails func(run *fakeRun) bool
	// workTime returns how long a run works.
	workTime func(run *fakeRun) time.Duration
	crashing crashingTasks
	// speeds are those of the minions, nil if all work equally fast.
	speeds *fakeSpeeds
	// checkpoints are those of the runs, nil if the simulation has none.
	checkpoints *fakeCheckpoints
	// hidesProgress means that runs report no progress.
	hidesProgress bool
	// lostCoreSeconds is the work that was done again, endsWithoutResult the number of runs
	// that ended before they were done.
	lostCoreSeconds   float64
	endsWithoutResult map[messenger.EndKind]int
	// checkpointInterval is the time between the checkpoints of a run with checkpoints, zero
	// if minions list none.
	checkpointInterval time.Duration
	// lastingFailsAfter is the time after which long-running tasks fail, zero for never.
	lastingFailsAfter time.Duration
}

// taskState is the actual state of a task in the simulation.
type taskState struct {
	done        bool
	endRecorded bool
	failedRuns  []uint64
	running     map[*fakeRun]bool
	startedRuns []uint64
	// crashes counts the minions that the task has crashed, startsAfterCrashes the starts
	// after crashesBeforeLimit of them.
	crashes, startsAfterCrashes int
	// lostWithMinion counts the runs that ended because their minion ended.
	lostWithMinion int
	// workAtEnd is the work that the newest run had done when it ended without a result.
	workAtEnd time.Duration
	// doneAt is when the task was done.
	doneAt time.Time
}

type scheduledCall struct {
	at      time.Time
	ordinal int
	call    func()
}

type callQueue []scheduledCall

func (queue callQueue) Len() int { return len(queue) }
func (queue callQueue) Less(i, j int) bool {
	if queue[i].at.Equal(queue[j].at) {
		return queue[i].ordinal < queue[j].ordinal
	}
	return queue[i].at.Before(queue[j].at)
}
func (queue callQueue) Swap(i, j int)   { queue[i], queue[j] = queue[j], queue[i] }
func (queue *callQueue) Push(value any) { *queue = append(*queue, value.(scheduledCall)) }
func (queue *callQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// node is an entry VM with its planner.
type node struct {
	name        identifier.Node
	planner     *planner.Planner
	alive       bool
	started     time.Time
	token       identifier.Term
	entriesRead int
	// progressRead is the number of records of the progress that the node has read, negative
	// while it does not follow them.
	progressRead int
	tickAt       time.Time
	// stepTime is the real time that the node's decisions needed.
	stepTime time.Duration
	// frozen means that the process does not run. The events that reach it meanwhile
	// are handled when it runs again.
	frozen        bool
	pendingEvents []messenger.Event
	// operatorRead is the number of evacuation records that the node has read, negative before
	// its first listing.
	operatorRead int
	// waits are the newest that the node's planner has computed, waitsComputed how often it has.
	waits         *messenger.QueueWaits
	waitsComputed int
}

func newSimulation(seed uint64, nodes, minions int) *simulation {
	return newLeasedSimulation(seed, nodes, minions, maxLease)
}

// newLeasedSimulation returns a simulation whose minions grant leases up to the given one.
func newLeasedSimulation(seed uint64, nodes, minions int, maxLease time.Duration) *simulation {
	simulation := &simulation{
		now: time.Unix(1_000_000, 0), maxLease: maxLease, random: rand.New(rand.NewPCG(seed, 1)),
		minions: make(map[identifier.Minion]*fakeMinion), tasks: make(map[specifier.Task]*taskState),
		jobs: make(map[identifier.Job]*specifier.Job), cancelled: make(map[identifier.Job]time.Time),
		endsWithoutResult: make(map[messenger.EndKind]int),
		counts:            make(map[string]float64),
		services:          newFakeServices(), store: newFakeStore(),
		fails:    func(*fakeRun) bool { return false },
		workTime: func(run *fakeRun) time.Duration { return run.spec.EstimatedRunTime },
	}
	for index := range minions {
		name := identifier.Minion(fmt.Sprintf("m%02d", index))
		simulation.minions[name] = newFakeMinion(simulation, name, index/4)
	}
	for index := range nodes {
		simulation.nodes = append(simulation.nodes, simulation.newNode(fmt.Sprintf("n%d", index)))
	}
	return simulation
}

func (simulation *simulation) newNode(name string) *node {
	node := &node{name: identifier.Node(name), alive: true, progressRead: -1, operatorRead: -1, started: simulation.now, planner: planner.New(identifier.Node(name), planner.Bounds{
		MaxLease: simulation.maxLease, StopTimeout: 500 * time.Millisecond, StatusRetention: time.Hour,
		MaintenanceTime: 2 * time.Second, ReclaimTime: 3 * time.Second, EvacuationTime: simulation.evacuationTime, MaxRuns: simulation.maxRuns,
	}, simulation.features)}
	simulation.step(node, messenger.PolicyRead{Policy: testPolicy(), SentAt: simulation.now})
	if simulation.evacuationTime > 0 {
		simulation.schedule(latency, func() { simulation.readOperatorTopic(node, simulation.now.Add(-latency)) })
	}
	return node
}

func testPolicy() *specifier.Policy {
	queue := func(name identifier.Queue, priority int) specifier.Queue {
		return specifier.Queue{Name: name, Service: poolService, Priority: priority, Attempts: attempts, Stretch: 3, Slack: time.Second}
	}
	withAdvice := queue(adviceQueue, 1)
	withAdvice.Advice = &specifier.Advice{DecisionTime: adviceTime, TicketValidity: ticketValidity}
	return &specifier.Policy{
		Version: 1, Queues: []specifier.Queue{queue(normalQueue, 1), queue(urgentQueue, 0), withAdvice},
	}
}

// schedule executes a call after a delay.
func (simulation *simulation) schedule(delay time.Duration, call func()) {
	simulation.ordinal++
	heap.Push(&simulation.events, scheduledCall{simulation.now.Add(delay), simulation.ordinal, call})
}

// advance runs the simulation for a time.
func (simulation *simulation) advance(span time.Duration) {
	until := simulation.now.Add(span)
	for simulation.events.Len() > 0 && !simulation.events[0].at.After(until) {
		next := heap.Pop(&simulation.events).(scheduledCall)
		if next.at.After(simulation.now) {
			simulation.now = next.at
		}
		next.call()
	}
	simulation.now = until
}

// step passes an event to a node and executes its actions.
func (simulation *simulation) step(node *node, event messenger.Event) {
	if !node.alive {
		return
	}
	if node.frozen {
		node.pendingEvents = append(node.pendingEvents, event)
		return
	}
	startedAt := time.Now()
	actions := node.planner.Step(simulation.now, event)
	next := node.planner.Next()
	node.stepTime += time.Since(startedAt)
	for _, action := range actions {
		simulation.perform(node, action)
	}
	if next.IsZero() || next.Equal(node.tickAt) {
		return
	}
	node.tickAt = next
	simulation.schedule(max(next.Sub(simulation.now), time.Microsecond), func() {
		if node.tickAt.Equal(next) {
			node.tickAt = time.Time{}
			simulation.step(node, messenger.Tick{})
		}
	})
}

func (simulation *simulation) perform(node *node, action messenger.Action) {
	switch action := action.(type) {
	case messenger.Decision:
		if simulation.onDecision != nil {
			simulation.onDecision(action)
		}
		simulation.decisions = append(simulation.decisions, fmt.Sprintf("%s %s %s %s: %s %s",
			simulation.now.Format("05.000"), node.name, action.Subject, action.Outcome, action.Reason, action.Detail))
	case messenger.Count:
		simulation.count(action)
	case messenger.WorkLost:
		simulation.counts["lost "+action.Rule] += action.CoreSeconds
	case messenger.OrderMinion:
		simulation.sendOrder(node, action)
	case messenger.FenceJournal:
		simulation.callStore(node, func() *classifier.Error { return simulation.fenceJournal(action.Token) }, func(err *classifier.Error) {
			simulation.step(node, messenger.JournalFenced{
				Token: action.Token, End: identifier.Offset(len(simulation.journal)), ProgressEnd: identifier.Offset(len(simulation.progress)), Err: err,
			})
			simulation.deliverJournal(node)
		})
	case messenger.RecordProgress:
		simulation.callStore(node, func() *classifier.Error { return simulation.appendProgress(action) }, func(err *classifier.Error) {
			recorded := messenger.ProgressRecorded{Token: action.Token, Serial: action.Serial, Err: err}
			if err != nil && err.Code == classifier.BodyTooLarge {
				recorded.Unrecordable = simulation.store.unrecordable
			}
			simulation.step(node, recorded)
		})
	case messenger.FollowProgress:
		node.progressRead = -1
		if action.Enabled {
			simulation.schedule(latency, func() { simulation.listProgress(node) })
		}
	case messenger.FollowMinions:
		delete(simulation.store.followers, node)
		if action.Enabled {
			simulation.schedule(latency, func() { simulation.deliverReports(node) })
			simulation.schedule(readInterval, func() { simulation.readReports(node) })
		}
	case messenger.WaitsComputed:
		node.waits = action.Waits
		node.waitsComputed++
	case messenger.HolderFenced:
		if node.token == action.Token {
			node.token = 0
		}
	default:
		simulation.performServiceAction(node, action)
	}
}

// appendProgress appends progress that the holder records. A record that is already
// appended is not appended again.
func (simulation *simulation) appendProgress(action messenger.RecordProgress) *classifier.Error {
	if simulation.fenceToken > action.Token {
		return classifier.New(classifier.StaleTerm, "fenced")
	}
	if err := simulation.checkRecordSizes(action); err != nil {
		return err
	}
	if simulation.store.appendedSerials[action.Token] < action.Serial {
		simulation.store.appendedSerials[action.Token] = action.Serial
		simulation.appendProgressRecords(action)
		for _, update := range action.States {
			simulation.checkHasBegun(update)
			simulation.appendEntry(update)
		}
		for _, id := range action.Deletions {
			simulation.appendEntry(messenger.Deleted{Job: id})
		}
		for _, tombstone := range action.Tombstones {
			simulation.appendEntry(messenger.TombstoneDeleted{Tombstone: tombstone})
		}
	}
	if simulation.random.Float64() < simulation.lostRecordAnswerShare {
		return classifier.New(classifier.OutcomeUnknown, "no answer")
	}
	return nil
}

// appendEntry appends an entry to the journal, which all nodes read soon.
func (simulation *simulation) appendEntry(entry messenger.JournalEntry) {
	simulation.journal = append(simulation.journal, entry)
	for _, node := range simulation.nodes {
		simulation.schedule(latency, func() { simulation.deliverJournal(node) })
	}
}

func (simulation *simulation) deliverJournal(node *node) {
	if !node.alive || !simulation.store.isReachableFrom(node) {
		return
	}
	entries := simulation.journal[node.entriesRead:]
	node.entriesRead = len(simulation.journal)
	simulation.step(node, messenger.JournalRead{Entries: entries, End: identifier.Offset(len(simulation.journal)), SentAt: simulation.now})
}

// makeHolder makes a node the holder. The node renews its claim until it loses
// its token.
func (simulation *simulation) makeHolder(node *node) {
	simulation.lastToken++
	token := simulation.lastToken
	node.token = token
	simulation.renewClaim(node, token)
}

func (simulation *simulation) renewClaim(node *node, token identifier.Term) {
	if node.token != token || !node.alive {
		return
	}
	if simulation.appendRenewal(node) {
		simulation.lastToken++ // later claims follow the renewal
		simulation.step(node, messenger.HolderChanged{Token: token, ConfirmedAt: simulation.now, Fence: simulation.lastToken})
	}
	simulation.schedule(400*time.Millisecond, func() { simulation.renewClaim(node, token) })
}

// submit appends a job as an entry VM would.
func (simulation *simulation) submit(job specifier.Job) {
	job.AcceptedAt = simulation.now
	if err := job.Check(); err != nil {
		panic(err)
	}
	simulation.jobs[job.ID] = &job
	simulation.appendEntry(messenger.Submitted{Job: job})
}

func (simulation *simulation) cancel(id identifier.Job) {
	simulation.appendEntry(messenger.Withdrawn{Job: id})
	simulation.cancelled[id] = simulation.now
}
