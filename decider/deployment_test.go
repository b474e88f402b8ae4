package decider_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"corianderroad/applier"
	"corianderroad/classifier"
	"corianderroad/decider"
	"corianderroad/detector"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/parser"
	"corianderroad/querier"
)

// deployment drives the decisions of many nodes in one thread and in virtual
// time, with small fakes of the log, the network and the minions. All its
// randomness comes from one seed.
type deployment struct {
	random  *rand.Rand
	now     time.Time
	tasks   tasks
	order   uint64
	nodes   []*process
	log     *fakeLog
	minions []*fakeMinion
	parted  bool    // the link between regions is cut
	loss    float64 // part of the peer messages that are lost

	answers  map[identifier.Request][]messenger.CallAnswered
	commands map[identifier.Request][]messenger.CommandAnswered
	// dropped are requests whose entry node died before it answered.
	dropped map[identifier.Request]bool
	open    map[identifier.Request]*process
}

// process is one life after another of a node.
type process struct {
	*deployment
	identity messenger.Identity
	node     *decider.Node
	life     int
	up       bool
	paused   time.Time // end of the present pause
	tick     time.Time // time of the newest scheduled tick
	cursor   map[identifier.Stream]int
	heard    map[identifier.Stream]time.Time // last contact of each stream's reader
}

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const minionsPerRegion = 4

func newDeployment(seed uint64, nodes int) *deployment {
	deployment := &deployment{
		random:   rand.New(rand.NewPCG(seed, 1)),
		now:      epoch,
		answers:  make(map[identifier.Request][]messenger.CallAnswered),
		commands: make(map[identifier.Request][]messenger.CommandAnswered),
		dropped:  make(map[identifier.Request]bool),
		open:     make(map[identifier.Request]*process),
	}
	deployment.log = &fakeLog{deployment: deployment, streams: make(map[identifier.Stream][]messenger.AppendRead)}
	for index := range nodes {
		deployment.nodes = append(deployment.nodes, &process{deployment: deployment, identity: messenger.Identity{
			Node:          identifier.Node(fmt.Sprintf("node-%d", index)),
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index + 1)}), 7000),
			Region:        regionOf(index),
			FailureDomain: identifier.FailureDomain(fmt.Sprintf("%s-%d", regionOf(index), index%2)),
		}})
	}
	for index := range 2 * minionsPerRegion {
		deployment.minions = append(deployment.minions, &fakeMinion{
			deployment: deployment, name: identifier.Minion(fmt.Sprintf("minion-%d", index)), region: regionOf(index),
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(index + 1)}), 80),
		})
	}
	for _, process := range deployment.nodes {
		process.start()
	}
	return deployment
}

func regionOf(index int) identifier.Region {
	return []identifier.Region{"gulf", "hill"}[index%2]
}

func (process *process) start() {
	process.life++
	process.up = true
	process.paused, process.tick = time.Time{}, time.Time{}
	process.cursor = make(map[identifier.Stream]int)
	process.heard = make(map[identifier.Stream]time.Time)
	process.identity.Incarnation = identifier.NewIncarnation(process.now)
	var seeds []messenger.Identity
	for _, other := range process.nodes {
		if other != process {
			seed := other.identity
			seed.Incarnation = 0
			seeds = append(seeds, seed)
		}
	}
	process.node = decider.New(process.identity, decider.Parameters{
		Applier:  applier.Parameters{Founders: []identifier.Organisation{"mallet"}, Parser: parser.Parser{}},
		Detector: detector.Parameters{Seeds: seeds},
	}, process.random.Uint64())
	process.deliver(messenger.VMsListed{At: process.now, VMs: process.vms()})
	process.repeat(time.Second, func() { process.deliver(messenger.VMsListed{At: process.now, VMs: process.vms()}) })
	for _, stream := range []identifier.Stream{identifier.Configuration, identifier.Jobs, identifier.Intents} {
		process.heard[stream] = process.now
		process.read(stream)
		process.repeat(250*time.Millisecond, func() { process.read(stream) })
	}
}

func (process *process) kill() {
	process.up = false
	for request, entry := range process.open {
		if entry == process {
			process.dropped[request] = true
			delete(process.open, request)
		}
	}
}

// deliver steps the node by an event and carries out its actions.
func (process *process) deliver(event messenger.Event) {
	if !process.up {
		return
	}
	if process.now.Before(process.paused) {
		process.later(process.paused.Sub(process.now), func() { process.deliver(event) })
		return
	}
	for _, action := range process.node.Step(process.now, event) {
		process.carry(action)
	}
	next := process.node.Next()
	if next.IsZero() || (process.tick.After(process.now) && !next.Before(process.tick)) {
		return
	}
	process.tick = next
	if !process.tick.After(process.now) {
		process.tick = process.now.Add(time.Millisecond)
	}
	process.later(process.tick.Sub(process.now), func() { process.deliver(messenger.Tick{}) })
}

// later runs a function in this life of the process.
func (process *process) later(delay time.Duration, do func()) {
	life := process.life
	process.after(delay, func() {
		if process.up && process.life == life {
			do()
		}
	})
}

func (process *process) repeat(period time.Duration, do func()) {
	process.later(period, func() {
		do()
		process.repeat(period, do)
	})
}

func (process *process) carry(action messenger.Action) {
	switch action := action.(type) {
	case messenger.SendPeer:
		process.send(action)
	case messenger.AppendRecord:
		process.log.append(process, action, classifier.NotRun)
	case messenger.CallMinion:
		process.minion(action.Minion).call(process, action)
	case messenger.QuerySlots:
		process.minion(action.Minion).ask(process, action)
	case messenger.CallAnswered:
		process.answers[action.Request] = append(process.answers[action.Request], action)
		delete(process.open, action.Request)
	case messenger.CommandAnswered:
		process.commands[action.Request] = append(process.commands[action.Request], action)
	}
}

func (process *process) send(send messenger.SendPeer) {
	target := process.find(send.To)
	if target == nil || !target.up {
		process.later(time.Millisecond, func() {
			process.deliver(messenger.PeerSendFailed{To: send.To, Message: send.Message})
		})
		return
	}
	if process.isCut(process.identity.Region, target.identity.Region) || process.random.Float64() < process.loss {
		return
	}
	delay := time.Millisecond
	if target.identity.Region != process.identity.Region {
		delay = 30 * time.Millisecond
	}
	// Messages on two connections can overtake each other.
	delay += time.Duration(process.random.Int64N(int64(2 * time.Millisecond)))
	life, from := target.life, process.identity.Node
	process.after(delay, func() {
		if target.life == life {
			target.deliver(messenger.PeerReceived{From: from, Message: send.Message})
		}
	})
}

func (deployment *deployment) isCut(one, other identifier.Region) bool {
	return deployment.parted && one != other
}

func (deployment *deployment) find(name identifier.Node) *process {
	for _, process := range deployment.nodes {
		if process.identity.Node == name {
			return process
		}
	}
	return nil
}

func (deployment *deployment) vms() []messenger.VM {
	var vms []messenger.VM
	for _, minion := range deployment.minions {
		if !minion.unlisted {
			vms = append(vms, messenger.VM{
				Name: string(minion.name), Role: messenger.MinionVM, Address: minion.address, Region: minion.region,
				FailureDomain: identifier.FailureDomain(minion.region + "-0"), Service: "rota", Leaving: minion.leaving,
			})
		}
	}
	return vms
}

// version returns the newest version of the organisation that a node has in force.
func (process *process) version(organisation identifier.Organisation) identifier.Offset {
	for _, row := range process.node.View(process.now, querier.Query{Kind: querier.Status}).Configuration {
		if row.Organisation == organisation {
			return row.Version
		}
	}
	return 0
}

// task is work at a virtual time. Tasks of one time run in the order in which
// they were added.
type task struct {
	at    time.Time
	order uint64
	do    func()
}

type tasks []task

func (tasks tasks) Len() int { return len(tasks) }
func (tasks tasks) Less(i, j int) bool {
	return tasks[i].at.Before(tasks[j].at) || tasks[i].at.Equal(tasks[j].at) && tasks[i].order < tasks[j].order
}
func (tasks tasks) Swap(i, j int) { tasks[i], tasks[j] = tasks[j], tasks[i] }
func (tasks *tasks) Push(x any)   { *tasks = append(*tasks, x.(task)) }
func (tasks *tasks) Pop() any {
	last := len(*tasks) - 1
	popped := (*tasks)[last]
	*tasks = (*tasks)[:last]
	return popped
}

func (deployment *deployment) after(delay time.Duration, do func()) {
	deployment.order++
	heap.Push(&deployment.tasks, task{deployment.now.Add(max(delay, 0)), deployment.order, do})
}

// run lets virtual time pass.
func (deployment *deployment) run(span time.Duration) {
	end := deployment.now.Add(span)
	for len(deployment.tasks) > 0 && !deployment.tasks[0].at.After(end) {
		next := heap.Pop(&deployment.tasks).(task)
		deployment.now = next.at
		next.do()
	}
	deployment.now = end
}
