package server

import (
	"context"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/decider"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// actionDispatcher passes the actions of one duty's state machine to other duties.
type actionDispatcher struct {
	server *Server
	// sender is the duty whose actions are dispatched. A duty must not wait for
	// space in its own ring, because only the duty itself removes entries from it.
	sender decider.Duty
}

// Dispatch implements runner.ActionDispatcher.
func (actionDispatcher *actionDispatcher) Dispatch(ctx context.Context, action messenger.Action) (messenger.Event, error) {
	actionDispatcher.server.updateHandlerState(action)
	if receivers := decider.InternalReceivers(action); len(receivers) > 0 {
		return nil, actionDispatcher.dispatchInternal(ctx, receivers, action)
	}
	return actionDispatcher.dispatchExternal(ctx, action)
}

func (actionDispatcher *actionDispatcher) dispatchInternal(ctx context.Context, receivers []decider.Duty, action messenger.Action) error {
	event := action.(messenger.Event)
	for _, receiver := range receivers {
		ring := actionDispatcher.server.events[receiver]
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

// isRepeated reports whether the sender repeats a message and its newest value
// replaces earlier ones. A full ring may refuse such a message. If duties waited for
// space in each other's rings instead, they could block each other.
func isRepeated(action messenger.Action) bool {
	switch action.(type) {
	case messenger.LoadChanged, messenger.DigestChanged, messenger.HeartbeatReceived:
		return true
	default:
		return false
	}
}

func (actionDispatcher *actionDispatcher) dispatchExternal(ctx context.Context, action messenger.Action) (messenger.Event, error) {
	server := actionDispatcher.server
	switch action := action.(type) {
	case messenger.SendPeer:
		if server.sends.Offer(action) != nil {
			return messenger.PeerSendFailed{To: action.To, Message: action.Message}, nil
		}
	case messenger.AppendRecord:
		return offerAppend(action, server.appends[action.Stream]), nil
	case messenger.StreamAdvanced:
		_ = server.advances[action.Stream].Offer(action) // without this message the follower reads these records itself
	case messenger.CallMinion:
		if err := server.minionCalls.Offer(action); err != nil {
			return messenger.MinionAnswered{
				Minion: action.Minion, Request: action.Request, Attempt: action.Attempt, Err: classifier.Wrap(err), Busy: -1,
			}, nil
		}
	case messenger.QuerySlots:
		if err := server.slotQueries.Offer(action); err != nil {
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
		server.logTransition(actionDispatcher.sender, action)
		if action.Reason == reasonSuperseded && action.Subject == string(server.settings.Node) {
			server.Drain()
		}
	}
	return nil, nil
}

// reasonSuperseded is the reason of a node's own transition when a later process
// runs under its name. The earlier process then stops gracefully.
const reasonSuperseded = "superseded"

// offerAppend queues an append. If the ring is full, it returns the event that
// reports the failed append.
func offerAppend(action messenger.AppendRecord, ring *buffer.Ring[messenger.AppendRecord]) messenger.Event {
	if ring.Offer(action) == nil {
		return nil
	}
	return messenger.AppendFailed{
		Stream: action.Stream, ID: action.Entry.ID, Code: classifier.RingFull, Execution: classifier.NotRun,
	}
}

// eventSink passes events from I/O duties to the state machines.
type eventSink struct {
	server *Server
}

// Deliver passes on an event. It waits while a ring is full.
func (eventSink eventSink) Deliver(ctx context.Context, event messenger.Event) error {
	eventSink.server.readiness.recordContact(event)
	if read, ok := event.(messenger.StreamEndReached); ok && read.Stream == identifier.Configuration {
		eventSink.server.authenticator.MarkConfigurationRead()
	}
	for _, duty := range decider.EventReceivers(event) {
		if err := eventSink.server.events[duty].Put(ctx, event); err != nil {
			return err
		}
	}
	return nil
}

// Offer passes on an event of a caller without waiting. Such an event has one
// receiver. The error has code RingFull.
func (eventSink eventSink) Offer(event messenger.Event) error {
	for _, duty := range decider.EventReceivers(event) {
		if err := eventSink.server.events[duty].Offer(event); err != nil {
			return err
		}
	}
	return nil
}

// streams returns the log's streams in a fixed order.
func streams() []identifier.Stream {
	return []identifier.Stream{identifier.Configuration, identifier.Jobs, identifier.Intents}
}
