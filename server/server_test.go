package server

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/decider"
	"corianderroad/exporter"
	"corianderroad/identifier"
	"corianderroad/loader"
	"corianderroad/messenger"
)

// newFullServer returns a server whose rings to the I/O duties are full.
func newFullServer() *Server {
	server := &Server{
		settings: &loader.Settings{Limits: loader.Limits{RingCapacity: 1}}, clock: time.Now,
		readiness: newReadiness(time.Now), members: &members{},
	}
	server.makeRings()
	server.sends = buffer.New[messenger.SendPeer]("sends", 0)
	for _, stream := range streams() {
		server.appends[stream] = buffer.New[messenger.AppendRecord]("appends", 0)
	}
	server.minionCalls = buffer.New[messenger.CallMinion]("minion-calls", 0)
	server.slotQueries = buffer.New[messenger.QuerySlots]("slot-asks", 0)
	server.workerCalls = buffer.New[messenger.CallWorker]("worker-calls", 0)
	return server
}

// TestRefusedActionsAreAnswered guards against a state machine that waits forever
// for the result of an action that a full ring refused, and against a refused
// action that is reported as possibly executed.
func TestRefusedActionsAreAnswered(t *testing.T) {
	c := quicktest.New(t)
	actionDispatcher := &actionDispatcher{server: newFullServer(), sender: decider.Routing}
	for _, action := range []messenger.Action{
		messenger.SendPeer{To: "b"},
		messenger.AppendRecord{Stream: identifier.Jobs, Entry: messenger.Entry{ID: "e"}},
		messenger.CallMinion{Minion: "m", Request: "r", Attempt: 2},
		messenger.QuerySlots{Minion: "m"},
		messenger.CallWorker{Worker: "w", Kind: messenger.ReserveTask, Sequence: 9},
	} {
		event, err := actionDispatcher.Dispatch(t.Context(), action)
		c.Assert(err, quicktest.IsNil)
		var refusal *classifier.Error
		switch event := event.(type) {
		case messenger.PeerSendFailed:
			c.Assert(event.To, quicktest.Equals, identifier.Node("b"))
			continue
		case messenger.AppendFailed:
			c.Assert(event.ID, quicktest.Equals, "e")
			c.Assert(event.Execution, quicktest.Equals, classifier.NotRun)
			continue
		case messenger.MinionAnswered:
			c.Assert(event.Attempt, quicktest.Equals, identifier.Attempt(2))
			refusal = event.Err
		case messenger.SlotsAnswered:
			refusal = event.Err
		case messenger.WorkerAnswered:
			c.Assert(event.Sequence, quicktest.Equals, uint64(9))
			refusal = event.Err
		}
		c.Assert(refusal, quicktest.IsNotNil, quicktest.Commentf("no answer to the refused action %T", action))
		c.Assert(refusal.Code, quicktest.Equals, classifier.RingFull)
	}
}

// TestInternalMessagesWaitForFullRing guards against an internal message that is
// lost because its receiver is slow, and against duties that block each other.
func TestInternalMessagesWaitForFullRing(t *testing.T) {
	c := quicktest.New(t)
	server := newFullServer()
	actionDispatcher := &actionDispatcher{server: server, sender: decider.Detection}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 2 {
		_, err := actionDispatcher.Dispatch(ctx, messenger.LoadChanged{})
		c.Assert(err, quicktest.IsNil)
	}
	c.Assert(server.events[decider.Detection].Refused(), quicktest.Equals, uint64(1))
	c.Assert(server.events[decider.Scheduling].Offer(messenger.Tick{}), quicktest.IsNil)
	_, err := actionDispatcher.Dispatch(ctx, messenger.ClaimApplied{})
	c.Assert(err, quicktest.Equals, context.Canceled)
}

// TestSupersededNodeLeaves guards against two processes that serve under the same
// name, and against a node that leaves because another node was superseded.
func TestSupersededNodeLeaves(t *testing.T) {
	c := quicktest.New(t)
	server := newFullServer()
	server.settings.Node, server.drain, server.exporter = "a", make(chan struct{}), exporter.New(nil, nil)
	actionDispatcher := &actionDispatcher{server: server, sender: decider.Detection}
	for _, transition := range []messenger.Transition{
		{Subject: "b", Reason: "superseded"}, {Subject: "a", Reason: "told-by-peer"}, {Subject: "a", Reason: "superseded"},
	} {
		select {
		case <-server.drain:
			t.Fatal("the node leaves too early")
		default:
		}
		_, err := actionDispatcher.Dispatch(t.Context(), transition)
		c.Assert(err, quicktest.IsNil)
	}
	<-server.drain
}

// TestReadiness guards against a node that reports that it is ready although it has
// no configuration, has no contact to the log or a peer, or leaves.
func TestReadiness(t *testing.T) {
	c := quicktest.New(t)
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	readiness := newReadiness(func() time.Time { return now })
	c.Assert(classifier.CodeOf(readiness.Check()), quicktest.Equals, classifier.NotReady)
	for _, stream := range streams() {
		readiness.recordContact(messenger.StreamEndReached{Stream: stream})
	}
	c.Assert(readiness.Check(), quicktest.IsNil)
	now = now.Add(staleAfter + time.Millisecond)
	c.Assert(classifier.CodeOf(readiness.Check()), quicktest.Equals, classifier.NotReady)
	readiness.recordContact(messenger.PeerReceived{From: "b"})
	c.Assert(readiness.Check(), quicktest.IsNil)
	readiness.draining.Store(true)
	c.Assert(classifier.CodeOf(readiness.Check()), quicktest.Equals, classifier.Leaving)
}
