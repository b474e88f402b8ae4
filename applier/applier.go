// Package applier applies the records of the platform's log, in offset order, to
// the configuration, the accepted jobs and the intents of keyed requests.
package applier

import (
	"cmp"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/recorder"
)

// TextParser parses service texts. Its errors have code InvalidText.
type TextParser interface {
	Parse(text []byte) (messenger.OrganisationText, error)
}

// Parameters configure an Applier. Every node of a deployment must have the same
// Founders and Parser, because they determine the effect of a record.
type Parameters struct {
	// Founders are the members that need no approval. Without founders the first
	// organisation that publishes becomes a member immediately.
	Founders []identifier.Organisation
	// Parser parses published texts. Without it every publication is refused.
	Parser TextParser
	// Retention is how long the log retains an append, 1 hour if zero.
	Retention time.Duration
	// AppendTimeout is how long a command's record may take to reach the log,
	// 10 s if zero.
	AppendTimeout time.Duration
	// MaxCommands is the number of commands that may wait for the log, 1,024 if zero.
	MaxCommands int
	// MaxIntents is the number of keys whose intents are retained, 2^20 if zero.
	MaxIntents int
}

const (
	// tickPeriod is the interval at which the applied offsets are sent again and
	// deadlines are checked.
	tickPeriod = time.Second
	// contactTimeout is how long a node stays ready while it receives nothing from the
	// log or a peer.
	contactTimeout = 7 * time.Second
	// maxDecisions bounds the decisions that are retained for explain queries.
	maxDecisions = 1024
)

// Applier is the state machine that owns the state derived from the log. For each
// stream, the state is always complete up to the applied offset.
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

	lastContactAt time.Time
	nextTick      time.Time
	// offsetsChanged is true if an append was applied after the last DigestChanged.
	offsetsChanged bool
	actions        []messenger.Action
}

// New returns an Applier with an empty state.
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
	parameters.AppendTimeout = cmp.Or(parameters.AppendTimeout, 10*time.Second)
	parameters.MaxCommands = cmp.Or(parameters.MaxCommands, 1024)
	parameters.MaxIntents = cmp.Or(parameters.MaxIntents, 1<<20)
	return parameters
}

// Step implements decider.StateMachine.
func (applier *Applier) Step(now time.Time, event messenger.Event) []messenger.Action {
	switch event := event.(type) {
	case messenger.AppendRead:
		applier.handleAppendRead(now, event)
	case messenger.StreamEndReached:
		applier.handleStreamEndReached(now, event)
	case messenger.StreamUnavailable:
		if stream := applier.stream(event.Stream); stream != nil {
			stream.logUnavailable = true
		}
	case messenger.AppendFailed:
		applier.handleAppendFailed(now, event)
	case messenger.CommandArrived:
		applier.handleCommandArrived(now, event)
	case messenger.PeerReceived:
		applier.handlePeerReceived(now, event)
	case messenger.HeartbeatReceived:
		applier.handleHeartbeatReceived(now, event)
	case messenger.MembersChanged:
		applier.peers.update(applier.identity.Node, event.Members)
	case messenger.Tick:
		applier.handleTick(now)
	}
	if applier.nextTick.IsZero() {
		applier.nextTick = now.Add(tickPeriod)
	}
	if applier.offsetsChanged {
		applier.offsetsChanged = false
		applier.emit(applier.newDigestChanged())
	}
	actions := applier.actions
	applier.actions = nil
	return actions
}

// Next implements decider.StateMachine.
func (applier *Applier) Next() time.Time { return applier.nextTick }

func (applier *Applier) handleTick(now time.Time) {
	applier.nextTick = now.Add(tickPeriod)
	applier.expireCommands(now)
	applier.catchUp(now)
	applier.writeSnapshots(now)
	// A full ring may have refused the previous DigestChanged.
	applier.emit(applier.newDigestChanged())
}

// newDigestChanged returns an event with the applied offsets of all streams.
func (applier *Applier) newDigestChanged() messenger.DigestChanged {
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

// isReady reports whether the state is recent enough to serve callers.
func (applier *Applier) isReady(now time.Time) bool {
	for _, stream := range applier.streams {
		// A copy of a peer's state suffices although it lacks the intents, because
		// keyed requests need the log in any case.
		if !stream.caughtUp && (stream.name != identifier.Intents || !applier.peers.copyApplied) {
			return false
		}
	}
	return now.Sub(applier.lastContactAt) <= contactTimeout
}

// notReadyError refuses a command that needs the applied state.
func notReadyError() *classifier.Error {
	return classifier.New(classifier.NotReady, "the node has not read the log").WithRetryAfter(time.Second)
}
