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

// actions returns the actions of a schedule by name.
func (simulation *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"publish":  func(*rapid.T) { simulation.publish() },
		"approve":  func(*rapid.T) { simulation.approve() },
		"submit":   func(*rapid.T) { simulation.submit() },
		"conclude": func(*rapid.T) { simulation.appendOutcome() },
		"intend":   func(*rapid.T) { simulation.appendIntent() },
		"cancel": func(t *rapid.T) {
			job := rapid.SampledFrom([]identifier.Job{"job-0", "job-1", "job-2"}).Draw(t, "job")
			simulation.command(simulation.drawNode(), commander.Cancel{Workspace: "clubs", Job: job})
		},
		"post": func(t *rapid.T) {
			simulation.processAppend(simulation.drawNode(), rapid.SampledFrom([]string{"once", "once", "twice", "lost", "late"}).Draw(t, "fate"))
		},
		"late": func(*rapid.T) {
			if len(simulation.delayed) > 0 && !simulation.logUnavailable {
				simulation.appendToLog(simulation.delayed[0].Stream, simulation.delayed[0].Entry)
				simulation.delayed = simulation.delayed[1:]
			}
		},
		"read": func(t *rapid.T) {
			node, stream := simulation.drawNode(), rapid.SampledFrom(streamNames).Draw(t, "stream")
			for range rapid.IntRange(1, 4).Draw(t, "appends") {
				simulation.readNext(node, stream)
			}
		},
		"skip": func(t *rapid.T) {
			// The follower skips an append, as after a fault of its own.
			node, stream := simulation.drawNode(), rapid.SampledFrom(streamNames).Draw(t, "stream")
			// An append with Reset is always the first retained one.
			if node.position[stream] < simulation.logs[stream].nextOffset() && !node.reset[stream] {
				node.position[stream]++
			}
		},
		"repeat": func(t *rapid.T) {
			// The log delivers appends that the node may have received from a peer.
			node, stream := simulation.drawNode(), rapid.SampledFrom(streamNames).Draw(t, "stream")
			back := identifier.Offset(rapid.IntRange(1, 5).Draw(t, "back"))
			if node.position[stream] > back && !node.reset[stream] {
				node.position[stream] -= back
			}
		},
		"help": func(*rapid.T) {
			from, to := simulation.drawNode(), simulation.drawNode()
			simulation.step(from, messenger.Tick{})
			simulation.heartbeat(from, to)
			simulation.now = simulation.now.Add(1500 * time.Millisecond)
			simulation.step(to, messenger.Tick{})
		},
		"heartbeat": func(*rapid.T) { simulation.heartbeat(simulation.drawNode(), simulation.drawNode()) },
		"deliver":   func(*rapid.T) { simulation.deliverPeerMessage() },
		"drop": func(*rapid.T) {
			if len(simulation.network) > 0 {
				simulation.network = simulation.network[1:]
			}
		},
		"restart": func(*rapid.T) { simulation.start(simulation.drawNode()) },
		"outage": func(*rapid.T) {
			simulation.logUnavailable, simulation.logUnavailableSince = !simulation.logUnavailable, simulation.now
		},
		"short": func(*rapid.T) { simulation.now = simulation.now.Add(700 * time.Millisecond) },
		"long": func(t *rapid.T) {
			simulation.advanceTime(time.Duration(rapid.IntRange(1, 40).Draw(t, "minutes")) * time.Minute)
		},
	}
}

func (simulation *simulation) drawNode() *simulatedNode {
	return rapid.SampledFrom(simulation.nodes).Draw(simulation.t, "node")
}

func (simulation *simulation) publish() {
	organisation := rapid.SampledFrom([]identifier.Organisation{"ash", "birch", "cedar", "dogwood"}).Draw(simulation.t, "organisation")
	node := simulation.drawNode()
	base, _ := node.applier.configuration.currentVersion(organisation)
	if rapid.IntRange(0, 5).Draw(simulation.t, "stale") == 0 {
		base = 0
	}
	service := rapid.SampledFrom([]string{"rota", "planner", "seals"}).Draw(simulation.t, "service")
	text := fmt.Sprintf("%s %s %d", organisation, service, simulation.serial)
	simulation.command(node, commander.Publish{Organisation: organisation, Base: base, Text: []byte(text)})
}

func (simulation *simulation) approve() {
	node := simulation.drawNode()
	pending := node.applier.configuration.pendingPublications()
	publication := identifier.Offset(rapid.IntRange(1, 9).Draw(simulation.t, "publication"))
	if len(pending) > 0 {
		publication = rapid.SampledFrom(pending).Draw(simulation.t, "newcomer").offset
	}
	organisation := rapid.SampledFrom(append(slices.Clone(testParameters.Founders), "cedar")).Draw(simulation.t, "approver")
	simulation.command(node, commander.Approve{Organisation: organisation, Publication: publication})
}

func (simulation *simulation) submit() {
	job := identifier.Job(fmt.Sprintf("job-%d", rapid.IntRange(0, 9).Draw(simulation.t, "job")))
	spec := commander.JobSpec{Job: job, Workspace: "clubs", Shape: commander.Shape{Members: rapid.IntRange(1, 2).Draw(simulation.t, "members")}}
	simulation.command(simulation.drawNode(), commander.Submit{Workspace: "clubs", Job: spec})
}

func (simulation *simulation) appendOutcome() {
	node := simulation.drawNode()
	job := identifier.Job(fmt.Sprintf("job-%d", rapid.IntRange(0, 9).Draw(simulation.t, "job")))
	simulation.serial++
	entry := messenger.Entry{ID: fmt.Sprintf("scheduler/%d", simulation.serial), Record: messenger.Outcome{Job: job, Reason: "done"}}
	if rapid.Bool().Draw(simulation.t, "claim") {
		entry.Record = messenger.RegionClaim{Region: "gulf", Node: node.name, Incarnation: node.incarnation}
	}
	node.pending = append(node.pending, messenger.AppendRecord{Stream: identifier.Jobs, Entry: entry})
}

func (simulation *simulation) appendIntent() {
	node := simulation.drawNode()
	simulation.serial++
	issued := simulation.now.Add(time.Duration(rapid.IntRange(-11, 2).Draw(simulation.t, "age")) * time.Minute).Truncate(5 * time.Minute)
	record := messenger.Intent{
		Key: key(issued, rapid.IntRange(0, 1).Draw(simulation.t, "key")), Node: node.name, Incarnation: node.incarnation,
		Request: identifier.Request(fmt.Sprintf("call-%d", simulation.serial)),
	}
	node.pending = append(node.pending, messenger.AppendRecord{
		Stream: identifier.Intents, Entry: messenger.Entry{ID: fmt.Sprintf("intent/%d", simulation.serial), Record: record},
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
