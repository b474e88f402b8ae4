package applier

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// TestNodesAgreeUnderEveryDisturbance guards against nodes that fold the same
// log to different states, go back, answer a command twice or never, let two
// publications win on one base, or let two requests run with one key. The
// schedules hold racing commands, lost, doubled and late appends, log outages,
// restarts, retention, snapshots, and peers that help each other.
func TestNodesAgreeUnderEveryDisturbance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t, rapid.IntRange(1, 3).Draw(t, "nodes"))
		for _, node := range world.nodes {
			world.readAll(node)
		}
		actions := map[string]func(*rapid.T){
			"publish":  func(*rapid.T) { world.publish() },
			"approve":  func(*rapid.T) { world.approve() },
			"submit":   func(*rapid.T) { world.submit() },
			"conclude": func(*rapid.T) { world.conclude() },
			"intend":   func(*rapid.T) { world.intend() },
			"cancel": func(t *rapid.T) {
				job := rapid.SampledFrom([]identifier.Job{"job-0", "job-1", "job-2"}).Draw(t, "job")
				world.command(world.anyNode(), commander.Cancel{Workspace: "clubs", Job: job})
			},
			"post": func(t *rapid.T) {
				world.post(world.anyNode(), rapid.SampledFrom([]string{"once", "once", "twice", "lost", "late"}).Draw(t, "fate"))
			},
			"late": func(*rapid.T) {
				if len(world.delayed) > 0 && !world.down {
					world.add(world.delayed[0].Stream, world.delayed[0].Entry)
					world.delayed = world.delayed[1:]
				}
			},
			"read": func(t *rapid.T) {
				node, stream := world.anyNode(), rapid.SampledFrom(worldStreams).Draw(t, "stream")
				for range rapid.IntRange(1, 4).Draw(t, "appends") {
					world.read(node, stream)
				}
			},
			"skip": func(t *rapid.T) {
				// The follower jumps ahead, as after a fault of its own.
				node, stream := world.anyNode(), rapid.SampledFrom(worldStreams).Draw(t, "stream")
				// A first append with Reset is always the first retained one.
				if node.position[stream] < world.logs[stream].next() && !node.reset[stream] {
					node.position[stream]++
				}
			},
			"repeat": func(t *rapid.T) {
				// Appends that were on their way to the node when it got them from a peer.
				node, stream := world.anyNode(), rapid.SampledFrom(worldStreams).Draw(t, "stream")
				back := identifier.Offset(rapid.IntRange(1, 5).Draw(t, "back"))
				if node.position[stream] > back && !node.reset[stream] {
					node.position[stream] -= back
				}
			},
			"help": func(*rapid.T) {
				from, to := world.anyNode(), world.anyNode()
				world.step(from, messenger.Tick{})
				world.heartbeat(from, to)
				world.now = world.now.Add(1500 * time.Millisecond)
				world.step(to, messenger.Tick{})
			},
			"heartbeat": func(*rapid.T) { world.heartbeat(world.anyNode(), world.anyNode()) },
			"deliver":   func(*rapid.T) { world.deliver() },
			"drop": func(*rapid.T) {
				if len(world.network) > 0 {
					world.network = world.network[1:]
				}
			},
			"restart": func(*rapid.T) { world.start(world.anyNode()) },
			"outage": func(*rapid.T) {
				world.down, world.downAt = !world.down, world.now
			},
			"short": func(*rapid.T) { world.now = world.now.Add(700 * time.Millisecond) },
			"long": func(t *rapid.T) {
				world.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "minutes")) * time.Minute)
			},
		}
		// Several rounds make schedules that are long enough for retention to pass.
		for range 4 {
			t.Repeat(actions)
		}
		world.settle()
	})
}
