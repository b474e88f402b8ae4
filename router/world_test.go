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

// world runs many routers in one thread and in virtual time, with stand-ins
// for minions, the log's intents and the network.
type world struct {
	now     time.Time
	random  *rand.Rand
	faults  faults
	pending eventQueue
	count   int
	steps   int
	// killAt kills the node that takes the step with this number.
	killAt  int
	nodes   []*simNode
	minions []*simMinion
	intents map[identifier.Key]messenger.Intent
	// logDown makes appends fail.
	logDown  bool
	requests map[identifier.Request]*issued
	order    []*issued
	runs     map[string]int
	busy     int
	counts   map[string]int
	bytes    int
	failures []string
	answered func(*issued)
	prepare  func(*Router)
}

// faults are probabilities in percent.
type faults struct {
	lost, duplicated, unsent, stale, forget, appendFails int
	// broken is the method whose answers break off.
	broken identifier.Method
}

type timedEvent struct {
	at    time.Time
	order int
	do    func()
}

type eventQueue []timedEvent

func (h eventQueue) Len() int { return len(h) }
func (h eventQueue) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].order < h[j].order)
}
func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventQueue) Push(x any)   { *h = append(*h, x.(timedEvent)) }
func (h *eventQueue) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type simNode struct {
	identity messenger.Identity
	router   *Router
	up       bool
	paused   bool
	held     []messenger.Event
	wake     time.Time
	open     map[identifier.Minion]int
	leaving  map[identifier.Minion]bool
	hidden   map[identifier.Node]bool
	state    messenger.MemberState
	// ready says that the node knows its members, as the load balancer asks.
	ready bool
}

type simMinion struct {
	vm             messenger.VM
	slots, running int
	dead, silent   bool
	leaving        bool
}

// issued is one request of a caller with what became of it.
type issued struct {
	op       string
	request  identifier.Request
	call     commander.Call
	node     *simNode
	life     identifier.Incarnation
	at, end  time.Time
	answers  int
	err      *classifier.Error
	runTime  time.Duration
	leftSelf bool
	// ran counts the runs of this request, world.runs those of its operation.
	ran int
}

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newWorld(seed uint64, faults faults, nodes, minions int, regions []identifier.Region, prepare func(*Router)) *world {
	w := &world{
		now: epoch, random: rand.New(rand.NewPCG(seed, 7)), faults: faults, killAt: -1, prepare: prepare,
		intents: map[identifier.Key]messenger.Intent{}, requests: map[identifier.Request]*issued{},
		runs: map[string]int{}, counts: map[string]int{},
	}
	for index := range minions {
		region := regions[index%len(regions)]
		w.minions = append(w.minions, &simMinion{slots: 8, vm: messenger.VM{
			Name: fmt.Sprintf("m%02d", index), Role: messenger.MinionVM, Region: region, Service: "rota",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+index)),
		}})
	}
	for index := range nodes {
		node := &simNode{hidden: map[identifier.Node]bool{}, identity: messenger.Identity{
			Node: identifier.Node(fmt.Sprintf("n%02d", index)), Region: regions[index%len(regions)],
			FailureDomain: identifier.FailureDomain(fmt.Sprintf("%s-%d", regions[index%len(regions)], index/len(regions)%2)),
		}}
		w.nodes = append(w.nodes, node)
		w.start(node)
	}
	for _, node := range w.nodes {
		w.showMembers(node)
		w.showVMs(node)
	}
	return w
}

func (w *world) start(node *simNode) {
	node.identity.Incarnation = identifier.NewIncarnation(w.now)
	node.router = New(node.identity, Parameters{}, rand.New(rand.NewPCG(w.random.Uint64(), 1)))
	if w.prepare != nil {
		w.prepare(node.router)
	}
	node.up, node.paused, node.held, node.wake = true, false, nil, time.Time{}
	node.open, node.leaving = map[identifier.Minion]int{}, map[identifier.Minion]bool{}
	node.state, node.ready = messenger.Alive, false
	w.step(node, messenger.ConfigurationChanged{Configuration: &messenger.Configuration{
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

func (w *world) fail(format string, arguments ...any) {
	w.failures = append(w.failures, w.now.Sub(epoch).String()+" "+fmt.Sprintf(format, arguments...))
}

func (w *world) after(wait time.Duration, do func()) {
	w.count++
	heap.Push(&w.pending, timedEvent{w.now.Add(wait), w.count, do})
}

func (w *world) chance(percent int) bool { return w.random.IntN(100) < percent }

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// run lets time pass until nothing but the routers' own timers is left, or
// until the given time.
func (w *world) run(until time.Time) {
	for w.pending.Len() > 0 && !w.pending[0].at.After(until) {
		next := heap.Pop(&w.pending).(timedEvent)
		w.now = next.at
		next.do()
	}
	w.now = until
}

func (w *world) step(node *simNode, event messenger.Event) {
	if !node.up {
		return
	}
	if node.paused {
		node.held = append(node.held, event)
		return
	}
	switch event := event.(type) {
	case messenger.MinionAnswered:
		node.leaving[event.Minion] = node.leaving[event.Minion] || event.Leaving
	case messenger.SlotsAnswered:
		if event.Err == nil {
			node.leaving[event.Minion] = event.Leaving
		}
	case messenger.VMsListed:
		for _, vm := range event.VMs {
			node.leaving[identifier.Minion(vm.Name)] = node.leaving[identifier.Minion(vm.Name)] || vm.Leaving
		}
	}
	for _, action := range node.router.Step(w.now, event) {
		w.carry(node, action)
	}
	w.steps++
	if w.steps == w.killAt {
		w.kill(node)
		return
	}
	next := node.router.Next()
	if next.IsZero() || (!node.wake.IsZero() && !next.Before(node.wake)) {
		return
	}
	node.wake = next
	life := node.identity.Incarnation
	w.after(max(0, next.Sub(w.now)), func() {
		if node.identity.Incarnation == life && node.wake.Equal(next) {
			node.wake = time.Time{}
			w.step(node, messenger.Tick{})
		}
	})
}

func (w *world) carry(node *simNode, action messenger.Action) {
	switch action := action.(type) {
	case messenger.CallAnswered:
		w.answer(node, action)
	case messenger.SendPeer:
		w.transmit(node, action)
	case messenger.CallMinion:
		w.callMinion(node, action)
	case messenger.QuerySlots:
		w.askSlots(node, action)
	case messenger.AppendRecord:
		w.append(node, action)
	case messenger.LoadChanged:
		for _, other := range w.nodes {
			if other != node && !w.chance(w.faults.lost) {
				w.after(w.delay(node, other), func() {
					w.step(other, messenger.HeartbeatReceived{Node: node.identity.Node, Digest: messenger.Digest{Queued: action.Queued, FreeSlots: action.FreeSlots}})
				})
			}
		}
	case messenger.Count:
		w.counts[action.Reason]++
	}
}

func (w *world) node(name identifier.Node) *simNode {
	return w.nodes[slices.IndexFunc(w.nodes, func(node *simNode) bool { return node.identity.Node == name })]
}

func (w *world) minion(name identifier.Minion) *simMinion {
	return w.minions[slices.IndexFunc(w.minions, func(m *simMinion) bool { return m.vm.Name == string(name) })]
}

func (w *world) delay(from, to *simNode) time.Duration {
	if from.identity.Region != to.identity.Region {
		return w.between(30*time.Millisecond, 40*time.Millisecond)
	}
	return w.between(300*time.Microsecond, 3*time.Millisecond)
}

func (w *world) kill(node *simNode) {
	node.up = false
	node.identity.Incarnation++
	for _, other := range w.nodes {
		w.after(w.between(100*time.Millisecond, 4*time.Second), func() { w.showMembers(other) })
	}
}

func (w *world) restart(node *simNode) {
	w.start(node)
	w.showVMs(node)
	for _, other := range w.nodes {
		w.after(w.between(0, 2*time.Second), func() { w.showMembers(other) })
	}
}

func (w *world) showMembers(to *simNode) {
	var members []messenger.Member
	for _, node := range w.nodes {
		if node.up && !to.hidden[node.identity.Node] {
			members = append(members, messenger.Member{Identity: node.identity, State: node.state})
		}
	}
	w.step(to, messenger.MembersChanged{Members: members})
	to.ready = true
}

func (w *world) showVMs(to *simNode) {
	var vms []messenger.VM
	for _, minion := range w.minions {
		vms = append(vms, minion.vm)
	}
	w.step(to, messenger.VMsListed{At: w.now, VMs: vms})
}

// issue sends a request of a caller to a node.
func (w *world) issue(node *simNode, op string, call commander.Call, runTime time.Duration) *issued {
	added := &issued{
		op: op, request: identifier.Request(fmt.Sprintf("q%06d", len(w.requests))),
		call: call, node: node, life: node.identity.Incarnation, at: w.now, runTime: runTime,
	}
	added.call.Body = []byte(op)
	w.requests[added.request] = added
	w.order = append(w.order, added)
	w.step(node, messenger.CallArrived{Request: added.request, Call: added.call})
	return added
}

func (w *world) answer(node *simNode, answer messenger.CallAnswered) {
	asked := w.requests[answer.Request]
	asked.answers++
	asked.err, asked.end = answer.Err, w.now
	if asked.answers > 1 || asked.leftSelf || asked.node != node || asked.life != node.identity.Incarnation {
		w.fail("%s answered %s, answer %d", node.identity.Node, answer.Request, asked.answers)
	}
	if answer.Err == nil && string(answer.Body) != asked.op {
		w.fail("%s got the answer %q instead of %q", answer.Request, answer.Body, asked.op)
	}
	if w.answered != nil {
		w.answered(asked)
	}
}

// check looks for broken promises once everything has ended.
func (w *world) check() {
	for _, asked := range w.order {
		alive := asked.node.up && asked.life == asked.node.identity.Incarnation
		if alive && !asked.leftSelf && asked.answers != 1 {
			w.fail("%s got %d answers", asked.request, asked.answers)
		}
		if asked.answers == 1 && asked.err != nil && asked.err.Code.Execution() == classifier.NotRun {
			// Before its intent is read back, a refusal speaks of this request
			// only: an earlier one with the same key may have run elsewhere.
			unclaimed := slices.Contains([]classifier.Code{classifier.Leaving, classifier.NotReady, classifier.LogUnavailable, classifier.DeadlineUnmet}, asked.err.Code)
			if asked.ran > 0 || (!unclaimed && w.runs[asked.op] > 0) {
				w.fail("%s was refused as not run but ran: %v", asked.request, asked.err)
			}
		}
		if asked.answers == 1 && asked.err == nil && w.runs[asked.op] == 0 {
			w.fail("%s was answered but never ran", asked.request)
		}
		if asked.call.Method != "look" && w.runs[asked.op] > 1 {
			w.fail("%s ran %d times", asked.op, w.runs[asked.op])
		}
	}
	for _, node := range w.nodes {
		if !node.up || node.paused {
			continue
		}
		if node.router.callBytes != 0 || node.router.workBytes != 0 {
			w.fail("%s still counts %d and %d bytes", node.identity.Node, node.router.callBytes, node.router.workBytes)
		}
		for _, gauge := range node.router.View(w.now, querier.Query{Kind: querier.Status}).Gauges {
			if gauge.Name == "open-calls" && gauge.Value != 0 {
				w.fail("%s still holds %v open calls", node.identity.Node, gauge.Value)
			}
		}
	}
}
