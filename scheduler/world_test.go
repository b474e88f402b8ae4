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

// failer receives the violations that the world detects.
type failer interface {
	Fatalf(format string, arguments ...any)
}

// world drives schedulers, workers and a log in one thread and virtual time.
type world struct {
	t      failer
	now    time.Time
	queue  eventQueue
	serial int
	// idle counts the events since virtual time last advanced.
	idle    int
	random  *rand.Rand
	nodes   []*node
	workers map[identifier.Worker]*vm
	vms     []messenger.VM
	log     []messenger.Entry
	// logDown makes appends fail.
	logDown bool
	// configuration is the newest one.
	configuration *messenger.Configuration
	// deciding is the real time that the schedulers took, for benchmarks.
	deciding time.Duration
	lease    time.Duration
	// loseRequest and loseAnswer are the parts of the calls that are lost before
	// and after their effect.
	loseRequest, loseAnswer float64
	// transit bounds the time that a call or an answer is on its way.
	transit  time.Duration
	tasks    map[identifier.Job]behaviour
	gangs    map[messenger.Gang]*observedGang
	ended    map[identifier.Job]time.Time
	outcomes map[identifier.Job]messenger.Outcome
	accepted map[identifier.Job]time.Time
	started  map[identifier.Job]time.Time
	calls    map[messenger.WorkerCallKind]int
	onCall   func(messenger.CallWorker)
}

// behaviour is what a job really does, whatever it declared.
type behaviour struct {
	runTime time.Duration
	fails   bool
}

// observedGang is the state of a running gang as the world observes it.
type observedGang struct {
	size    int
	running map[identifier.Worker]bool
	done    map[identifier.Worker]bool
	partial time.Time
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
	folded    int
	// claim is the newest claim that the node has folded, term its offset.
	claim messenger.RegionClaim
	term  identifier.Term
	until time.Time // end of a pause
	inbox []messenger.Event
	wake  time.Time
}

func newWorld(t failer, seed uint64) *world {
	return &world{
		t: t, now: epoch, transit: 5 * time.Millisecond, lease: 15 * time.Second, random: rand.New(rand.NewPCG(seed, 1)),
		workers: make(map[identifier.Worker]*vm), tasks: make(map[identifier.Job]behaviour),
		gangs: make(map[messenger.Gang]*observedGang), ended: make(map[identifier.Job]time.Time),
		outcomes: make(map[identifier.Job]messenger.Outcome), accepted: make(map[identifier.Job]time.Time),
		started: make(map[identifier.Job]time.Time), calls: make(map[messenger.WorkerCallKind]int),
	}
}

func (world *world) after(delay time.Duration, do func()) {
	world.serial++
	heap.Push(&world.queue, timedEvent{world.now.Add(delay), world.serial, do})
}

// run lets the given time pass.
func (world *world) run(length time.Duration) {
	end := world.now.Add(length)
	for len(world.queue) > 0 && !world.queue[0].at.After(end) {
		next := heap.Pop(&world.queue).(timedEvent)
		if world.idle++; next.at.After(world.now) {
			world.idle = 0
		} else if world.idle > 100000 {
			world.t.Fatalf("a scheduler asks for ticks without end at %s", world.now)
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
func (world *world) members(alive ...*node) {
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
		world.workers[name] = &vm{world: world, name: name, accelerators: accelerators, up: true, boot: world.now}
	}
	world.list()
}

func (world *world) list() {
	event := messenger.VMsListed{At: world.now, VMs: slices.Clone(world.vms)}
	for _, node := range world.nodes {
		world.after(world.delay(time.Second), func() { node.step(event) })
	}
}

// append adds a record to the log and lets every node fold it.
func (world *world) append(entry messenger.Entry) {
	world.log = append(world.log, entry)
	offset := identifier.Offset(len(world.log))
	switch record := entry.Record.(type) {
	case messenger.Submission:
		world.accepted[record.Spec.Job] = world.now
	case messenger.Outcome:
		if _, ok := world.outcomes[record.Job]; !ok {
			if record.Code == classifier.OK && !world.whole(record.Job) {
				world.t.Fatalf("job %s is said to have completed, but not every member has", record.Job)
			}
			world.outcomes[record.Job], world.ended[record.Job] = record, world.now
		}
	}
	for _, node := range world.nodes {
		world.after(world.delay(50*time.Millisecond), func() { node.fold(offset) })
	}
}

func (world *world) submit(spec commander.JobSpec, actual behaviour) {
	spec.Region = "r"
	world.tasks[spec.Job] = actual
	world.append(messenger.Entry{Record: messenger.Submission{Spec: spec}})
}

// whole says whether every member of a gang of the job completed.
func (world *world) whole(job identifier.Job) bool {
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

// fold delivers the log up to an offset in order.
func (node *node) fold(offset identifier.Offset) {
	if node.world.now.Before(node.until) {
		node.world.after(node.until.Sub(node.world.now), func() { node.fold(offset) })
		return
	}
	for node.folded < int(offset) {
		node.folded++
		position := identifier.Offset(node.folded)
		switch record := node.world.log[node.folded-1].Record.(type) {
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

// pause stops the node's process; its events wait.
func (node *node) pause(length time.Duration) {
	node.until = node.world.now.Add(length)
	node.world.after(length, func() {
		waiting := node.inbox
		node.inbox = nil
		for _, event := range waiting {
			node.step(event)
		}
	})
}

func (node *node) step(event messenger.Event) {
	world := node.world
	if world.now.Before(node.until) {
		node.inbox = append(node.inbox, event)
		return
	}
	began := time.Now()
	actions := node.scheduler.Step(world.now, event)
	world.deciding += time.Since(began)
	if slices.ContainsFunc(actions, func(action messenger.Action) bool {
		ask, ok := action.(messenger.CallWorker)
		return ok && ask.Kind == messenger.ReserveTask
	}) && len(world.workers) < 20 {
		world.checkGuarantees()
	}
	for _, action := range actions {
		switch action := action.(type) {
		case messenger.CallWorker:
			node.call(action)
		case messenger.AppendRecord:
			node.record(action)
		}
	}
	if next := node.scheduler.Next(); !next.IsZero() && !next.Equal(node.wake) {
		node.wake = next
		world.after(max(0, next.Sub(world.now)), func() {
			if node.wake.Equal(next) {
				node.wake = time.Time{}
				node.step(messenger.Tick{})
			}
		})
	}
}

// record appends a record after a while, or fails without saying what happened.
func (node *node) record(action messenger.AppendRecord) {
	world := node.world
	world.after(world.delay(20*time.Millisecond), func() {
		if !world.logDown {
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

// call carries a call to a worker and its answer back.
func (node *node) call(ask messenger.CallWorker) {
	world := node.world
	process := node.scheduler
	world.calls[ask.Kind]++
	if world.onCall != nil {
		world.onCall(ask)
	}
	if node.claim.Node != node.identity.Node || ask.Term != node.term {
		world.t.Fatalf("node %s calls a worker with term %d after the claim %+v with term %d", node.identity.Node, ask.Term, node.claim, node.term)
	}
	worker := world.workers[ask.Worker]
	timeout := func(code classifier.Code) {
		world.after(2*time.Second, func() { node.answer(process, ask.Refusal(classifier.New(code, "no answer"))) })
	}
	if world.random.Float64() < world.loseRequest {
		timeout(classifier.NodeUnreachable)
		return
	}
	world.after(world.delay(world.transit), func() {
		if worker == nil || !worker.up {
			timeout(classifier.NodeUnreachable)
			return
		}
		answer := worker.handle(ask)
		if world.random.Float64() < world.loseAnswer {
			timeout(classifier.OutcomeUnknown)
			return
		}
		world.after(world.delay(world.transit), func() { node.answer(process, answer) })
	})
}

// answer delivers an answer to the process that asked.
func (node *node) answer(process *scheduler.Scheduler, answer messenger.WorkerAnswered) {
	if node.scheduler == process {
		node.step(answer)
	}
}

// reboot replaces the node's process by a new one, which folds the log anew.
func (node *node) reboot() {
	world := node.world
	node.identity.Incarnation++
	node.scheduler = scheduler.New(node.identity, scheduler.Parameters{})
	node.folded, node.until, node.inbox, node.wake = 0, time.Time{}, nil, time.Time{}
	node.claim, node.term = messenger.RegionClaim{}, 0
	node.fold(identifier.Offset(len(world.log)))
	node.step(messenger.VMsListed{At: world.now, VMs: slices.Clone(world.vms)})
	if world.configuration != nil {
		node.step(messenger.ConfigurationChanged{Configuration: world.configuration})
	}
	world.members(world.nodes...)
}
