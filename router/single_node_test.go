package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// singleOwner returns a node that owns one minion with the given busy slots.
func singleOwner(busy int) (*simulation, *Router) {
	simulation := newSimulation(1, faults{}, 2, 1, twoRegions[:1], nil)
	simulation.nodes[1].up = false
	simulation.minions[0].running = busy
	simulation.sendMembers(simulation.nodes[0])
	simulation.runUntil(epoch.Add(time.Second))
	return simulation, simulation.nodes[0].router
}

// forward returns an attempt that another node sends.
func forward(simulation *simulation, request identifier.Request, sent time.Time, incarnation identifier.Incarnation) messenger.PeerReceived {
	return messenger.PeerReceived{From: "n01", Message: messenger.Forward{
		Request: request, Attempt: 1, OwnerIncarnation: incarnation, SentAt: sent,
		Call: commander.Call{Workspace: "a", Service: "rota", Method: "swap", Deadline: simulation.now.Add(2 * time.Second)},
	}}
}

// actionsOf returns the actions of one type.
func actionsOf[T messenger.Action](actions []messenger.Action) (found []T) {
	for _, action := range actions {
		if typed, ok := action.(T); ok {
			found = append(found, typed)
		}
	}
	return found
}

// TestStaleForward guards against running a copy of a Forward that was sent to an
// earlier incarnation of the owner, or that is older than the attempt history.
func TestStaleForward(t *testing.T) {
	simulation, router := singleOwner(0)
	incarnation := simulation.nodes[0].identity.Incarnation
	actions := router.Step(simulation.now, forward(simulation, "q", simulation.now, incarnation-1))
	quicktest.Assert(t, actionsOf[messenger.CallMinion](actions), quicktest.HasLen, 0)
	answer := actionsOf[messenger.SendPeer](actions)[0].Message.(messenger.ForwardAnswer)
	quicktest.Assert(t, answer.Err.Code, quicktest.Equals, classifier.OutcomeUnknown)
	late := router.Step(simulation.now, forward(simulation, "q", simulation.now.Add(-2*maxForwardAge), incarnation))
	quicktest.Assert(t, actionsOf[messenger.CallMinion](late), quicktest.HasLen, 0)
	quicktest.Assert(t, actionsOf[messenger.SendPeer](late), quicktest.HasLen, 0)
	quicktest.Assert(t, actionsOf[messenger.CallMinion](router.Step(simulation.now, forward(simulation, "q", simulation.now, simulation.nodes[0].identity.Incarnation))), quicktest.HasLen, 1)
}

// TestExpiredAttemptIsRejectedAfterPause guards against a node that, after a pause,
// dispatches an attempt whose deadline passed during the pause.
func TestExpiredAttemptIsRejectedAfterPause(t *testing.T) {
	simulation, router := singleOwner(8)
	quicktest.Assert(t, actionsOf[messenger.CallMinion](router.Step(simulation.now, forward(simulation, "q", simulation.now, simulation.nodes[0].identity.Incarnation))), quicktest.HasLen, 0)
	minion := router.sortedMinions()[0]
	minion.queryPending = true
	actions := router.Step(simulation.now.Add(3*time.Second), messenger.SlotsAnswered{Minion: minion.name, Slots: 8})
	quicktest.Assert(t, actionsOf[messenger.CallMinion](actions), quicktest.HasLen, 0)
	answer := actionsOf[messenger.SendPeer](actions)[0].Message.(messenger.ForwardAnswer)
	quicktest.Assert(t, answer.Err.Code, quicktest.Equals, classifier.DeadlineUnmet)
}

// TestUnresponsiveMinionIsQuarantined guards against continued dispatch to a minion
// that reports its slots but answers no request.
func TestUnresponsiveMinionIsQuarantined(t *testing.T) {
	simulation, router := singleOwner(0)
	minion := router.sortedMinions()[0]
	for number := range maxTimeouts {
		request := identifier.Request(fmt.Sprint("q", number))
		called := actionsOf[messenger.CallMinion](router.Step(simulation.now, forward(simulation, request, simulation.now, simulation.nodes[0].identity.Incarnation)))
		quicktest.Assert(t, called, quicktest.HasLen, 1)
		simulation.now = simulation.now.Add(2 * time.Second)
		router.Step(simulation.now, messenger.MinionAnswered{
			Minion: minion.name, Request: called[0].Request, Attempt: called[0].Attempt, Err: classifier.New(classifier.TimedOut, ""),
		})
		router.Step(simulation.now, messenger.SlotsAnswered{Minion: minion.name, Slots: 8})
	}
	quicktest.Assert(t, minion.state, quicktest.Equals, quarantined)
}

// TestLostOwner guards against an idempotent request that is not retried when its
// owner dies, and against "not run" when the last attempt was refused but an earlier
// one may have run.
func TestLostOwner(t *testing.T) {
	simulation, router := singleOwner(0)
	simulation.nodes[1].up = true
	simulation.sendMembers(simulation.nodes[0])
	// Now the other node owns the minion.
	call := commander.Call{Workspace: "a", Service: "rota", Method: "look", Deadline: simulation.now.Add(2 * time.Second)}
	sent := actionsOf[messenger.SendPeer](router.Step(simulation.now, messenger.CallArrived{Request: "r", Call: call}))
	quicktest.Assert(t, sent, quicktest.HasLen, 1)
	simulation.nodes[1].up = false
	router.Step(simulation.now, messenger.MembersChanged{Members: []messenger.Member{{Identity: simulation.nodes[0].identity, State: messenger.Alive}}})
	router.Step(simulation.now, messenger.SlotsAnswered{Minion: "m00", Slots: 8})
	simulation.now = simulation.now.Add(100 * time.Millisecond)
	called := actionsOf[messenger.CallMinion](router.Step(simulation.now, messenger.Tick{}))
	quicktest.Assert(t, called, quicktest.HasLen, 1)
	simulation.now = simulation.now.Add(1900 * time.Millisecond)
	refused := router.Step(simulation.now.Add(-time.Millisecond), messenger.MinionAnswered{
		Minion: "m00", Request: "r", Attempt: called[0].Attempt, Err: classifier.New(classifier.MinionBusy, ""),
	})
	quicktest.Assert(t, actionsOf[messenger.CallAnswered](refused)[0].Err.Code, quicktest.Equals, classifier.OutcomeUnknown)
}

// TestKeyedRequestsAreRefusedEarlyInAnOutage guards against callers that each wait
// for the full intent timeout while the log does not respond, and against a node that
// does not detect that the log responds again.
func TestKeyedRequestsAreRefusedEarlyInAnOutage(t *testing.T) {
	c := quicktest.New(t)
	simulation, router := singleOwner(0)
	now := simulation.now
	number := 0
	call := func(at time.Time) (identifier.Request, []messenger.Action) {
		number++
		request := identifier.Request(fmt.Sprintf("q%d", number))
		return request, router.Step(at, messenger.CallArrived{Request: request, Call: commander.Call{
			Workspace: "a", Service: "rota", Method: "swap", Key: simulation.newKey(number), Deadline: at.Add(20 * time.Second),
		}})
	}
	first, actions := call(now)
	c.Assert(actionsOf[messenger.AppendRecord](actions), quicktest.HasLen, 1)
	failed := messenger.AppendFailed{Stream: identifier.Intents, ID: string(first), Code: classifier.LogUnavailable}
	c.Assert(actionsOf[messenger.CallAnswered](router.Step(now, failed)), quicktest.HasLen, 1)
	_, actions = call(now)
	answers := actionsOf[messenger.CallAnswered](actions)
	c.Assert(answers, quicktest.HasLen, 1)
	c.Assert(answers[0].Err.Code, quicktest.Equals, classifier.LogUnavailable)
	c.Assert(actionsOf[messenger.AppendRecord](actions), quicktest.HasLen, 0)
	// The next request expires before the append of its intent fails.
	expiring, actions := call(now.Add(probeInterval))
	c.Assert(actionsOf[messenger.AppendRecord](actions), quicktest.HasLen, 1)
	router.Step(now.Add(probeInterval), messenger.IntentApplied{Key: simulation.newKey(number), Request: expiring, First: true})
	number++
	expired := commander.Call{
		Workspace: "a", Service: "rota", Method: "swap", Key: simulation.newKey(number), Deadline: now.Add(probeInterval + slowIntentThreshold),
	}
	router.Step(now.Add(probeInterval), messenger.CallArrived{Request: "expired", Call: expired})
	now = now.Add(probeInterval + slowIntentThreshold)
	answers = actionsOf[messenger.CallAnswered](router.Step(now, messenger.Tick{}))
	c.Assert(answers, quicktest.HasLen, 1)
	c.Assert(answers[0].Err.Code, quicktest.Equals, classifier.LogUnavailable)
	_, actions = call(now)
	c.Assert(actionsOf[messenger.AppendRecord](actions), quicktest.HasLen, 0)
	probe, actions := call(now.Add(probeInterval))
	c.Assert(actionsOf[messenger.AppendRecord](actions), quicktest.HasLen, 1)
	router.Step(now.Add(probeInterval), messenger.IntentApplied{Key: simulation.newKey(number), Request: probe, First: true})
	_, actions = call(now.Add(probeInterval))
	c.Assert(actionsOf[messenger.AppendRecord](actions), quicktest.HasLen, 1)
}

// TestDeadOwnerDoesNotExhaustRetryBudget guards against requests that are refused when
// a node dies although other owners could serve them. It happened when attempts that
// could not be sent were charged to the retry budget.
func TestDeadOwnerDoesNotExhaustRetryBudget(t *testing.T) {
	c := quicktest.New(t)
	simulation := newSimulation(1, faults{}, 2, 8, twoRegions[:1], nil)
	simulation.sendMembers(simulation.nodes[0])
	simulation.runUntil(epoch.Add(time.Second))
	router := simulation.nodes[0].router
	refused := 0
	for number := range 200 {
		request := identifier.Request(fmt.Sprintf("q%d", number))
		actions := router.Step(simulation.now, messenger.CallArrived{Request: request, Call: commander.Call{
			Workspace: "a", Service: "rota", Method: "swap", Deadline: simulation.now.Add(20 * time.Second),
		}})
		for _, send := range actionsOf[messenger.SendPeer](actions) {
			if forward, ok := send.Message.(messenger.Forward); ok {
				refused += len(actionsOf[messenger.CallAnswered](router.Step(simulation.now, messenger.PeerSendFailed{To: send.To, Message: forward})))
			}
		}
	}
	c.Assert(refused, quicktest.Equals, 0)
}
