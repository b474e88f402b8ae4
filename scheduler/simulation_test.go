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

// simulation runs schedulers, workers and a log in one goroutine and in virtual time.
type simulation struct {
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
	// crashesWorkers means that each worker that starts a task crashes soon after.
	crashesWorkers bool
}

// observedGang is the state of a running gang according to its tasks, not to a
// scheduler.
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
	simulation *simulation
	identity   messenger.Identity
	scheduler  *scheduler.Scheduler
	applied    int
	caughtUp   bool
	// claim is the newest claim that the node has applied, term its offset.
	claim       messenger.RegionClaim
	term        identifier.Term
	pausedUntil time.Time // end of a pause of the process
	inbox       []messenger.Event
	nextTick    time.Time
	// logReadableAt is when the node can read the log, configurationDelay the time from
	// the start of its process until it has read the configuration.
	logReadableAt      time.Time
	configurationDelay time.Duration
	// unlisted are the VMs that the lists of this node lack.
	unlisted map[string]bool
}

func newSimulation(t failer, seed uint64) *simulation {
	return &simulation{
		t: t, now: epoch, maxTransit: 5 * time.Millisecond, lease: 15 * time.Second, random: rand.New(rand.NewPCG(seed, 1)),
		workers: make(map[identifier.Worker]*vm), behaviours: make(map[identifier.Job]behaviour),
		gangs: make(map[messenger.Gang]*observedGang), ended: make(map[identifier.Job]time.Time),
		configuration: &messenger.Configuration{}, outcomes: make(map[identifier.Job]messenger.Outcome), accepted: make(map[identifier.Job]time.Time),
		started: make(map[identifier.Job]time.Time), calls: make(map[messenger.WorkerCallKind]int),
	}
}

func (simulation *simulation) after(delay time.Duration, do func()) {
	simulation.serial++
	heap.Push(&simulation.queue, timedEvent{simulation.now.Add(delay), simulation.serial, do})
}

// run advances virtual time by the given duration and runs the events that are due.
func (simulation *simulation) run(duration time.Duration) {
	end := simulation.now.Add(duration)
	for len(simulation.queue) > 0 && !simulation.queue[0].at.After(end) {
		next := heap.Pop(&simulation.queue).(timedEvent)
		if simulation.eventsAtNow++; next.at.After(simulation.now) {
			simulation.eventsAtNow = 0
		} else if simulation.eventsAtNow > 100000 {
			simulation.t.Fatalf("more than 100000 events at %s: a scheduler requests ticks without end", simulation.now)
		}
		simulation.now = next.at
		next.do()
	}
	simulation.now = end
}

func (simulation *simulation) delay(limit time.Duration) time.Duration {
	return time.Duration(simulation.random.Int64N(int64(limit))) + 100*time.Microsecond
}

func (simulation *simulation) addNode(parameters scheduler.Parameters) *node {
	identity := messenger.Identity{
		Node: identifier.Node(fmt.Sprintf("n%d", len(simulation.nodes))), Region: "r", Incarnation: 1,
	}
	added := &node{simulation: simulation, identity: identity, scheduler: scheduler.New(identity, parameters)}
	simulation.nodes = append(simulation.nodes, added)
	added.applyLog(identifier.Offset(len(simulation.log)))
	added.step(messenger.ConfigurationChanged{Configuration: simulation.configuration})
	return added
}

// setMembers sends every node the list of alive nodes.
func (simulation *simulation) setMembers(alive ...*node) {
	var event messenger.MembersChanged
	for _, node := range alive {
		event.Members = append(event.Members, messenger.Member{Identity: node.identity, State: messenger.Alive})
	}
	for _, node := range simulation.nodes {
		simulation.after(simulation.delay(100*time.Millisecond), func() { node.step(event) })
	}
}

func (simulation *simulation) addWorkers(racks, perRack, accelerators int) {
	for i := range racks * perRack {
		simulation.vms = append(simulation.vms, messenger.VM{
			Name: fmt.Sprintf("w%02d-%02d", i/perRack, i%perRack), Role: messenger.WorkerVM, Region: "r",
			Rack: identifier.Rack(fmt.Sprintf("rack%02d", i/perRack)), Accelerators: accelerators,
		})
		name := identifier.Worker(simulation.vms[len(simulation.vms)-1].Name)
		simulation.workers[name] = &vm{simulation: simulation, name: name, accelerators: accelerators, up: true, bootedAt: simulation.now}
	}
	simulation.listVMs()
}

func (simulation *simulation) listVMs() {
	vms := slices.Clone(simulation.vms)
	for _, node := range simulation.nodes {
		simulation.after(simulation.delay(time.Second), func() { node.step(node.newVMsListed(vms)) })
	}
}

// append adds a record to the log and delivers it to every node.
func (simulation *simulation) append(entry messenger.Entry) {
	simulation.log = append(simulation.log, entry)
	offset := identifier.Offset(len(simulation.log))
	switch record := entry.Record.(type) {
	case messenger.Submission:
		simulation.accepted[record.Spec.Job] = simulation.now
	case messenger.Outcome:
		if _, ok := simulation.outcomes[record.Job]; !ok {
			if record.Code == classifier.OK && !simulation.isComplete(record.Job) {
				simulation.t.Fatalf("the outcome of job %s is OK, but not every member has completed", record.Job)
			}
			simulation.checkEnded(record.Job)
			simulation.outcomes[record.Job], simulation.ended[record.Job] = record, simulation.now
		}
	}
	for _, node := range simulation.nodes {
		simulation.after(simulation.delay(50*time.Millisecond), func() { node.applyLog(offset) })
	}
}

// checkEnded fails if a task of a job runs when its outcome is appended.
func (simulation *simulation) checkEnded(job identifier.Job) {
	for gang, observed := range simulation.gangs {
		if gang.Job == job && len(observed.running) > 0 {
			simulation.t.Fatalf("gang %v runs when the outcome of its job is appended", gang)
		}
	}
}

func (simulation *simulation) submit(spec commander.JobSpec, actual behaviour) {
	spec.Region = "r"
	simulation.behaviours[spec.Job] = actual
	simulation.append(messenger.Entry{Record: messenger.Submission{Spec: spec}})
}

// isComplete reports whether every member of a gang of the job completed.
func (simulation *simulation) isComplete(job identifier.Job) bool {
	for gang, observed := range simulation.gangs {
		if gang.Job == job && len(observed.done) == observed.size {
			return true
		}
	}
	return false
}

func (simulation *simulation) cancel(job identifier.Job) {
	simulation.append(messenger.Entry{Record: messenger.Cancellation{Job: job}})
}

// applyLog delivers the records up to an offset to the node, in order.
func (node *node) applyLog(offset identifier.Offset) {
	if readableAt := later(node.pausedUntil, node.logReadableAt); node.simulation.now.Before(readableAt) {
		node.simulation.after(readableAt.Sub(node.simulation.now), func() { node.applyLog(offset) })
		return
	}
	for node.applied < int(offset) {
		node.applied++
		position := identifier.Offset(node.applied)
		switch record := node.simulation.log[node.applied-1].Record.(type) {
		case messenger.Submission:
			node.step(messenger.JobAccepted{Spec: record.Spec, Offset: position, At: node.simulation.now})
		case messenger.Cancellation:
			node.step(messenger.JobCancelled{Job: record.Job})
		case messenger.RegionClaim:
			node.claim, node.term = record, identifier.Term(position)
			node.step(messenger.ClaimApplied{Claim: record, Term: identifier.Term(position)})
		case messenger.Outcome:
			node.step(messenger.JobEnded{Outcome: node.simulation.outcomes[record.Job]})
		}
	}
	if !node.caughtUp && node.applied == len(node.simulation.log) {
		node.caughtUp = true
		node.step(messenger.JobsCaughtUp{})
	}
}

func (node *node) step(event messenger.Event) {
	simulation := node.simulation
	if simulation.now.Before(node.pausedUntil) {
		node.inbox = append(node.inbox, event)
		return
	}
	startedAt := time.Now()
	actions := node.scheduler.Step(simulation.now, event)
	simulation.decisionTime += time.Since(startedAt)
	if slices.ContainsFunc(actions, func(action messenger.Action) bool {
		request, ok := action.(messenger.CallWorker)
		return ok && request.Kind == messenger.ReserveTask
	}) && len(simulation.workers) < 20 {
		simulation.checkGuarantees()
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
		simulation.after(max(0, next.Sub(simulation.now)), func() {
			if node.nextTick.Equal(next) {
				node.nextTick = time.Time{}
				node.step(messenger.Tick{})
			}
		})
	}
}

// appendRecord appends a record after a delay, or fails with an unknown outcome.
func (node *node) appendRecord(action messenger.AppendRecord) {
	simulation := node.simulation
	simulation.after(simulation.delay(20*time.Millisecond), func() {
		if !simulation.logUnavailable {
			simulation.append(action.Entry)
			return
		}
		if simulation.random.IntN(2) == 0 {
			simulation.log = append(simulation.log, messenger.Entry{}) // another client's record
		}
		simulation.after(time.Second, func() {
			node.step(messenger.AppendFailed{Stream: action.Stream, ID: action.Entry.ID, Code: classifier.LogUnavailable, Execution: classifier.Unknown})
		})
	})
}

// callWorker delivers a call to a worker and the answer to the node.
func (node *node) callWorker(request messenger.CallWorker) {
	simulation := node.simulation
	process := node.scheduler
	simulation.calls[request.Kind]++
	if simulation.onCall != nil {
		simulation.onCall(request)
	}
	if node.claim.Node != node.identity.Node || request.Term != node.term {
		simulation.t.Fatalf("node %s calls a worker with term %d after the claim %+v with term %d", node.identity.Node, request.Term, node.claim, node.term)
	}
	worker := simulation.workers[request.Worker]
	timeout := func(code classifier.Code) {
		simulation.after(2*time.Second, func() { node.deliverAnswer(process, request.Refusal(classifier.New(code, "no answer"))) })
	}
	if simulation.random.Float64() < simulation.requestLossRate {
		timeout(classifier.NodeUnreachable)
		return
	}
	simulation.after(simulation.delay(simulation.maxTransit), func() {
		if worker == nil || !worker.up {
			timeout(classifier.NodeUnreachable)
			return
		}
		answer := worker.handle(request)
		if simulation.random.Float64() < simulation.answerLossRate {
			timeout(classifier.OutcomeUnknown)
			return
		}
		simulation.after(simulation.delay(simulation.maxTransit), func() { node.deliverAnswer(process, answer) })
	})
}

// deliverAnswer delivers an answer if the process that sent the call still runs.
func (node *node) deliverAnswer(process *scheduler.Scheduler, answer messenger.WorkerAnswered) {
	if node.scheduler == process {
		node.step(answer)
	}
}
