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
func singleOwner(busy int) (*world, *Router) {
	w := newWorld(1, faults{}, 2, 1, twoRegions[:1], nil)
	w.nodes[1].up = false
	w.minions[0].running = busy
	w.showMembers(w.nodes[0])
	w.run(epoch.Add(time.Second))
	return w, w.nodes[0].router
}

// forward returns an attempt that comes from another node.
func forward(w *world, request identifier.Request, sent time.Time, life identifier.Incarnation) messenger.PeerReceived {
	return messenger.PeerReceived{From: "n01", Message: messenger.Forward{
		Request: request, Attempt: 1, OwnerIncarnation: life, SentAt: sent,
		Call: commander.Call{Workspace: "a", Service: "rota", Method: "swap", Deadline: w.now.Add(2 * time.Second)},
	}}
}

func has[T messenger.Action](actions []messenger.Action) (found []T) {
	for _, action := range actions {
		if typed, ok := action.(T); ok {
			found = append(found, typed)
		}
	}
	return found
}

// TestStaleForward guards against a run of a copy of a Forward that was meant
// for an earlier process of the owner or that is older than its record.
func TestStaleForward(t *testing.T) {
	w, router := singleOwner(0)
	life := w.nodes[0].identity.Incarnation
	actions := router.Step(w.now, forward(w, "q", w.now, life-1))
	quicktest.Assert(t, has[messenger.CallMinion](actions), quicktest.HasLen, 0)
	answer := has[messenger.SendPeer](actions)[0].Message.(messenger.ForwardAnswer)
	quicktest.Assert(t, answer.Err.Code, quicktest.Equals, classifier.OutcomeUnknown)
	late := router.Step(w.now, forward(w, "q", w.now.Add(-2*maxTransit), life))
	quicktest.Assert(t, has[messenger.CallMinion](late), quicktest.HasLen, 0)
	quicktest.Assert(t, has[messenger.SendPeer](late), quicktest.HasLen, 0)
	quicktest.Assert(t, has[messenger.CallMinion](router.Step(w.now, forward(w, "q", w.now, w.nodes[0].identity.Incarnation))), quicktest.HasLen, 1)
}

// TestResume guards against a node that dispatches, as the first thing after a
// pause, what has passed its deadline meanwhile.
func TestResume(t *testing.T) {
	w, router := singleOwner(8)
	quicktest.Assert(t, has[messenger.CallMinion](router.Step(w.now, forward(w, "q", w.now, w.nodes[0].identity.Incarnation))), quicktest.HasLen, 0)
	minion := router.sortedMinions()[0]
	minion.asked = true
	actions := router.Step(w.now.Add(3*time.Second), messenger.SlotsAnswered{Minion: minion.name, Slots: 8})
	quicktest.Assert(t, has[messenger.CallMinion](actions), quicktest.HasLen, 0)
	answer := has[messenger.SendPeer](actions)[0].Message.(messenger.ForwardAnswer)
	quicktest.Assert(t, answer.Err.Code, quicktest.Equals, classifier.DeadlineUnmet)
}

// TestSilentMinion guards against a minion that reports its slots but answers no
// request, and that is given one after the other.
func TestSilentMinion(t *testing.T) {
	w, router := singleOwner(0)
	minion := router.sortedMinions()[0]
	for number := range maxSilent {
		request := identifier.Request(fmt.Sprint("q", number))
		called := has[messenger.CallMinion](router.Step(w.now, forward(w, request, w.now, w.nodes[0].identity.Incarnation)))
		quicktest.Assert(t, called, quicktest.HasLen, 1)
		w.now = w.now.Add(2 * time.Second)
		router.Step(w.now, messenger.MinionAnswered{
			Minion: minion.name, Request: called[0].Request, Attempt: called[0].Attempt, Err: classifier.New(classifier.TimedOut, ""),
		})
		router.Step(w.now, messenger.SlotsAnswered{Minion: minion.name, Slots: 8})
	}
	quicktest.Assert(t, minion.state, quicktest.Equals, quarantined)
}

// TestLostOwner guards against an idempotent request that is not tried again
// when its owner dies, and against "not run" when the last attempt was refused
// but an earlier one may have run.
func TestLostOwner(t *testing.T) {
	w, router := singleOwner(0)
	w.nodes[1].up = true
	w.showMembers(w.nodes[0])
	// The other node owns the minion now.
	call := commander.Call{Workspace: "a", Service: "rota", Method: "look", Deadline: w.now.Add(2 * time.Second)}
	sent := has[messenger.SendPeer](router.Step(w.now, messenger.CallArrived{Request: "r", Call: call}))
	quicktest.Assert(t, sent, quicktest.HasLen, 1)
	w.nodes[1].up = false
	router.Step(w.now, messenger.MembersChanged{Members: []messenger.Member{{Identity: w.nodes[0].identity, State: messenger.Alive}}})
	router.Step(w.now, messenger.SlotsAnswered{Minion: "m00", Slots: 8})
	w.now = w.now.Add(100 * time.Millisecond)
	called := has[messenger.CallMinion](router.Step(w.now, messenger.Tick{}))
	quicktest.Assert(t, called, quicktest.HasLen, 1)
	w.now = w.now.Add(1900 * time.Millisecond)
	refused := router.Step(w.now.Add(-time.Millisecond), messenger.MinionAnswered{
		Minion: "m00", Request: "r", Attempt: called[0].Attempt, Err: classifier.New(classifier.MinionBusy, ""),
	})
	quicktest.Assert(t, has[messenger.CallAnswered](refused)[0].Err.Code, quicktest.Equals, classifier.OutcomeUnknown)
}

// TestKeyedRequestsAreRefusedEarlyInAnOutage guards against callers that each
// wait out the time of an intent while the log is known not to answer, and
// against a node that does not notice that the log answers again.
func TestKeyedRequestsAreRefusedEarlyInAnOutage(t *testing.T) {
	c := quicktest.New(t)
	w, router := singleOwner(0)
	now := w.now
	number := 0
	call := func(at time.Time) (identifier.Request, []messenger.Action) {
		number++
		request := identifier.Request(fmt.Sprintf("q%d", number))
		return request, router.Step(at, messenger.CallArrived{Request: request, Call: commander.Call{
			Workspace: "a", Service: "rota", Method: "swap", Key: w.key(number), Deadline: at.Add(20 * time.Second),
		}})
	}
	first, actions := call(now)
	c.Assert(has[messenger.AppendRecord](actions), quicktest.HasLen, 1)
	failed := messenger.AppendFailed{Stream: identifier.Intents, ID: string(first), Code: classifier.LogUnavailable}
	c.Assert(has[messenger.CallAnswered](router.Step(now, failed)), quicktest.HasLen, 1)
	_, actions = call(now)
	answers := has[messenger.CallAnswered](actions)
	c.Assert(answers, quicktest.HasLen, 1)
	c.Assert(answers[0].Err.Code, quicktest.Equals, classifier.LogUnavailable)
	c.Assert(has[messenger.AppendRecord](actions), quicktest.HasLen, 0)
	// The next request expires before its intent has failed.
	expiring, actions := call(now.Add(probeInterval))
	c.Assert(has[messenger.AppendRecord](actions), quicktest.HasLen, 1)
	router.Step(now.Add(probeInterval), messenger.IntentApplied{Key: w.key(number), Request: expiring, First: true})
	number++
	expired := commander.Call{
		Workspace: "a", Service: "rota", Method: "swap", Key: w.key(number), Deadline: now.Add(probeInterval + logPatience),
	}
	router.Step(now.Add(probeInterval), messenger.CallArrived{Request: "expired", Call: expired})
	now = now.Add(probeInterval + logPatience)
	answers = has[messenger.CallAnswered](router.Step(now, messenger.Tick{}))
	c.Assert(answers, quicktest.HasLen, 1)
	c.Assert(answers[0].Err.Code, quicktest.Equals, classifier.LogUnavailable)
	_, actions = call(now)
	c.Assert(has[messenger.AppendRecord](actions), quicktest.HasLen, 0)
	probe, actions := call(now.Add(probeInterval))
	c.Assert(has[messenger.AppendRecord](actions), quicktest.HasLen, 1)
	router.Step(now.Add(probeInterval), messenger.IntentApplied{Key: w.key(number), Request: probe, First: true})
	_, actions = call(now.Add(probeInterval))
	c.Assert(has[messenger.AppendRecord](actions), quicktest.HasLen, 1)
}

// TestDeadOwnerExhaustsNoBudget guards against requests that are refused when a
// node dies, although other owners could serve them: the attempts that could not
// be sent once used up the budget of retries.
func TestDeadOwnerExhaustsNoBudget(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(1, faults{}, 2, 8, twoRegions[:1], nil)
	w.showMembers(w.nodes[0])
	w.run(epoch.Add(time.Second))
	router := w.nodes[0].router
	refused := 0
	for number := range 200 {
		request := identifier.Request(fmt.Sprintf("q%d", number))
		actions := router.Step(w.now, messenger.CallArrived{Request: request, Call: commander.Call{
			Workspace: "a", Service: "rota", Method: "swap", Deadline: w.now.Add(20 * time.Second),
		}})
		for _, send := range has[messenger.SendPeer](actions) {
			if forward, ok := send.Message.(messenger.Forward); ok {
				refused += len(has[messenger.CallAnswered](router.Step(w.now, messenger.PeerSendFailed{To: send.To, Message: forward})))
			}
		}
	}
	c.Assert(refused, quicktest.Equals, 0)
}
