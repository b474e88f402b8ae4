package applier

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// lineParser reads texts of the form "organisation service service ...".
type lineParser struct{}

func (lineParser) Parse(text []byte) (messenger.OrganisationText, error) {
	words := strings.Fields(string(text))
	if len(words) == 0 {
		return messenger.OrganisationText{}, classifier.New(classifier.InvalidText, "empty")
	}
	parsed := messenger.OrganisationText{Organisation: identifier.Organisation(words[0])}
	for _, word := range words[1:] {
		parsed.Services = append(parsed.Services, messenger.ServiceSpec{Service: identifier.Service(word)})
	}
	return parsed, nil
}

const testRetention = time.Hour

var testParameters = Parameters{
	Founders: []identifier.Organisation{"ash", "birch"}, Parser: lineParser{}, Retention: testRetention,
}

// worldLog is one stream of the log service.
type worldLog struct {
	first   identifier.Offset
	appends []messenger.AppendRead
}

func (log *worldLog) next() identifier.Offset { return identifier.Offset(len(log.appends)) + 1 }

// worldNode is a process with its applier, follower and appender.
type worldNode struct {
	name        identifier.Node
	incarnation identifier.Incarnation
	applier     *Applier
	position    map[identifier.Stream]identifier.Offset
	reset       map[identifier.Stream]bool
	pending     []messenger.AppendRecord
	digest      messenger.DigestChanged
	version     identifier.Offset
	open        map[identifier.Request]commander.Command
	jobs        map[identifier.Job]bool
}

// world is a deployment in virtual time. Its steps check the promises that hold
// at every moment.
type world struct {
	t       *rapid.T
	now     time.Time
	down    bool
	downAt  time.Time
	logs    map[identifier.Stream]*worldLog
	nodes   []*worldNode
	network []networkMessage
	// digests is the digest that the first node had at each offset.
	digests map[string]uint64
	// winners counts the accepted publications by organisation and base.
	winners map[string]int
	first   map[identifier.Key]identifier.Request
	serial  int
	// delayed are appends that take effect although they were reported as unknown.
	delayed []messenger.AppendRecord
}

type networkMessage struct {
	from, to identifier.Node
	message  messenger.Peer
}

func newWorld(t *rapid.T, count int) *world {
	world := &world{
		t: t, now: time.Unix(1_800_000_000, 0).UTC(), logs: map[identifier.Stream]*worldLog{},
		digests: map[string]uint64{}, winners: map[string]int{}, first: map[identifier.Key]identifier.Request{},
	}
	for _, stream := range worldStreams {
		world.logs[stream] = &worldLog{first: 1}
	}
	for i := range count {
		world.nodes = append(world.nodes, &worldNode{name: identifier.Node(fmt.Sprintf("node-%d", i))})
	}
	for _, node := range world.nodes {
		world.start(node)
	}
	return world
}

var worldStreams = []identifier.Stream{identifier.Configuration, identifier.Jobs, identifier.Intents}

func (world *world) start(node *worldNode) {
	world.serial++
	node.incarnation = identifier.Incarnation(world.serial)
	node.applier = New(messenger.Identity{Node: node.name, Incarnation: node.incarnation, Region: "gulf"}, testParameters)
	node.position, node.reset = map[identifier.Stream]identifier.Offset{}, map[identifier.Stream]bool{}
	node.pending, node.version = nil, 0
	node.open, node.jobs = map[identifier.Request]commander.Command{}, map[identifier.Job]bool{}
	for _, stream := range worldStreams {
		node.position[stream], node.reset[stream] = 1, true
	}
	log := world.logs[identifier.Intents]
	// A start that is too late must cost answers but never a second run.
	recent := time.Duration(rapid.SampledFrom([]int{12, 5, 0}).Draw(world.t, "recent")) * time.Minute
	for node.position[identifier.Intents]+1 < log.next() &&
		!log.appends[node.position[identifier.Intents]].AppendedAt.After(world.now.Add(-recent)) {
		node.position[identifier.Intents]++
	}
	var members []messenger.Member
	for _, each := range world.nodes {
		members = append(members, messenger.Member{Identity: messenger.Identity{Node: each.name}, State: messenger.Alive})
	}
	world.step(node, messenger.MembersChanged{Members: members})
}

// step delivers an event and carries out the actions.
func (world *world) step(node *worldNode, event messenger.Event) {
	before := [3]identifier.Offset{}
	for i, stream := range node.applier.streams {
		before[i] = stream.applied
	}
	actions := node.applier.Step(world.now, event)
	for i, stream := range node.applier.streams {
		if stream.applied < before[i] {
			world.t.Fatalf("%s went back from offset %d to %d of %s", node.name, before[i], stream.applied, stream.name)
		}
		world.checkDigest(node, stream)
	}
	for _, action := range actions {
		world.act(node, action)
	}
}

func (world *world) checkDigest(node *worldNode, stream *stream) {
	if stream.name == identifier.Intents {
		return
	}
	key := fmt.Sprintf("%s/%d", stream.name, stream.applied)
	digest := stream.folder.digest()
	if known, ok := world.digests[key]; ok && known != digest {
		world.t.Fatalf("%s has another state at %s than a node before", node.name, key)
	}
	world.digests[key] = digest
}

func (world *world) act(node *worldNode, action messenger.Action) {
	switch action := action.(type) {
	case messenger.AppendRecord:
		node.pending = append(node.pending, action)
	case messenger.SendPeer:
		world.network = append(world.network, networkMessage{node.name, action.To, action.Message})
	case messenger.StreamAdvanced:
		node.position[action.Stream], node.reset[action.Stream] = action.Applied+1, false
	case messenger.CommandAnswered:
		world.answered(node, action)
	case messenger.ConfigurationChanged:
		if action.Configuration.Version < node.version {
			world.t.Fatalf("%s reverted from version %d to %d", node.name, node.version, action.Configuration.Version)
		}
		node.version = action.Configuration.Version
		for _, text := range action.Configuration.Organisations {
			world.checkApproved(text)
		}
	case messenger.DigestChanged:
		node.digest = action
	case messenger.JobAccepted:
		if node.jobs[action.Spec.Job] {
			world.t.Fatalf("%s accepted job %s twice", node.name, action.Spec.Job)
		}
		node.jobs[action.Spec.Job] = true
	case messenger.JobEnded:
		if !node.jobs[action.Outcome.Job] {
			world.t.Fatalf("%s concluded job %s that is not open", node.name, action.Outcome.Job)
		}
		delete(node.jobs, action.Outcome.Job)
	case messenger.IntentApplied:
		if first, ok := world.first[action.Key]; action.First && ok && first != action.Request {
			world.t.Fatalf("requests %s and %s may both run with key %s", first, action.Request, action.Key)
		}
		if action.First {
			world.first[action.Key] = action.Request
		}
	case messenger.Transition:
		world.t.Fatalf("%s: %+v", node.name, action)
	}
}

// checkApproved finds a publication of a newcomer that all founders approved.
// Once it has joined, its later publications need no approval.
func (world *world) checkApproved(text messenger.OrganisationText) {
	if slices.Contains(testParameters.Founders, text.Organisation) {
		return
	}
	approvals := map[identifier.Offset]map[identifier.Organisation]bool{}
	for _, read := range world.logs[identifier.Configuration].appends {
		switch record := read.Entries[0].Record.(type) {
		case messenger.Publication:
			if record.Organisation == text.Organisation {
				approvals[read.Offset] = map[identifier.Organisation]bool{}
			}
		case messenger.Approval:
			if approvals[record.Publication] == nil || !slices.Contains(testParameters.Founders, record.Organisation) {
				continue
			}
			approvals[record.Publication][record.Organisation] = true
			if len(approvals[record.Publication]) == len(testParameters.Founders) {
				return
			}
		}
	}
	world.t.Fatalf("%s joined without the approval of all founders", text.Organisation)
}

func (world *world) answered(node *worldNode, answered messenger.CommandAnswered) {
	command, open := node.open[answered.Request]
	if !open {
		world.t.Fatalf("%s answered %s twice", node.name, answered.Request)
	}
	delete(node.open, answered.Request)
	if publish, ok := command.(commander.Publish); ok && (answered.Err == nil || answered.Err.Code == classifier.PendingApproval) {
		key := fmt.Sprintf("%s/%d", publish.Organisation, publish.Base)
		if world.winners[key]++; world.winners[key] > 1 {
			world.t.Fatalf("two publications of %s won", key)
		}
	}
}

func (world *world) command(node *worldNode, command commander.Command) {
	world.serial++
	request := identifier.Request(fmt.Sprintf("request-%d", world.serial))
	node.open[request] = command
	world.step(node, messenger.CommandArrived{Request: request, Command: command})
}

// add appends to the log.
func (world *world) add(stream identifier.Stream, entries ...messenger.Entry) {
	log := world.logs[stream]
	log.appends = append(log.appends, messenger.AppendRead{
		Stream: stream, Offset: log.next(), AppendedAt: world.now, Entries: entries,
	})
}

// post carries out the oldest append of a node.
func (world *world) post(node *worldNode, fate string) {
	if len(node.pending) == 0 {
		return
	}
	record := node.pending[0]
	node.pending = node.pending[1:]
	failed := messenger.AppendFailed{Stream: record.Stream, ID: record.Entry.ID, Code: classifier.LogUnavailable}
	switch {
	case world.down || fate == "lost":
		world.step(node, failed)
	case fate == "late":
		failed.Execution = classifier.Unknown
		world.step(node, failed)
		world.delayed = append(world.delayed, record)
	case fate == "twice":
		world.add(record.Stream, record.Entry)
		world.add(record.Stream, record.Entry)
	default:
		world.add(record.Stream, record.Entry)
	}
}

// read is one step of a node's follower.
func (world *world) read(node *worldNode, stream identifier.Stream) bool {
	log := world.logs[stream]
	if world.down {
		return false
	}
	if node.position[stream] < log.first {
		node.position[stream], node.reset[stream] = log.first, true
	}
	position := node.position[stream]
	if position >= log.next() {
		world.step(node, messenger.StreamEndReached{Stream: stream, Next: log.next(), At: world.now, Reset: node.reset[stream]})
		return node.position[stream] != position
	}
	read := log.appends[position-1]
	read.Reset = node.reset[stream]
	node.position[stream], node.reset[stream] = position+1, false
	world.step(node, read)
	return true
}

// readAll lets a node read to the end of every stream.
func (world *world) readAll(node *worldNode) {
	for _, stream := range worldStreams {
		for world.read(node, stream) {
		}
	}
}

// advance moves time with its ticks. Retention passes, and nodes work unless
// the log is down.
func (world *world) advance(duration time.Duration) {
	until := world.now.Add(duration)
	for world.now.Before(until) {
		world.now = world.now.Add(20 * time.Second)
		for _, node := range world.nodes {
			world.step(node, messenger.Tick{})
		}
		// An outage longer than half of the retention may lose data by design.
		if world.down && world.now.Sub(world.downAt) > testRetention/8 {
			world.down = false
		}
		if !world.down {
			for _, node := range world.nodes {
				for len(node.pending) > 0 {
					world.post(node, "once")
				}
			}
			for _, node := range world.nodes {
				world.readAll(node)
			}
		}
	}
	for _, log := range world.logs {
		for log.first < log.next() && log.appends[log.first-1].AppendedAt.Before(world.now.Add(-testRetention)) {
			log.first++
		}
	}
}

// deliver passes on the oldest peer message.
func (world *world) deliver() {
	if len(world.network) == 0 {
		return
	}
	message := world.network[0]
	world.network = world.network[1:]
	for _, node := range world.nodes {
		if node.name == message.to {
			world.step(node, messenger.PeerReceived{From: message.from, Message: message.message})
		}
	}
}

func (world *world) heartbeat(from, to *worldNode) {
	if from == to {
		return
	}
	world.step(to, messenger.HeartbeatReceived{Node: from.name, Digest: messenger.Digest{
		Configuration: from.digest.Configuration, Jobs: from.digest.Jobs, Intents: from.digest.Intents,
	}})
}

// settle ends every disturbance and lets all nodes finish.
func (world *world) settle() {
	world.down = false
	for _, record := range world.delayed {
		world.add(record.Stream, record.Entry)
	}
	world.delayed = nil
	for range 3 {
		world.advance(20 * time.Second)
		for len(world.network) > 0 {
			world.deliver()
		}
	}
	for _, node := range world.nodes {
		if !node.applier.ready(world.now) {
			world.t.Fatalf("%s is not ready", node.name)
		}
		if len(node.open) > 0 {
			world.t.Fatalf("%s did not answer %v", node.name, node.open)
		}
		for _, stream := range node.applier.streams {
			if stream.applied != world.logs[stream.name].next()-1 {
				world.t.Fatalf("%s stopped at offset %d of %s", node.name, stream.applied, stream.name)
			}
		}
		open := 0
		for _, job := range node.applier.jobs.jobs {
			if job.EndedAt.IsZero() {
				open++
			}
		}
		if open != len(node.jobs) {
			world.t.Fatalf("%s announced %d open jobs of %d", node.name, len(node.jobs), open)
		}
	}
}
