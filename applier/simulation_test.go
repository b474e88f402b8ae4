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

// lineParser parses texts of the form "organisation service service ...".
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

// simulatedLog is one stream of the log service.
type simulatedLog struct {
	first   identifier.Offset
	appends []messenger.AppendRead
}

func (log *simulatedLog) nextOffset() identifier.Offset {
	return identifier.Offset(len(log.appends)) + 1
}

// simulatedNode is a process with its applier, follower and appender.
type simulatedNode struct {
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

// simulation is a deployment in virtual time. After each step it checks the
// invariants that hold at all times.
type simulation struct {
	t                   *rapid.T
	now                 time.Time
	logUnavailable      bool
	logUnavailableSince time.Time
	logs                map[identifier.Stream]*simulatedLog
	nodes               []*simulatedNode
	network             []networkMessage
	// digests holds the digest of the first node to reach each offset.
	digests map[string]uint64
	// acceptedByBase counts the accepted publications by organisation and base.
	acceptedByBase map[string]int
	firstRequests  map[identifier.Key]identifier.Request
	serial         int
	// delayed are appends that take effect after they were reported as unknown.
	delayed []messenger.AppendRecord
}

type networkMessage struct {
	from, to identifier.Node
	message  messenger.Peer
}

func newSimulation(t *rapid.T, count int) *simulation {
	simulation := &simulation{
		t: t, now: time.Unix(1_800_000_000, 0).UTC(), logs: map[identifier.Stream]*simulatedLog{},
		digests: map[string]uint64{}, acceptedByBase: map[string]int{}, firstRequests: map[identifier.Key]identifier.Request{},
	}
	for _, stream := range streamNames {
		simulation.logs[stream] = &simulatedLog{first: 1}
	}
	for i := range count {
		simulation.nodes = append(simulation.nodes, &simulatedNode{name: identifier.Node(fmt.Sprintf("node-%d", i))})
	}
	for _, node := range simulation.nodes {
		simulation.start(node)
	}
	return simulation
}

var streamNames = []identifier.Stream{identifier.Configuration, identifier.Jobs, identifier.Intents}

func (simulation *simulation) start(node *simulatedNode) {
	simulation.serial++
	node.incarnation = identifier.Incarnation(simulation.serial)
	node.applier = New(messenger.Identity{Node: node.name, Incarnation: node.incarnation, Region: "gulf"}, testParameters)
	node.position, node.reset = map[identifier.Stream]identifier.Offset{}, map[identifier.Stream]bool{}
	node.pending, node.version = nil, 0
	node.open, node.jobs = map[identifier.Request]commander.Command{}, map[identifier.Job]bool{}
	for _, stream := range streamNames {
		node.position[stream], node.reset[stream] = 1, true
	}
	log := simulation.logs[identifier.Intents]
	// If the follower starts too late, requests may get no answer, but none may run
	// twice.
	recent := time.Duration(rapid.SampledFrom([]int{12, 5, 0}).Draw(simulation.t, "recent")) * time.Minute
	for node.position[identifier.Intents]+1 < log.nextOffset() &&
		!log.appends[node.position[identifier.Intents]].AppendedAt.After(simulation.now.Add(-recent)) {
		node.position[identifier.Intents]++
	}
	var members []messenger.Member
	for _, member := range simulation.nodes {
		members = append(members, messenger.Member{Identity: messenger.Identity{Node: member.name}, State: messenger.Alive})
	}
	simulation.step(node, messenger.MembersChanged{Members: members})
}

// step delivers an event and performs the resulting actions.
func (simulation *simulation) step(node *simulatedNode, event messenger.Event) {
	before := [3]identifier.Offset{}
	for i, stream := range node.applier.streams {
		before[i] = stream.applied
	}
	actions := node.applier.Step(simulation.now, event)
	for i, stream := range node.applier.streams {
		if stream.applied < before[i] {
			simulation.t.Fatalf("%s went back from offset %d to %d in stream %s", node.name, before[i], stream.applied, stream.name)
		}
		simulation.checkDigest(node, stream)
	}
	for _, action := range actions {
		simulation.perform(node, action)
	}
}

func (simulation *simulation) checkDigest(node *simulatedNode, stream *stream) {
	if stream.name == identifier.Intents {
		return
	}
	key := fmt.Sprintf("%s/%d", stream.name, stream.applied)
	digest := stream.state.digest()
	if expected, ok := simulation.digests[key]; ok && expected != digest {
		simulation.t.Fatalf("%s has a different state at %s than another node", node.name, key)
	}
	simulation.digests[key] = digest
}

func (simulation *simulation) perform(node *simulatedNode, action messenger.Action) {
	switch action := action.(type) {
	case messenger.AppendRecord:
		node.pending = append(node.pending, action)
	case messenger.SendPeer:
		simulation.network = append(simulation.network, networkMessage{node.name, action.To, action.Message})
	case messenger.StreamAdvanced:
		node.position[action.Stream], node.reset[action.Stream] = action.Applied+1, false
	case messenger.CommandAnswered:
		simulation.handleCommandAnswered(node, action)
	case messenger.ConfigurationChanged:
		if action.Configuration.Version < node.version {
			simulation.t.Fatalf("%s reverted from version %d to %d", node.name, node.version, action.Configuration.Version)
		}
		node.version = action.Configuration.Version
		for _, text := range action.Configuration.Organisations {
			simulation.checkApproved(text)
		}
	case messenger.DigestChanged:
		node.digest = action
	case messenger.JobAccepted:
		if node.jobs[action.Spec.Job] {
			simulation.t.Fatalf("%s accepted job %s twice", node.name, action.Spec.Job)
		}
		node.jobs[action.Spec.Job] = true
	case messenger.JobEnded:
		if !node.jobs[action.Outcome.Job] {
			simulation.t.Fatalf("%s ended job %s that is not open", node.name, action.Outcome.Job)
		}
		delete(node.jobs, action.Outcome.Job)
	case messenger.IntentApplied:
		if first, ok := simulation.firstRequests[action.Key]; action.First && ok && first != action.Request {
			simulation.t.Fatalf("requests %s and %s may both run with key %s", first, action.Request, action.Key)
		}
		if action.First {
			simulation.firstRequests[action.Key] = action.Request
		}
	case messenger.Transition:
		simulation.t.Fatalf("%s: %+v", node.name, action)
	}
}

// checkApproved checks that an organisation is a founder or that all founders have
// approved one of its publications. Later publications of a member need no approval.
func (simulation *simulation) checkApproved(text messenger.OrganisationText) {
	if slices.Contains(testParameters.Founders, text.Organisation) {
		return
	}
	approvals := map[identifier.Offset]map[identifier.Organisation]bool{}
	for _, read := range simulation.logs[identifier.Configuration].appends {
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
	simulation.t.Fatalf("%s joined without the approval of all founders", text.Organisation)
}

func (simulation *simulation) handleCommandAnswered(node *simulatedNode, answered messenger.CommandAnswered) {
	command, open := node.open[answered.Request]
	if !open {
		simulation.t.Fatalf("%s answered %s twice", node.name, answered.Request)
	}
	delete(node.open, answered.Request)
	if publish, ok := command.(commander.Publish); ok && (answered.Err == nil || answered.Err.Code == classifier.PendingApproval) {
		key := fmt.Sprintf("%s/%d", publish.Organisation, publish.Base)
		if simulation.acceptedByBase[key]++; simulation.acceptedByBase[key] > 1 {
			simulation.t.Fatalf("two publications on %s were accepted", key)
		}
	}
}

func (simulation *simulation) command(node *simulatedNode, command commander.Command) {
	simulation.serial++
	request := identifier.Request(fmt.Sprintf("request-%d", simulation.serial))
	node.open[request] = command
	simulation.step(node, messenger.CommandArrived{Request: request, Command: command})
}

// appendToLog adds an append to a stream of the log.
func (simulation *simulation) appendToLog(stream identifier.Stream, entries ...messenger.Entry) {
	log := simulation.logs[stream]
	log.appends = append(log.appends, messenger.AppendRead{
		Stream: stream, Offset: log.nextOffset(), AppendedAt: simulation.now, Entries: entries,
	})
}

// processAppend processes the oldest pending append of a node with the given result.
func (simulation *simulation) processAppend(node *simulatedNode, result string) {
	if len(node.pending) == 0 {
		return
	}
	record := node.pending[0]
	node.pending = node.pending[1:]
	failed := messenger.AppendFailed{Stream: record.Stream, ID: record.Entry.ID, Code: classifier.LogUnavailable}
	switch {
	case simulation.logUnavailable || result == "lost":
		simulation.step(node, failed)
	case result == "late":
		failed.Execution = classifier.Unknown
		simulation.step(node, failed)
		simulation.delayed = append(simulation.delayed, record)
	case result == "twice":
		simulation.appendToLog(record.Stream, record.Entry)
		simulation.appendToLog(record.Stream, record.Entry)
	default:
		simulation.appendToLog(record.Stream, record.Entry)
	}
}

// readNext delivers the next append of a stream, or its end, to a node. It returns
// false if there is nothing further to read.
func (simulation *simulation) readNext(node *simulatedNode, stream identifier.Stream) bool {
	log := simulation.logs[stream]
	if simulation.logUnavailable {
		return false
	}
	if node.position[stream] < log.first {
		node.position[stream], node.reset[stream] = log.first, true
	}
	position := node.position[stream]
	if position >= log.nextOffset() {
		simulation.step(node, messenger.StreamEndReached{Stream: stream, Next: log.nextOffset(), At: simulation.now, Reset: node.reset[stream]})
		return node.position[stream] != position
	}
	read := log.appends[position-1]
	read.Reset = node.reset[stream]
	node.position[stream], node.reset[stream] = position+1, false
	simulation.step(node, read)
	return true
}

// readAll delivers all remaining appends to a node.
func (simulation *simulation) readAll(node *simulatedNode) {
	for _, stream := range streamNames {
		for simulation.readNext(node, stream) {
		}
	}
}

// advanceTime advances time in steps and delivers ticks. Unless the log is unavailable,
// all nodes append and read in each step. Appends older than the retention expire.
func (simulation *simulation) advanceTime(duration time.Duration) {
	until := simulation.now.Add(duration)
	for simulation.now.Before(until) {
		simulation.now = simulation.now.Add(20 * time.Second)
		for _, node := range simulation.nodes {
			simulation.step(node, messenger.Tick{})
		}
		// By design, an outage longer than half of the retention may lose data.
		if simulation.logUnavailable && simulation.now.Sub(simulation.logUnavailableSince) > testRetention/8 {
			simulation.logUnavailable = false
		}
		if !simulation.logUnavailable {
			for _, node := range simulation.nodes {
				for len(node.pending) > 0 {
					simulation.processAppend(node, "once")
				}
			}
			for _, node := range simulation.nodes {
				simulation.readAll(node)
			}
		}
	}
	for _, log := range simulation.logs {
		for log.first < log.nextOffset() && log.appends[log.first-1].AppendedAt.Before(simulation.now.Add(-testRetention)) {
			log.first++
		}
	}
}

// deliverPeerMessage delivers the oldest message between peers.
func (simulation *simulation) deliverPeerMessage() {
	if len(simulation.network) == 0 {
		return
	}
	message := simulation.network[0]
	simulation.network = simulation.network[1:]
	for _, node := range simulation.nodes {
		if node.name == message.to {
			simulation.step(node, messenger.PeerReceived{From: message.from, Message: message.message})
		}
	}
}

func (simulation *simulation) heartbeat(from, to *simulatedNode) {
	if from == to {
		return
	}
	simulation.step(to, messenger.HeartbeatReceived{Node: from.name, Digest: messenger.Digest{
		Configuration: from.digest.Configuration, Jobs: from.digest.Jobs, Intents: from.digest.Intents,
	}})
}
