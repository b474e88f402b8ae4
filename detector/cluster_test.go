package detector_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"corianderroad/detector"
	"corianderroad/encoder"
	"corianderroad/framer"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// cluster drives many detectors in one thread and in virtual time.
type cluster struct {
	now     time.Time
	random  *rand.Rand
	pending schedule
	count   uint64
	nodes   []*process
	// byAddress finds the process that listens at an address.
	byAddress map[netip.AddrPort]*process
	seeds     []messenger.Identity
	// loss is the probability that a message is lost.
	loss float64
	// parted says whether messages between two nodes are lost.
	parted func(from, to *process) bool
	// observe is called for each change of state.
	observe func(at *process, transition messenger.Transition)
}

// process is one node of a cluster.
type process struct {
	identity messenger.Identity
	machine  *detector.Detector
	alive    bool
	// vanished says that connections to the dead process are not refused.
	vanished  bool
	pausedTo  time.Time
	members   []messenger.Member
	messages  int
	bytes     int
	answers   []messenger.CommandAnswered
	lifetimes int
	// ticking says that a tick is scheduled.
	ticking time.Time
}

type delivery struct {
	at    time.Time
	order uint64
	to    *process
	// life is the process for which the event is meant.
	life  int
	event messenger.Event
}

type schedule []delivery

func (schedule schedule) Len() int { return len(schedule) }
func (schedule schedule) Less(first, second int) bool {
	if !schedule[first].at.Equal(schedule[second].at) {
		return schedule[first].at.Before(schedule[second].at)
	}
	return schedule[first].order < schedule[second].order
}

func (schedule schedule) Swap(first, second int) {
	schedule[first], schedule[second] = schedule[second], schedule[first]
}
func (schedule *schedule) Push(entry any) { *schedule = append(*schedule, entry.(delivery)) }
func (schedule *schedule) Pop() any {
	last := (*schedule)[len(*schedule)-1]
	*schedule = (*schedule)[:len(*schedule)-1]
	return last
}

// newCluster starts size nodes in the given number of regions. The first node
// of each region is a seed.
func newCluster(size, regions int, seed uint64) *cluster {
	cluster := &cluster{
		now: epoch, random: rand.New(rand.NewPCG(seed, 1)), byAddress: make(map[netip.AddrPort]*process),
	}
	var seeds []messenger.Identity
	for index := range size {
		identity := messenger.Identity{
			Node:          identifier.Node(fmt.Sprintf("entry-%03d", index)),
			Address:       addressOf(index),
			Region:        identifier.Region(fmt.Sprintf("region-%d", index%regions)),
			FailureDomain: identifier.FailureDomain(fmt.Sprintf("domain-%02d", index%10)),
		}
		cluster.nodes = append(cluster.nodes, &process{identity: identity})
		if index < regions {
			seeds = append(seeds, identity)
		}
	}
	cluster.seeds = seeds
	for _, node := range cluster.nodes {
		cluster.start(node)
	}
	return cluster
}

func addressOf(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 7000)
}

// start starts a node with a higher incarnation than before.
func (cluster *cluster) start(node *process) { cluster.startAt(node, cluster.now) }

// startAt starts a node whose clock shows clock.
func (cluster *cluster) startAt(node *process, clock time.Time) {
	cluster.byAddress[node.identity.Address] = node
	node.alive, node.vanished, node.lifetimes = true, false, node.lifetimes+1
	node.pausedTo, node.ticking = time.Time{}, time.Time{}
	node.members = nil
	node.identity.Incarnation = identifier.NewIncarnation(clock)
	source := rand.New(rand.NewPCG(cluster.random.Uint64(), 2))
	node.machine = detector.New(node.identity, detector.Parameters{Seeds: cluster.seeds}, source)
	cluster.plan(cluster.now.Add(time.Duration(cluster.random.Int64N(int64(time.Second)))), node, messenger.Tick{})
}

func (cluster *cluster) kill(node *process, vanished bool) {
	node.alive, node.vanished = false, vanished
}

func (cluster *cluster) pick() *process {
	return cluster.nodes[cluster.random.IntN(len(cluster.nodes))]
}

func (cluster *cluster) plan(at time.Time, to *process, event messenger.Event) {
	cluster.count++
	heap.Push(&cluster.pending, delivery{at, cluster.count, to, to.lifetimes, event})
}

// run advances the time.
func (cluster *cluster) run(duration time.Duration) {
	end := cluster.now.Add(duration)
	for len(cluster.pending) > 0 && !cluster.pending[0].at.After(end) {
		next := heap.Pop(&cluster.pending).(delivery)
		cluster.now = next.at
		cluster.deliver(next)
	}
	cluster.now = end
}

func (cluster *cluster) deliver(next delivery) {
	node := next.to
	if !node.alive || next.life != node.lifetimes {
		return
	}
	if cluster.now.Before(node.pausedTo) {
		cluster.plan(node.pausedTo, node, next.event)
		return
	}
	if !node.ticking.After(cluster.now) {
		node.ticking = time.Time{}
	}
	cluster.step(node, next.event)
}

func (cluster *cluster) step(node *process, event messenger.Event) {
	for _, action := range node.machine.Step(cluster.now, event) {
		switch action := action.(type) {
		case messenger.SendPeer:
			cluster.send(node, action)
		case messenger.MembersChanged:
			node.members = action.Members
		case messenger.CommandAnswered:
			node.answers = append(node.answers, action)
		case messenger.Transition:
			if cluster.observe != nil {
				cluster.observe(node, action)
			}
		}
	}
	if at := node.machine.Next(); node.ticking.IsZero() || at.Before(node.ticking) {
		node.ticking = at
		if at.Before(cluster.now) {
			at, node.ticking = cluster.now, cluster.now
		}
		cluster.plan(at, node, messenger.Tick{})
	}
}

func (cluster *cluster) send(from *process, message messenger.SendPeer) {
	body, err := encoder.MarshalPeer(message.Message)
	if err != nil {
		panic(err)
	}
	from.messages++
	from.bytes += framer.Overhead + len(body)
	to := cluster.byAddress[message.Address]
	if to == nil || !to.alive && to.vanished {
		return
	}
	if cluster.parted != nil && cluster.parted(from, to) || cluster.random.Float64() < cluster.loss {
		return
	}
	if !to.alive || to.identity.Node != message.To {
		// The dial is refused.
		cluster.plan(cluster.now.Add(cluster.delay(from, to)*2), from, messenger.PeerSendFailed{To: message.To, Message: message.Message})
		return
	}
	cluster.plan(cluster.now.Add(cluster.delay(from, to)), to, messenger.PeerReceived{From: from.identity.Node, Message: message.Message})
}

// delay is the one-way delay of the design's sizes.
func (cluster *cluster) delay(from, to *process) time.Duration {
	if from.identity.Region == to.identity.Region {
		return 500 * time.Microsecond
	}
	return 30 * time.Millisecond
}

// settled reports whether every living node sees exactly the living nodes, all
// of them alive.
func (cluster *cluster) settled() bool {
	living := make(map[identifier.Node]bool)
	for _, node := range cluster.nodes {
		if node.alive {
			living[node.identity.Node] = true
		}
	}
	for _, node := range cluster.nodes {
		if node.alive && len(node.members) != len(living) {
			return false
		}
		for _, member := range node.members {
			if node.alive && (member.State != messenger.Alive || !living[member.Node]) {
				return false
			}
		}
	}
	return true
}

// sees returns a node as this node sees it, the zero Member if it does not.
func (node *process) sees(other *process) messenger.Member {
	for _, member := range node.members {
		if member.Node == other.identity.Node {
			return member
		}
	}
	return messenger.Member{}
}

// settle runs until the cluster is settled and returns the time it took, or
// false if that is more than limit.
func (cluster *cluster) settle(limit time.Duration) (time.Duration, bool) {
	start := cluster.now
	for !cluster.settled() {
		if cluster.now.Sub(start) > limit {
			return limit, false
		}
		cluster.run(100 * time.Millisecond)
	}
	return cluster.now.Sub(start), true
}

// BenchmarkNodeSecond measures the time of one node for one second of
// membership among 300, encoding of its messages included.
func BenchmarkNodeSecond(b *testing.B) {
	cluster := newCluster(300, 3, 1)
	cluster.settle(time.Minute)
	cluster.run(20 * time.Second)
	seconds := 0
	for b.Loop() {
		cluster.run(time.Second)
		seconds += len(cluster.nodes)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(seconds), "ns/node-second")
}
