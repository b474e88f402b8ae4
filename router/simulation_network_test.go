package router

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

func (simulation *simulation) transmit(from *simNode, sent messenger.SendPeer) {
	to := simulation.node(sent.To)
	if simulation.chance(simulation.faults.unsent) {
		simulation.after(time.Millisecond, func() { simulation.step(from, messenger.PeerSendFailed{To: sent.To, Message: sent.Message}) })
		return
	}
	if from.identity.Region != to.identity.Region {
		if forward, ok := sent.Message.(messenger.Forward); ok {
			simulation.counters["crossings"]++
			simulation.crossedBytes += linkOverhead + len(forward.Call.Body)
		}
	}
	if _, ok := sent.Message.(messenger.Forward); ok {
		simulation.counters["attempts"]++
	}
	copies := 1
	if simulation.chance(simulation.faults.duplicated) {
		copies = 2
	}
	for range copies {
		if !simulation.chance(simulation.faults.lost) {
			simulation.after(simulation.delay(from, to), func() {
				simulation.step(to, messenger.PeerReceived{From: from.identity.Node, Message: sent.Message})
			})
		}
	}
}

// newResultDelivery returns a function that delivers the first result of a call to
// the process that made it. With the probability of faults.stale, it delivers the
// result of another attempt before.
func (simulation *simulation) newResultDelivery(node *simNode, called messenger.CallMinion) func(*classifier.Error, []byte, bool) {
	incarnation := node.identity.Incarnation
	delivered := false
	return func(err *classifier.Error, body []byte, leaving bool) {
		if delivered || node.identity.Incarnation != incarnation {
			return
		}
		delivered = true
		node.openAttempts[called.Minion]--
		if simulation.chance(simulation.faults.stale) {
			// The router must ignore the late answer of another attempt.
			simulation.step(node, messenger.MinionAnswered{Minion: called.Minion, Request: called.Request, Attempt: called.Attempt + 1, Body: []byte("stale"), Busy: -1})
		}
		simulation.step(node, messenger.MinionAnswered{Minion: called.Minion, Request: called.Request, Attempt: called.Attempt, Err: err, Body: body, Busy: -1, Leaving: leaving})
	}
}

// callMinion checks a dispatch and runs the request on the minion.
func (simulation *simulation) callMinion(node *simNode, called messenger.CallMinion) {
	node.openAttempts[called.Minion]++
	if node.openAttempts[called.Minion] > 8 {
		simulation.fail("%s has %d open attempts at %s", node.identity.Node, node.openAttempts[called.Minion], called.Minion)
	}
	if called.Timeout <= 0 {
		simulation.fail("%s dispatched %s past its deadline", node.identity.Node, called.Request)
	}
	if node.leavingMinions[called.Minion] {
		simulation.fail("%s dispatched to %s, which is leaving", node.identity.Node, called.Minion)
	}
	deliver := simulation.newResultDelivery(node, called)
	minion := simulation.minion(called.Minion)
	simulation.after(called.Timeout, func() { deliver(classifier.New(classifier.TimedOut, "no answer"), nil, false) })
	simulation.after(simulation.randomDuration(200*time.Microsecond, time.Millisecond), func() {
		switch {
		case minion.dead:
			deliver(classifier.New(classifier.MinionUnreachable, "dead"), nil, false)
		case minion.unresponsive:
		case minion.leaving:
			deliver(classifier.New(classifier.MinionBusy, "leaving"), nil, true)
		case minion.running >= minion.slots:
			simulation.busyRefusals++
			deliver(classifier.New(classifier.MinionBusy, "busy"), nil, false)
		default:
			minion.running++
			minion.served++
			origin := simulation.requests[called.Request]
			simulation.runs[origin.operation]++
			origin.runs++
			simulation.after(origin.runTime, func() {
				minion.running--
				if minion.dead || minion.unresponsive || simulation.chance(simulation.faults.dropResult) {
					return
				}
				if called.Call.Method == simulation.faults.brokenMethod {
					deliver(classifier.New(classifier.OutcomeUnknown, "the connection broke"), nil, false)
					return
				}
				deliver(nil, called.Call.Body, minion.leaving)
			})
		}
	})
}

func (simulation *simulation) answerSlots(node *simNode, query messenger.QuerySlots) {
	minion := simulation.minion(query.Minion)
	incarnation := node.identity.Incarnation
	simulation.after(simulation.randomDuration(200*time.Microsecond, time.Millisecond), func() {
		answer := messenger.SlotsAnswered{Minion: query.Minion, Slots: minion.slots, Busy: minion.running, Leaving: minion.leaving}
		if minion.dead || minion.unresponsive {
			answer.Err = classifier.New(classifier.MinionUnreachable, "dead")
		}
		simulation.after(simulation.randomDuration(200*time.Microsecond, time.Millisecond), func() {
			if node.identity.Incarnation == incarnation {
				simulation.step(node, answer)
			}
		})
	})
}

// appendIntent simulates the intents stream: the first intent of a key in the order
// of appends is the valid one.
func (simulation *simulation) appendIntent(node *simNode, appended messenger.AppendRecord) {
	intent := appended.Entry.Record.(messenger.Intent)
	incarnation := node.identity.Incarnation
	deliver := func(event messenger.Event) {
		simulation.after(simulation.randomDuration(time.Millisecond, 80*time.Millisecond), func() {
			if node.identity.Incarnation == incarnation {
				simulation.step(node, event)
			}
		})
	}
	failed := messenger.AppendFailed{Stream: identifier.Intents, ID: appended.Entry.ID, Code: classifier.LogUnavailable, Execution: classifier.Unknown}
	simulation.after(simulation.randomDuration(time.Millisecond, 40*time.Millisecond), func() {
		if simulation.logUnavailable {
			deliver(failed)
			return
		}
		if simulation.chance(simulation.faults.appendFails) {
			deliver(failed)
			if simulation.chance(50) {
				return
			}
		}
		if _, exists := simulation.intents[intent.Key]; !exists {
			simulation.intents[intent.Key] = intent
		}
		first := simulation.intents[intent.Key]
		deliver(messenger.IntentApplied{Key: intent.Key, Request: intent.Request, First: first.Request == intent.Request, Holder: first.Node})
	})
}
