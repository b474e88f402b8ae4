package scheduler_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/scheduler"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// failer is the part of testing.TB and rapid.T that reports violations.
type failer interface {
	Fatalf(format string, arguments ...any)
}

// world runs schedulers, workers and a log in one goroutine and virtual time.
type world struct {
	t      failer
	now    time.Time
	queue  eventQueue
	serial int
	// eventsAtNow is the number of events since virtual time last advanced.
	eventsAtNow int
	random      *rand.Rand
	nodes       []*node
	workers     map[identifier.Worker]*vm
	vms         []messenger.VM
	log         []messenger.Entry
	// logUnavailable makes appends fail.
	logUnavailable bool
	// configuration is the newest configuration.
	configuration *messenger.Configuration
	// decisionTime is the real time spent in Step, for benchmarks.
	decisionTime time.Duration
	lease        time.Duration
	// requestLossRate and answerLossRate are the shares of calls that are lost
	// before and after they take effect.
	requestLossRate, answerLossRate float64
	// maxTransit is the longest transmission time of a call or an answer.
	maxTransit time.Duration
	behaviours map[identifier.Job]behaviour
	gangs      map[messenger.Gang]*observedGang
	ended      map[identifier.Job]time.Time
	outcomes   map[identifier.Job]messenger.Outcome
	accepted   map[identifier.Job]time.Time
	started    map[identifier.Job]time.Time
	calls      map[messenger.WorkerCallKind]int
	onCall     func(messenger.CallWorker)
}

// behaviour is the actual run time and result of a job, independent of its spec.
type behaviour struct {
	runTime time.Duration
	fails   bool
}

// observedGang is the state of a running gang as the world observes it.
type observedGang struct {
	size         int
	running      map[identifier.Worker]bool
	done         map[identifier.Worker]bool
	partialSince time.Time
}

type timedEvent struct {
	at     time.Time
	serial int
	do     func()
}

type eventQueue []timedEvent

func (list eventQueue) Len() int { return len(list) }
func (list eventQueue) Less(i, j int) bool {
	return list[i].at.Before(list[j].at) || (list[i].at.Equal(list[j].at) && list[i].serial < list[j].serial)
}
func (list eventQueue) Swap(i, j int) { list[i], list[j] = list[j], list[i] }
func (list *eventQueue) Push(x any)   { *list = append(*list, x.(timedEvent)) }
func (list *eventQueue) Pop() any {
	last := (*list)[len(*list)-1]
	*list = (*list)[:len(*list)-1]
	return last
}

// node is one scheduler with the state of its process.
type node struct {
	world     *world
	identity  messenger.Identity
	scheduler *scheduler.Scheduler
	applied   int
	// claim is the newest claim that the node has applied, term its offset.
	claim       messenger.RegionClaim
	term        identifier.Term
	pausedUntil time.Time // end of a pause of the process
	inbox       []messenger.Event
	nextTick    time.Time
}

func newWorld(t failer, seed uint64) *world {
	return &world{
		t: t, now: epoch, maxTransit: 5 * time.Millisecond, lease: 15 * time.Second, random: rand.New(rand.NewPCG(seed, 1)),
		workers: make(map[identifier.Worker]*vm), behaviours: make(map[identifier.Job]behaviour),
		gangs: make(map[messenger.Gang]*observedGang), ended: make(map[identifier.Job]time.Time),
		outcomes: make(map[identifier.Job]messenger.Outcome), accepted: make(map[identifier.Job]time.Time),
		started: make(map[identifier.Job]time.Time), calls: make(map[messenger.WorkerCallKind]int),
	}
}

func (world *world) after(delay time.Duration, do func()) {
	world.serial++
	heap.Push(&world.queue, timedEvent{world.now.Add(delay), world.serial, do})
}

// run advances virtual time by the given duration and runs the events that are due.
func (world *world) run(duration time.Duration) {
	end := world.now.Add(duration)
	for len(world.queue) > 0 && !world.queue[0].at.After(end) {
		next := heap.Pop(&world.queue).(timedEvent)
		if world.eventsAtNow++; next.at.After(world.now) {
			world.eventsAtNow = 0
		} else if world.eventsAtNow > 100000 {
			world.t.Fatalf("more than 100000 events at %s: a scheduler requests ticks without end", world.now)
		}
		world.now = next.at
		next.do()
	}
	world.now = end
}

func (world *world) delay(limit time.Duration) time.Duration {
	return time.Duration(world.random.Int64N(int64(limit))) + 100*time.Microsecond
}

func (world *world) addNode(parameters scheduler.Parameters) *node {
	identity := messenger.Identity{
		Node: identifier.Node(fmt.Sprintf("n%d", len(world.nodes))), Region: "r", Incarnation: 1,
	}
	added := &node{world: world, identity: identity, scheduler: scheduler.New(identity, parameters)}
	world.nodes = append(world.nodes, added)
	return added
}

// members sends every node the list of live nodes.
func (world *world) setMembers(alive ...*node) {
	var event messenger.MembersChanged
	for _, node := range alive {
		event.Members = append(event.Members, messenger.Member{Identity: node.identity, State: messenger.Alive})
	}
	for _, node := range world.nodes {
		world.after(world.delay(100*time.Millisecond), func() { node.step(event) })
	}
}

func (world *world) addWorkers(racks, perRack, accelerators int) {
	for i := range racks * perRack {
		world.vms = append(world.vms, messenger.VM{
			Name: fmt.Sprintf("w%02d-%02d", i/perRack, i%perRack), Role: messenger.WorkerVM, Region: "r",
			Rack: identifier.Rack(fmt.Sprintf("rack%02d", i/perRack)), Accelerators: accelerators,
		})
		name := identifier.Worker(world.vms[len(world.vms)-1].Name)
		world.workers[name] = &vm{world: world, name: name, accelerators: accelerators, up: true, bootedAt: world.now}
	}
	world.listVMs()
}

func (world *world) listVMs() {
	event := messenger.VMsListed{At: world.now, VMs: slices.Clone(world.vms)}
	for _, node := range world.nodes {
		world.after(world.delay(time.Second), func() { node.step(event) })
	}
}

// append adds a record to the log and delivers it to every node.
func (world *world) append(entry messenger.Entry) {
	world.log = append(world.log, entry)
	offset := identifier.Offset(len(world.log))
	switch record := entry.Record.(type) {
	case messenger.Submission:
		world.accepted[record.Spec.Job] = world.now
	case messenger.Outcome:
		if _, ok := world.outcomes[record.Job]; !ok {
			if record.Code == classifier.OK && !world.isComplete(record.Job) {
				world.t.Fatalf("the outcome of job %s is OK, but not every member has completed", record.Job)
			}
			world.outcomes[record.Job], world.ended[record.Job] = record, world.now
		}
	}
	for _, node := range world.nodes {
		world.after(world.delay(50*time.Millisecond), func() { node.applyLog(offset) })
	}
}

func (world *world) submit(spec commander.JobSpec, actual behaviour) {
	spec.Region = "r"
	world.behaviours[spec.Job] = actual
	world.append(messenger.Entry{Record: messenger.Submission{Spec: spec}})
}

// isComplete reports whether every member of a gang of the job completed.
func (world *world) isComplete(job identifier.Job) bool {
	for gang, known := range world.gangs {
		if gang.Job == job && len(known.done) == known.size {
			return true
		}
	}
	return false
}

func (world *world) cancel(job identifier.Job) {
	world.append(messenger.Entry{Record: messenger.Cancellation{Job: job}})
}

// applyLog delivers the records up to an offset to the node, in order.
func (node *node) applyLog(offset identifier.Offset) {
	if node.world.now.Before(node.pausedUntil) {
		node.world.after(node.pausedUntil.Sub(node.world.now), func() { node.applyLog(offset) })
		return
	}
	for node.applied < int(offset) {
		node.applied++
		position := identifier.Offset(node.applied)
		switch record := node.world.log[node.applied-1].Record.(type) {
		case messenger.Submission:
			node.step(messenger.JobAccepted{Spec: record.Spec, Offset: position, At: node.world.now})
		case messenger.Cancellation:
			node.step(messenger.JobCancelled{Job: record.Job})
		case messenger.RegionClaim:
			node.claim, node.term = record, identifier.Term(position)
			node.step(messenger.ClaimApplied{Claim: record, Term: identifier.Term(position)})
		case messenger.Outcome:
			node.step(messenger.JobEnded{Outcome: node.world.outcomes[record.Job]})
		}
	}
}

// pause pauses the node's process; its events are delivered afterwards.
func (node *node) pause(duration time.Duration) {
	node.pausedUntil = node.world.now.Add(duration)
	node.world.after(duration, func() {
		waiting := node.inbox
		node.inbox = nil
		for _, event := range waiting {
			node.step(event)
		}
	})
}

func (node *node) step(event messenger.Event) {
	world := node.world
	if world.now.Before(node.pausedUntil) {
		node.inbox = append(node.inbox, event)
		return
	}
	startedAt := time.Now()
	actions := node.scheduler.Step(world.now, event)
	world.decisionTime += time.Since(startedAt)
	if slices.ContainsFunc(actions, func(action messenger.Action) bool {
		request, ok := action.(messenger.CallWorker)
		return ok && request.Kind == messenger.ReserveTask
	}) && len(world.workers) < 20 {
		world.checkGuarantees()
	}
	for _, action := range actions {
		switch action := action.(type) {
		case messenger.CallWorker:
			node.callWorker(action)
		case messenger.AppendRecord:
			node.appendRecord(action)
		}
	}
	if next := node.scheduler.Next(); !next.IsZero() && !next.Equal(node.nextTick) {
		node.nextTick = next
		world.after(max(0, next.Sub(world.now)), func() {
			if node.nextTick.Equal(next) {
				node.nextTick = time.Time{}
				node.step(messenger.Tick{})
			}
		})
	}
}

// appendRecord appends a record after a delay, or fails with an unknown outcome.
func (node *node) appendRecord(action messenger.AppendRecord) {
	world := node.world
	world.after(world.delay(20*time.Millisecond), func() {
		if !world.logUnavailable {
			world.append(action.Entry)
			return
		}
		if world.random.IntN(2) == 0 {
			world.log = append(world.log, messenger.Entry{}) // another client's record
		}
		world.after(time.Second, func() {
			node.step(messenger.AppendFailed{Stream: action.Stream, ID: action.Entry.ID, Code: classifier.LogUnavailable, Execution: classifier.Unknown})
		})
	})
}

// callWorker delivers a call to a worker and the answer to the node.
func (node *node) callWorker(request messenger.CallWorker) {
	world := node.world
	process := node.scheduler
	world.calls[request.Kind]++
	if world.onCall != nil {
		world.onCall(request)
	}
	if node.claim.Node != node.identity.Node || request.Term != node.term {
		world.t.Fatalf("node %s calls a worker with term %d after the claim %+v with term %d", node.identity.Node, request.Term, node.claim, node.term)
	}
	worker := world.workers[request.Worker]
	timeout := func(code classifier.Code) {
		world.after(2*time.Second, func() { node.deliverAnswer(process, request.Refusal(classifier.New(code, "no answer"))) })
	}
	if world.random.Float64() < world.requestLossRate {
		timeout(classifier.NodeUnreachable)
		return
	}
	world.after(world.delay(world.maxTransit), func() {
		if worker == nil || !worker.up {
			timeout(classifier.NodeUnreachable)
			return
		}
		answer := worker.handle(request)
		if world.random.Float64() < world.answerLossRate {
			timeout(classifier.OutcomeUnknown)
			return
		}
		world.after(world.delay(world.maxTransit), func() { node.deliverAnswer(process, answer) })
	})
}

// deliverAnswer delivers an answer if the process that sent the call still runs.
func (node *node) deliverAnswer(process *scheduler.Scheduler, answer messenger.WorkerAnswered) {
	if node.scheduler == process {
		node.step(answer)
	}
}

// reboot replaces the node's process by a new one, which applies the log from the
// start.
func (node *node) reboot() {
	world := node.world
	node.identity.Incarnation++
	node.scheduler = scheduler.New(node.identity, scheduler.Parameters{})
	node.applied, node.pausedUntil, node.inbox, node.nextTick = 0, time.Time{}, nil, time.Time{}
	node.claim, node.term = messenger.RegionClaim{}, 0
	node.applyLog(identifier.Offset(len(world.log)))
	node.step(messenger.VMsListed{At: world.now, VMs: slices.Clone(world.vms)})
	if world.configuration != nil {
		node.step(messenger.ConfigurationChanged{Configuration: world.configuration})
	}
	world.setMembers(world.nodes...)
}
