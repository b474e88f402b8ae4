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

// cluster simulates many detectors in one goroutine and in virtual time.
type cluster struct {
	now        time.Time
	random     *rand.Rand
	pending    schedule
	eventCount uint64
	nodes      []*process
	// byAddress maps an address to the process that listens there.
	byAddress map[netip.AddrPort]*process
	seeds     []messenger.Identity
	// loss is the probability that a message is lost.
	loss float64
	// isPartitioned reports whether messages between two nodes are lost.
	isPartitioned func(from, to *process) bool
	// onTransition is called for each change of state.
	onTransition func(at *process, transition messenger.Transition)
}

// process is one node of a cluster.
type process struct {
	identity     messenger.Identity
	stateMachine *detector.Detector
	alive        bool
	// unresponsive is true if connections to the dead process time out instead
	// of being refused.
	unresponsive bool
	pausedTo     time.Time
	members      []messenger.Member
	messages     int
	bytes        int
	answers      []messenger.CommandAnswered
	startCount   int
	// nextTick is the time of the scheduled tick, zero if there is none.
	nextTick time.Time
}

type delivery struct {
	at    time.Time
	order uint64
	to    *process
	// start is the startCount of the process that the event is meant for.
	start int
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
	node.alive, node.unresponsive, node.startCount = true, false, node.startCount+1
	node.pausedTo, node.nextTick = time.Time{}, time.Time{}
	node.members = nil
	node.identity.Incarnation = identifier.NewIncarnation(clock)
	source := rand.New(rand.NewPCG(cluster.random.Uint64(), 2))
	node.stateMachine = detector.New(node.identity, detector.Parameters{Seeds: cluster.seeds}, source)
	cluster.schedule(cluster.now.Add(time.Duration(cluster.random.Int64N(int64(time.Second)))), node, messenger.Tick{})
}

func (cluster *cluster) kill(node *process, unresponsive bool) {
	node.alive, node.unresponsive = false, unresponsive
}

func (cluster *cluster) pickNode() *process {
	return cluster.nodes[cluster.random.IntN(len(cluster.nodes))]
}

func (cluster *cluster) schedule(at time.Time, to *process, event messenger.Event) {
	cluster.eventCount++
	heap.Push(&cluster.pending, delivery{at, cluster.eventCount, to, to.startCount, event})
}

// run delivers the events of the given duration and advances the time.
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
	if !node.alive || next.start != node.startCount {
		return
	}
	if cluster.now.Before(node.pausedTo) {
		cluster.schedule(node.pausedTo, node, next.event)
		return
	}
	if !node.nextTick.After(cluster.now) {
		node.nextTick = time.Time{}
	}
	cluster.step(node, next.event)
}

func (cluster *cluster) step(node *process, event messenger.Event) {
	for _, action := range node.stateMachine.Step(cluster.now, event) {
		switch action := action.(type) {
		case messenger.SendPeer:
			cluster.send(node, action)
		case messenger.MembersChanged:
			node.members = action.Members
		case messenger.CommandAnswered:
			node.answers = append(node.answers, action)
		case messenger.Transition:
			if cluster.onTransition != nil {
				cluster.onTransition(node, action)
			}
		}
	}
	if at := node.stateMachine.Next(); node.nextTick.IsZero() || at.Before(node.nextTick) {
		node.nextTick = at
		if at.Before(cluster.now) {
			at, node.nextTick = cluster.now, cluster.now
		}
		cluster.schedule(at, node, messenger.Tick{})
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
	if to == nil || !to.alive && to.unresponsive {
		return
	}
	if cluster.isPartitioned != nil && cluster.isPartitioned(from, to) || cluster.random.Float64() < cluster.loss {
		return
	}
	if !to.alive || to.identity.Node != message.To {
		// The dial is refused.
		cluster.schedule(cluster.now.Add(cluster.delay(from, to)*2), from, messenger.PeerSendFailed{To: message.To, Message: message.Message})
		return
	}
	cluster.schedule(cluster.now.Add(cluster.delay(from, to)), to, messenger.PeerReceived{From: from.identity.Node, Message: message.Message})
}

// delay returns the one-way network delay that the design assumes.
func (cluster *cluster) delay(from, to *process) time.Duration {
	if from.identity.Region == to.identity.Region {
		return 500 * time.Microsecond
	}
	return 30 * time.Millisecond
}

// hasConverged reports whether every living node has exactly the living nodes as
// members, all of them alive.
func (cluster *cluster) hasConverged() bool {
	alive := make(map[identifier.Node]bool)
	for _, node := range cluster.nodes {
		if node.alive {
			alive[node.identity.Node] = true
		}
	}
	for _, node := range cluster.nodes {
		if node.alive && len(node.members) != len(alive) {
			return false
		}
		for _, member := range node.members {
			if node.alive && (member.State != messenger.Alive || !alive[member.Node]) {
				return false
			}
		}
	}
	return true
}

// memberOf returns this node's record of another node, the zero Member if it has
// none.
func (node *process) memberOf(other *process) messenger.Member {
	for _, member := range node.members {
		if member.Node == other.identity.Node {
			return member
		}
	}
	return messenger.Member{}
}

// converge runs until the cluster has converged and returns the elapsed time, or
// false if that exceeds limit.
func (cluster *cluster) converge(limit time.Duration) (time.Duration, bool) {
	start := cluster.now
	for !cluster.hasConverged() {
		if cluster.now.Sub(start) > limit {
			return limit, false
		}
		cluster.run(100 * time.Millisecond)
	}
	return cluster.now.Sub(start), true
}

// BenchmarkNodeSecond measures the processing time that one of 300 nodes needs for
// one second of membership, including the encoding of its messages.
func BenchmarkNodeSecond(b *testing.B) {
	cluster := newCluster(300, 3, 1)
	cluster.converge(time.Minute)
	cluster.run(20 * time.Second)
	seconds := 0
	for b.Loop() {
		cluster.run(time.Second)
		seconds += len(cluster.nodes)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(seconds), "ns/node-second")
}
