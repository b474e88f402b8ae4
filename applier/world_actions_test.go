package applier

import (
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// actions returns the steps of a schedule by name.
func (world *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
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
}

func (world *world) anyNode() *worldNode { return rapid.SampledFrom(world.nodes).Draw(world.t, "node") }

func (world *world) publish() {
	organisation := rapid.SampledFrom([]identifier.Organisation{"ash", "birch", "cedar", "dogwood"}).Draw(world.t, "organisation")
	node := world.anyNode()
	base, _ := node.applier.configuration.current(organisation)
	if rapid.IntRange(0, 5).Draw(world.t, "stale") == 0 {
		base = 0
	}
	service := rapid.SampledFrom([]string{"rota", "planner", "seals"}).Draw(world.t, "service")
	text := fmt.Sprintf("%s %s %d", organisation, service, world.serial)
	world.command(node, commander.Publish{Organisation: organisation, Base: base, Text: []byte(text)})
}

func (world *world) approve() {
	node := world.anyNode()
	newcomers := node.applier.configuration.newcomers()
	publication := identifier.Offset(rapid.IntRange(1, 9).Draw(world.t, "publication"))
	if len(newcomers) > 0 {
		publication = rapid.SampledFrom(newcomers).Draw(world.t, "newcomer").offset
	}
	organisation := rapid.SampledFrom(append(slices.Clone(testParameters.Founders), "cedar")).Draw(world.t, "approver")
	world.command(node, commander.Approve{Organisation: organisation, Publication: publication})
}

func (world *world) submit() {
	job := identifier.Job(fmt.Sprintf("job-%d", rapid.IntRange(0, 9).Draw(world.t, "job")))
	spec := commander.JobSpec{Job: job, Workspace: "clubs", Shape: commander.Shape{Members: rapid.IntRange(1, 2).Draw(world.t, "members")}}
	world.command(world.anyNode(), commander.Submit{Workspace: "clubs", Job: spec})
}

func (world *world) conclude() {
	node := world.anyNode()
	job := identifier.Job(fmt.Sprintf("job-%d", rapid.IntRange(0, 9).Draw(world.t, "job")))
	world.serial++
	entry := messenger.Entry{ID: fmt.Sprintf("scheduler/%d", world.serial), Record: messenger.Outcome{Job: job, Reason: "done"}}
	if rapid.Bool().Draw(world.t, "claim") {
		entry.Record = messenger.RegionClaim{Region: "gulf", Node: node.name, Incarnation: node.incarnation}
	}
	node.pending = append(node.pending, messenger.AppendRecord{Stream: identifier.Jobs, Entry: entry})
}

func (world *world) intend() {
	node := world.anyNode()
	world.serial++
	issued := world.now.Add(time.Duration(rapid.IntRange(-11, 2).Draw(world.t, "age")) * time.Minute).Truncate(5 * time.Minute)
	record := messenger.Intent{
		Key: key(issued, rapid.IntRange(0, 1).Draw(world.t, "key")), Node: node.name, Incarnation: node.incarnation,
		Request: identifier.Request(fmt.Sprintf("call-%d", world.serial)),
	}
	node.pending = append(node.pending, messenger.AppendRecord{
		Stream: identifier.Intents, Entry: messenger.Entry{ID: fmt.Sprintf("intent/%d", world.serial), Record: record},
	})
}

// key returns a UUIDv7 that was issued at the given time.
func key(issued time.Time, serial int) identifier.Key {
	var id uuid.UUID
	milliseconds := issued.UnixMilli()
	for i := range 6 {
		id[i] = byte(milliseconds >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, byte(serial)
	return identifier.Key(id.String())
}
