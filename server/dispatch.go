package server

import (
	"context"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/decider"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// carrier takes the actions of one duty's machine to other duties.
type carrier struct {
	server *Server
	// own is the duty whose actions are carried. A duty must not wait for room
	// in its own ring, because only it makes room there.
	own decider.Duty
}

// Carry implements runner.Carrier.
func (carrier *carrier) Carry(ctx context.Context, action messenger.Action) (messenger.Event, error) {
	carrier.server.observe(action)
	if receivers := decider.Internal(action); len(receivers) > 0 {
		return nil, carrier.internal(ctx, receivers, action)
	}
	return carrier.external(ctx, action)
}

func (carrier *carrier) internal(ctx context.Context, receivers []decider.Duty, action messenger.Action) error {
	event := action.(messenger.Event)
	for _, receiver := range receivers {
		ring := carrier.server.events[receiver]
		if isRepeated(action) {
			_ = ring.Offer(event) // the ring counts the refusal, and the sender repeats the value within a second
			continue
		}
		if err := ring.Put(ctx, event); err != nil {
			return err
		}
	}
	return nil
}

// isRepeated reports whether the newest value of a message replaces earlier
// ones and its sender repeats it, so that a full ring need not hold up the
// sender. Without this, duties that send to each other could block each other.
func isRepeated(action messenger.Action) bool {
	switch action.(type) {
	case messenger.LoadChanged, messenger.DigestChanged, messenger.HeartbeatReceived:
		return true
	default:
		return false
	}
}

func (carrier *carrier) external(ctx context.Context, action messenger.Action) (messenger.Event, error) {
	server := carrier.server
	switch action := action.(type) {
	case messenger.SendPeer:
		if server.sends.Offer(action) != nil {
			return messenger.PeerSendFailed{To: action.To, Message: action.Message}, nil
		}
	case messenger.AppendRecord:
		return appendRefused(action, server.appends[action.Stream]), nil
	case messenger.StreamAdvanced:
		_ = server.advances[action.Stream].Offer(action) // the follower reads what it has not skipped
	case messenger.CallMinion:
		if err := server.minionCalls.Offer(action); err != nil {
			return messenger.MinionAnswered{
				Minion: action.Minion, Request: action.Request, Attempt: action.Attempt, Err: classifier.Wrap(err), Busy: -1,
			}, nil
		}
	case messenger.QuerySlots:
		if err := server.slotAsks.Offer(action); err != nil {
			return messenger.SlotsAnswered{Minion: action.Minion, Err: classifier.Wrap(err)}, nil
		}
	case messenger.CallWorker:
		if err := server.workerCalls.Offer(action); err != nil {
			return action.Refusal(classifier.Wrap(err)), nil
		}
	case messenger.CallAnswered:
		return nil, server.calls.Resolve(ctx, action.Request, action)
	case messenger.CommandAnswered:
		return nil, server.commands.Resolve(ctx, action.Request, action)
	case messenger.Count:
		server.exporter.Count(action)
	case messenger.Transition:
		server.exporter.Count(messenger.Count{Counter: messenger.Transitions, Reason: action.Reason})
		server.logTransition(carrier.own, action)
		if action.Reason == superseded && action.Subject == string(server.settings.Node) {
			server.Drain()
		}
	}
	return nil, nil
}

// superseded is the reason of a node's own transition when a later process has
// taken its name. The earlier process then stops gracefully.
const superseded = "superseded"

func appendRefused(action messenger.AppendRecord, ring *buffer.Ring[messenger.AppendRecord]) messenger.Event {
	if ring.Offer(action) == nil {
		return nil
	}
	return messenger.AppendFailed{
		Stream: action.Stream, ID: action.Entry.ID, Code: classifier.RingFull, Execution: classifier.NotRun,
	}
}

// sink takes events from I/O duties to the machines.
type sink struct {
	server *Server
}

// Deliver hands on an event and waits for room.
func (sink sink) Deliver(ctx context.Context, event messenger.Event) error {
	sink.server.readiness.hear(event)
	if read, ok := event.(messenger.StreamEndReached); ok && read.Stream == identifier.Configuration {
		sink.server.authenticator.MarkRead()
	}
	for _, duty := range decider.Receivers(event) {
		if err := sink.server.events[duty].Put(ctx, event); err != nil {
			return err
		}
	}
	return nil
}

// Offer hands on an event of a caller without waiting. Such an event concerns
// one duty. The error has code RingFull.
func (sink sink) Offer(event messenger.Event) error {
	for _, duty := range decider.Receivers(event) {
		if err := sink.server.events[duty].Offer(event); err != nil {
			return err
		}
	}
	return nil
}

// streams lists the log's streams in a fixed order.
func streams() []identifier.Stream {
	return []identifier.Stream{identifier.Configuration, identifier.Jobs, identifier.Intents}
}
