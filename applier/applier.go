// Package applier folds the records of the platform's log, in offset order,
// into the configuration, the accepted jobs and the intents of keyed requests.
package applier

import (
	"cmp"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/recorder"
)

// TextParser reads a service text. An error has code InvalidText.
type TextParser interface {
	Parse(text []byte) (messenger.OrganisationText, error)
}

// Parameters are the bounds of an Applier. Every node of a deployment must have
// the same Founders and Parser, because they decide what a record means.
type Parameters struct {
	// Founders are the members that need no approval. Without founders the first
	// organisation that publishes is a member at once.
	Founders []identifier.Organisation
	// Parser reads published texts. Without it every publication is refused.
	Parser TextParser
	// Retention is how long the log keeps an append, 1 hour if zero.
	Retention time.Duration
	// GiveUp is how long a command's record may take to reach the log, 10 s if zero.
	GiveUp time.Duration
	// MaxCommands is the number of commands that may await the log, 1,024 if zero.
	MaxCommands int
	// MaxIntents is the number of keys that are kept, 2^20 if zero.
	MaxIntents int
}

const (
	// tickPeriod is how often newest values are repeated and deadlines are checked.
	tickPeriod = time.Second
	// staleAfter is how long a node stays ready that receives nothing from the log
	// or a peer.
	staleAfter = 7 * time.Second
	// maxDecisions bounds the decisions that are kept for explain.
	maxDecisions = 1024
)

// Applier is the state machine that owns what the log decides. Its state is always
// complete up to the applied offset of each stream.
type Applier struct {
	identity   messenger.Identity
	parameters Parameters

	streams       []*stream
	configuration *configuration
	jobs          *jobs
	intents       *intents
	commands      *commands
	peers         *peers
	decisions     *recorder.Recorder

	heardAt  time.Time
	nextTick time.Time
	// advanced says that an offset was applied since DigestChanged was last sent.
	advanced bool
	actions  []messenger.Action
}

// New returns an Applier that has applied nothing.
func New(identity messenger.Identity, parameters Parameters) *Applier {
	parameters = parameters.withDefaults()
	applier := &Applier{
		identity: identity, parameters: parameters,
		configuration: newConfiguration(parameters),
		jobs:          newJobs(),
		intents:       newIntents(identity, parameters.MaxIntents),
		commands:      newCommands(),
		peers:         newPeers(),
		decisions:     recorder.New(identity.Node, maxDecisions),
	}
	applier.streams = []*stream{
		newStream(identifier.Configuration, applier.configuration),
		newStream(identifier.Jobs, applier.jobs),
		newStream(identifier.Intents, applier.intents),
	}
	return applier
}

func (parameters Parameters) withDefaults() Parameters {
	parameters.Retention = cmp.Or(parameters.Retention, time.Hour)
	parameters.GiveUp = cmp.Or(parameters.GiveUp, 10*time.Second)
	parameters.MaxCommands = cmp.Or(parameters.MaxCommands, 1024)
	parameters.MaxIntents = cmp.Or(parameters.MaxIntents, 1<<20)
	return parameters
}

// Step implements decider.Machine.
func (applier *Applier) Step(now time.Time, event messenger.Event) []messenger.Action {
	switch event := event.(type) {
	case messenger.AppendRead:
		applier.appendRead(now, event)
	case messenger.StreamEndReached:
		applier.streamRead(now, event)
	case messenger.StreamUnavailable:
		if stream := applier.stream(event.Stream); stream != nil {
			stream.silent = true
		}
	case messenger.AppendFailed:
		applier.appendFailed(now, event)
	case messenger.CommandArrived:
		applier.commandArrived(now, event)
	case messenger.PeerReceived:
		applier.peerReceived(now, event)
	case messenger.HeartbeatReceived:
		applier.peerHeard(now, event)
	case messenger.MembersChanged:
		applier.peers.update(applier.identity.Node, event.Members)
	case messenger.Tick:
		applier.tick(now)
	}
	if applier.nextTick.IsZero() {
		applier.nextTick = now.Add(tickPeriod)
	}
	if applier.advanced {
		applier.advanced = false
		applier.emit(applier.digestChanged())
	}
	actions := applier.actions
	applier.actions = nil
	return actions
}

// Next implements decider.Machine.
func (applier *Applier) Next() time.Time { return applier.nextTick }

func (applier *Applier) tick(now time.Time) {
	applier.nextTick = now.Add(tickPeriod)
	applier.expireCommands(now)
	applier.catchUp(now)
	applier.writeSnapshots(now)
	// A full ring may have refused the last one.
	applier.emit(applier.digestChanged())
}

func (applier *Applier) digestChanged() messenger.DigestChanged {
	return messenger.DigestChanged{
		Configuration: applier.stream(identifier.Configuration).applied,
		Jobs:          applier.stream(identifier.Jobs).applied,
		Intents:       applier.stream(identifier.Intents).applied,
	}
}

func (applier *Applier) stream(name identifier.Stream) *stream {
	for _, stream := range applier.streams {
		if stream.name == name {
			return stream
		}
	}
	return nil
}

func (applier *Applier) emit(actions ...messenger.Action) {
	applier.actions = append(applier.actions, actions...)
}

// ready says whether the state is recent enough to serve callers.
func (applier *Applier) ready(now time.Time) bool {
	for _, stream := range applier.streams {
		// A peer's copy is enough without the intents: keyed requests need the log
		// in any case.
		if !stream.current && (stream.name != identifier.Intents || !applier.peers.copied) {
			return false
		}
	}
	return now.Sub(applier.heardAt) <= staleAfter
}

// notReady returns the refusal of a command that needs the folded state.
func notReady() *classifier.Error {
	return classifier.New(classifier.NotReady, "the node has not read the log").WithRetryAfter(time.Second)
}
