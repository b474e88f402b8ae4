package router

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
)

// simulation runs many routers in one goroutine and in virtual time, with stand-ins
// for the minions, the intents stream of the log and the network.
type simulation struct {
	now        time.Time
	random     *rand.Rand
	faults     faults
	pending    eventQueue
	eventCount int
	steps      int
	// killAt is the number of the step after which the stepping node is killed.
	killAt  int
	nodes   []*simNode
	minions []*simMinion
	intents map[identifier.Key]messenger.Intent
	// logUnavailable makes appends fail.
	logUnavailable bool
	requests       map[identifier.Request]*simRequest
	issued         []*simRequest
	// runs counts the runs of each operation.
	runs map[string]int
	// busyRefusals counts the requests that a minion refused because all slots were busy.
	busyRefusals int
	counters     map[string]int
	// crossedBytes is the volume sent over the region link.
	crossedBytes int
	failures     []string
	onAnswer     func(*simRequest)
	configure    func(*Router)
}

// faults holds the probabilities of faults in percent.
type faults struct {
	lost, duplicated, unsent, stale, dropResult, appendFails int
	// brokenMethod is the method whose answers are cut off.
	brokenMethod identifier.Method
}

type timedEvent struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []timedEvent

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(i, j int) bool {
	return queue[i].at.Before(queue[j].at) || (queue[i].at.Equal(queue[j].at) && queue[i].order < queue[j].order)
}
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }
func (queue *eventQueue) Push(x any)   { *queue = append(*queue, x.(timedEvent)) }
func (queue *eventQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

type simNode struct {
	identity messenger.Identity
	router   *Router
	up       bool
	paused   bool
	// heldEvents are the events that arrived while the node was paused.
	heldEvents     []messenger.Event
	wakeAt         time.Time
	openAttempts   map[identifier.Minion]int
	leavingMinions map[identifier.Minion]bool
	// hiddenNodes are missing in this node's view of the members.
	hiddenNodes map[identifier.Node]bool
	// hiddenMinions are missing in this node's VM lists.
	hiddenMinions map[string]bool
	state         messenger.MemberState
	// ready is true once the node has received its members. The load balancer
	// sends requests only to ready nodes.
	ready bool
}

type simMinion struct {
	vm                 messenger.VM
	slots, running     int
	dead, unresponsive bool
	leaving            bool
	// unlisted excludes the minion from the VM list.
	unlisted bool
	// served is the number of requests that the minion has run.
	served int
}

// simRequest is one request of a caller and its result.
type simRequest struct {
	operation    string
	id           identifier.Request
	call         commander.Call
	node         *simNode
	incarnation  identifier.Incarnation
	at, end      time.Time
	answers      int
	err          *classifier.Error
	runTime      time.Duration
	disconnected bool
	// runs counts the runs of this request, simulation.runs those of its operation.
	runs int
}

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newSimulation(seed uint64, faults faults, nodes, minions int, regions []identifier.Region, configure func(*Router)) *simulation {
	simulation := &simulation{
		now: epoch, random: rand.New(rand.NewPCG(seed, 7)), faults: faults, killAt: -1, configure: configure,
		intents: map[identifier.Key]messenger.Intent{}, requests: map[identifier.Request]*simRequest{},
		runs: map[string]int{}, counters: map[string]int{},
	}
	for index := range minions {
		region := regions[index%len(regions)]
		simulation.minions = append(simulation.minions, &simMinion{slots: 8, vm: messenger.VM{
			Name: fmt.Sprintf("m%02d", index), Role: messenger.MinionVM, Region: region, Service: "rota",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+index)),
		}})
	}
	for index := range nodes {
		node := &simNode{hiddenNodes: map[identifier.Node]bool{}, identity: messenger.Identity{
			Node: identifier.Node(fmt.Sprintf("n%02d", index)), Region: regions[index%len(regions)],
			FailureDomain: identifier.FailureDomain(fmt.Sprintf("%s-%d", regions[index%len(regions)], index/len(regions)%2)),
		}}
		simulation.nodes = append(simulation.nodes, node)
		simulation.startNode(node)
	}
	for _, node := range simulation.nodes {
		simulation.sendMembers(node)
		simulation.sendVMs(node)
	}
	return simulation
}

func (simulation *simulation) startNode(node *simNode) {
	node.identity.Incarnation = identifier.NewIncarnation(simulation.now)
	node.router = New(node.identity, Parameters{}, rand.New(rand.NewPCG(simulation.random.Uint64(), 1)))
	if simulation.configure != nil {
		simulation.configure(node.router)
	}
	node.up, node.paused, node.heldEvents, node.wakeAt = true, false, nil, time.Time{}
	node.openAttempts, node.leavingMinions = map[identifier.Minion]int{}, map[identifier.Minion]bool{}
	node.state, node.ready = messenger.Alive, false
	simulation.step(node, messenger.ConfigurationChanged{Configuration: &messenger.Configuration{
		Organisations: []messenger.OrganisationText{{
			Services: []messenger.ServiceSpec{{Service: "rota", Slots: 8, LongSlots: 5, ShortBelow: time.Second, Methods: []messenger.MethodSpec{
				{Method: "swap", RunTime: 50 * time.Millisecond, Timeout: 2 * time.Second},
				{Method: "look", RunTime: 50 * time.Millisecond, Timeout: 2 * time.Second, Idempotent: true},
				{Method: "sketch", RunTime: 50 * time.Millisecond, Timeout: time.Minute},
				{Method: "draw", RunTime: 3 * time.Second, Timeout: time.Minute},
			}}},
			Workspaces: []messenger.WorkspaceSpec{{Workspace: "a", Weight: 1}, {Workspace: "b", Weight: 1}, {Workspace: "c", Weight: 2}, {Workspace: "d", Weight: 1}},
		}},
	}})
}

func (simulation *simulation) fail(format string, arguments ...any) {
	simulation.failures = append(simulation.failures, simulation.now.Sub(epoch).String()+" "+fmt.Sprintf(format, arguments...))
}

func (simulation *simulation) after(delay time.Duration, run func()) {
	simulation.eventCount++
	heap.Push(&simulation.pending, timedEvent{simulation.now.Add(delay), simulation.eventCount, run})
}

func (simulation *simulation) chance(percent int) bool { return simulation.random.IntN(100) < percent }

func (simulation *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(simulation.random.Int64N(int64(high-low)+1))
}

// runUntil processes the events that are due until the given time, and advances the
// clock to it.
func (simulation *simulation) runUntil(until time.Time) {
	for simulation.pending.Len() > 0 && !simulation.pending[0].at.After(until) {
		next := heap.Pop(&simulation.pending).(timedEvent)
		simulation.now = next.at
		next.run()
	}
	simulation.now = until
}

func (simulation *simulation) step(node *simNode, event messenger.Event) {
	if !node.up {
		return
	}
	if node.paused {
		node.heldEvents = append(node.heldEvents, event)
		return
	}
	switch event := event.(type) {
	case messenger.MinionAnswered:
		node.leavingMinions[event.Minion] = node.leavingMinions[event.Minion] || event.Leaving
	case messenger.SlotsAnswered:
		if event.Err == nil {
			node.leavingMinions[event.Minion] = event.Leaving
		}
	case messenger.VMsListed:
		for _, vm := range event.VMs {
			node.leavingMinions[identifier.Minion(vm.Name)] = node.leavingMinions[identifier.Minion(vm.Name)] || vm.Leaving
		}
	}
	for _, action := range node.router.Step(simulation.now, event) {
		simulation.perform(node, action)
	}
	simulation.steps++
	if simulation.steps == simulation.killAt {
		simulation.kill(node)
		return
	}
	next := node.router.Next()
	if next.IsZero() || (!node.wakeAt.IsZero() && !next.Before(node.wakeAt)) {
		return
	}
	node.wakeAt = next
	incarnation := node.identity.Incarnation
	simulation.after(max(0, next.Sub(simulation.now)), func() {
		if node.identity.Incarnation == incarnation && node.wakeAt.Equal(next) {
			node.wakeAt = time.Time{}
			simulation.step(node, messenger.Tick{})
		}
	})
}

func (simulation *simulation) perform(node *simNode, action messenger.Action) {
	switch action := action.(type) {
	case messenger.CallAnswered:
		simulation.handleAnswer(node, action)
	case messenger.SendPeer:
		simulation.transmit(node, action)
	case messenger.CallMinion:
		simulation.callMinion(node, action)
	case messenger.QuerySlots:
		simulation.answerSlots(node, action)
	case messenger.AppendRecord:
		simulation.appendIntent(node, action)
	case messenger.LoadChanged:
		for _, other := range simulation.nodes {
			if other != node && !simulation.chance(simulation.faults.lost) {
				simulation.after(simulation.delay(node, other), func() {
					simulation.step(other, messenger.HeartbeatReceived{Node: node.identity.Node, Digest: messenger.Digest{Queued: action.Queued, FreeSlots: action.FreeSlots}})
				})
			}
		}
	case messenger.Count:
		simulation.counters[action.Reason]++
	}
}

func (simulation *simulation) node(name identifier.Node) *simNode {
	return simulation.nodes[slices.IndexFunc(simulation.nodes, func(node *simNode) bool { return node.identity.Node == name })]
}

func (simulation *simulation) minion(name identifier.Minion) *simMinion {
	return simulation.minions[slices.IndexFunc(simulation.minions, func(m *simMinion) bool { return m.vm.Name == string(name) })]
}

func (simulation *simulation) delay(from, to *simNode) time.Duration {
	if from.identity.Region != to.identity.Region {
		return simulation.randomDuration(30*time.Millisecond, 40*time.Millisecond)
	}
	return simulation.randomDuration(300*time.Microsecond, 3*time.Millisecond)
}

func (simulation *simulation) kill(node *simNode) {
	node.up = false
	node.identity.Incarnation++
	for _, other := range simulation.nodes {
		simulation.after(simulation.randomDuration(100*time.Millisecond, 4*time.Second), func() { simulation.sendMembers(other) })
	}
}

func (simulation *simulation) restart(node *simNode) {
	simulation.startNode(node)
	simulation.sendVMs(node)
	for _, other := range simulation.nodes {
		simulation.after(simulation.randomDuration(0, 2*time.Second), func() { simulation.sendMembers(other) })
	}
}

func (simulation *simulation) sendMembers(to *simNode) {
	var members []messenger.Member
	for _, node := range simulation.nodes {
		if node.up && !to.hiddenNodes[node.identity.Node] {
			members = append(members, messenger.Member{Identity: node.identity, State: node.state})
		}
	}
	simulation.step(to, messenger.MembersChanged{Members: members})
	to.ready = true
}

func (simulation *simulation) sendVMs(to *simNode) {
	var vms []messenger.VM
	for _, minion := range simulation.minions {
		if !minion.unlisted && !to.hiddenMinions[minion.vm.Name] {
			vms = append(vms, minion.vm)
		}
	}
	simulation.step(to, messenger.VMsListed{At: simulation.now, VMs: vms})
}

// issue sends a caller's request to a node.
func (simulation *simulation) issue(node *simNode, operation string, call commander.Call, runTime time.Duration) *simRequest {
	request := &simRequest{
		operation: operation, id: identifier.Request(fmt.Sprintf("q%06d", len(simulation.requests))),
		call: call, node: node, incarnation: node.identity.Incarnation, at: simulation.now, runTime: runTime,
	}
	request.call.Body = []byte(operation)
	simulation.requests[request.id] = request
	simulation.issued = append(simulation.issued, request)
	simulation.step(node, messenger.CallArrived{Request: request.id, Call: request.call})
	return request
}

func (simulation *simulation) handleAnswer(node *simNode, answer messenger.CallAnswered) {
	request := simulation.requests[answer.Request]
	request.answers++
	request.err, request.end = answer.Err, simulation.now
	if request.answers > 1 || request.disconnected || request.node != node || request.incarnation != node.identity.Incarnation {
		simulation.fail("%s answered %s, answer %d", node.identity.Node, answer.Request, request.answers)
	}
	if answer.Err == nil && string(answer.Body) != request.operation {
		simulation.fail("%s was answered with %q instead of %q", answer.Request, answer.Body, request.operation)
	}
	if simulation.onAnswer != nil {
		simulation.onAnswer(request)
	}
}

// checkInvariants checks all requests and nodes after the end of all activity.
func (simulation *simulation) checkInvariants() {
	for _, request := range simulation.issued {
		alive := request.node.up && request.incarnation == request.node.identity.Incarnation
		if alive && !request.disconnected && request.answers != 1 {
			simulation.fail("%s has %d answers", request.id, request.answers)
		}
		if request.answers == 1 && request.err != nil && request.err.Code.Execution() == classifier.NotRun {
			// A refusal before the intent is read back applies to this request
			// only: an earlier one with the same key may have run at another node.
			refusedBeforeIntent := slices.Contains([]classifier.Code{classifier.Leaving, classifier.NotReady, classifier.LogUnavailable, classifier.DeadlineUnmet}, request.err.Code)
			if request.runs > 0 || (!refusedBeforeIntent && simulation.runs[request.operation] > 0) {
				simulation.fail("%s was refused as not run but ran: %v", request.id, request.err)
			}
		}
		if request.answers == 1 && request.err == nil && simulation.runs[request.operation] == 0 {
			simulation.fail("%s was answered but never ran", request.id)
		}
		if request.call.Method != "look" && simulation.runs[request.operation] > 1 {
			simulation.fail("%s ran %d times", request.operation, simulation.runs[request.operation])
		}
	}
	for _, node := range simulation.nodes {
		if !node.up || node.paused {
			continue
		}
		if node.router.callBytes != 0 || node.router.attemptBytes != 0 {
			simulation.fail("%s still counts %d bytes of calls and %d bytes of attempts", node.identity.Node, node.router.callBytes, node.router.attemptBytes)
		}
		for _, gauge := range node.router.View(simulation.now, querier.Query{Kind: querier.Status}).Gauges {
			if gauge.Name == "open-calls" && gauge.Value != 0 {
				simulation.fail("%s still has %v open calls", node.identity.Node, gauge.Value)
			}
		}
	}
}
