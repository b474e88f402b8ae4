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

// deployment drives many nodes in one thread and in virtual time, with fakes of
// the log, the network and the minions. All random choices are derived from one
// seed.
type deployment struct {
	random      *rand.Rand
	now         time.Time
	timers      timerHeap
	timerCount  uint64
	nodes       []*process
	log         *fakeLog
	minions     []*fakeMinion
	partitioned bool    // the link between regions is cut
	lossRate    float64 // fraction of the peer messages that are lost

	answers        map[identifier.Request][]messenger.CallAnswered
	commandAnswers map[identifier.Request][]messenger.CommandAnswered
	// abandoned holds the requests whose entry node died before it answered.
	abandoned    map[identifier.Request]bool
	openRequests map[identifier.Request]*process
}

// process is a node with its successive incarnations.
type process struct {
	*deployment
	identity    messenger.Identity
	node        *decider.Node
	incarnation int
	isUp        bool
	pausedUntil time.Time // end of the current pause
	tickAt      time.Time // time of the most recently scheduled tick
	nextRead    map[identifier.Stream]int
	lastContact map[identifier.Stream]time.Time // last time at which each stream's reader reached the log
}

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const minionsPerRegion = 4

func newDeployment(seed uint64, nodes int) *deployment {
	deployment := &deployment{
		random:         rand.New(rand.NewPCG(seed, 1)),
		now:            epoch,
		answers:        make(map[identifier.Request][]messenger.CallAnswered),
		commandAnswers: make(map[identifier.Request][]messenger.CommandAnswered),
		abandoned:      make(map[identifier.Request]bool),
		openRequests:   make(map[identifier.Request]*process),
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
	process.incarnation++
	process.isUp = true
	process.pausedUntil, process.tickAt = time.Time{}, time.Time{}
	process.nextRead = make(map[identifier.Stream]int)
	process.lastContact = make(map[identifier.Stream]time.Time)
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
		process.lastContact[stream] = process.now
		process.read(stream)
		process.repeat(250*time.Millisecond, func() { process.read(stream) })
	}
}

func (process *process) kill() {
	process.isUp = false
	for request, entry := range process.openRequests {
		if entry == process {
			process.abandoned[request] = true
			delete(process.openRequests, request)
		}
	}
}

// deliver delivers an event to the node, performs the resulting actions and schedules
// the next tick.
func (process *process) deliver(event messenger.Event) {
	if !process.isUp {
		return
	}
	if process.now.Before(process.pausedUntil) {
		process.afterInIncarnation(process.pausedUntil.Sub(process.now), func() { process.deliver(event) })
		return
	}
	for _, action := range process.node.Step(process.now, event) {
		process.perform(action)
	}
	next := process.node.Next()
	if next.IsZero() || (process.tickAt.After(process.now) && !next.Before(process.tickAt)) {
		return
	}
	process.tickAt = next
	if !process.tickAt.After(process.now) {
		process.tickAt = process.now.Add(time.Millisecond)
	}
	process.afterInIncarnation(process.tickAt.Sub(process.now), func() { process.deliver(messenger.Tick{}) })
}

// afterInIncarnation schedules a callback that is skipped if the current
// incarnation has ended.
func (process *process) afterInIncarnation(delay time.Duration, callback func()) {
	incarnation := process.incarnation
	process.after(delay, func() {
		if process.isUp && process.incarnation == incarnation {
			callback()
		}
	})
}

func (process *process) repeat(period time.Duration, callback func()) {
	process.afterInIncarnation(period, func() {
		callback()
		process.repeat(period, callback)
	})
}

func (process *process) perform(action messenger.Action) {
	switch action := action.(type) {
	case messenger.SendPeer:
		process.send(action)
	case messenger.AppendRecord:
		process.log.append(process, action, classifier.NotRun)
	case messenger.CallMinion:
		process.minion(action.Minion).call(process, action)
	case messenger.QuerySlots:
		process.minion(action.Minion).querySlots(process, action)
	case messenger.CallAnswered:
		process.answers[action.Request] = append(process.answers[action.Request], action)
		delete(process.openRequests, action.Request)
	case messenger.CommandAnswered:
		process.commandAnswers[action.Request] = append(process.commandAnswers[action.Request], action)
	}
}

func (process *process) send(send messenger.SendPeer) {
	target := process.find(send.To)
	if target == nil || !target.isUp {
		process.afterInIncarnation(time.Millisecond, func() {
			process.deliver(messenger.PeerSendFailed{To: send.To, Message: send.Message})
		})
		return
	}
	if process.isPartitioned(process.identity.Region, target.identity.Region) || process.random.Float64() < process.lossRate {
		return
	}
	delay := time.Millisecond
	if target.identity.Region != process.identity.Region {
		delay = 30 * time.Millisecond
	}
	// Messages on two connections can overtake each other.
	delay += time.Duration(process.random.Int64N(int64(2 * time.Millisecond)))
	incarnation, from := target.incarnation, process.identity.Node
	process.after(delay, func() {
		if target.incarnation == incarnation {
			target.deliver(messenger.PeerReceived{From: from, Message: send.Message})
		}
	})
}

func (deployment *deployment) isPartitioned(one, other identifier.Region) bool {
	return deployment.partitioned && one != other
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
		if !minion.isUnlisted {
			vms = append(vms, messenger.VM{
				Name: string(minion.name), Role: messenger.MinionVM, Address: minion.address, Region: minion.region,
				FailureDomain: identifier.FailureDomain(minion.region + "-0"), Service: "rota", Leaving: minion.isLeaving,
			})
		}
	}
	return vms
}

// version returns the version of the organisation's text that is in force on a node.
func (process *process) version(organisation identifier.Organisation) identifier.Offset {
	for _, row := range process.node.View(process.now, querier.Query{Kind: querier.Status}).Configuration {
		if row.Organisation == organisation {
			return row.Version
		}
	}
	return 0
}

// timer is a callback at a virtual time. Timers of the same time run in the order
// in which they were added.
type timer struct {
	at       time.Time
	number   uint64
	callback func()
}

type timerHeap []timer

func (timers timerHeap) Len() int { return len(timers) }
func (timers timerHeap) Less(i, j int) bool {
	return timers[i].at.Before(timers[j].at) || timers[i].at.Equal(timers[j].at) && timers[i].number < timers[j].number
}
func (timers timerHeap) Swap(i, j int) { timers[i], timers[j] = timers[j], timers[i] }
func (timers *timerHeap) Push(x any)   { *timers = append(*timers, x.(timer)) }
func (timers *timerHeap) Pop() any {
	last := len(*timers) - 1
	popped := (*timers)[last]
	*timers = (*timers)[:last]
	return popped
}

func (deployment *deployment) after(delay time.Duration, callback func()) {
	deployment.timerCount++
	heap.Push(&deployment.timers, timer{deployment.now.Add(max(delay, 0)), deployment.timerCount, callback})
}

// runFor advances virtual time and runs the timers that are due.
func (deployment *deployment) runFor(duration time.Duration) {
	end := deployment.now.Add(duration)
	for len(deployment.timers) > 0 && !deployment.timers[0].at.After(end) {
		next := heap.Pop(&deployment.timers).(timer)
		deployment.now = next.at
		next.callback()
	}
	deployment.now = end
}
