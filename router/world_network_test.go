package router

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

func (w *world) transmit(from *simNode, sent messenger.SendPeer) {
	to := w.node(sent.To)
	if w.chance(w.faults.unsent) {
		w.after(time.Millisecond, func() { w.step(from, messenger.PeerSendFailed{To: sent.To, Message: sent.Message}) })
		return
	}
	if from.identity.Region != to.identity.Region {
		if forward, ok := sent.Message.(messenger.Forward); ok {
			w.counts["crossings"]++
			w.bytes += linkOverhead + len(forward.Call.Body)
		}
	}
	if _, ok := sent.Message.(messenger.Forward); ok {
		w.counts["attempts"]++
	}
	copies := 1
	if w.chance(w.faults.duplicated) {
		copies = 2
	}
	for range copies {
		if !w.chance(w.faults.lost) {
			w.after(w.delay(from, to), func() {
				w.step(to, messenger.PeerReceived{From: from.identity.Node, Message: sent.Message})
			})
		}
	}
}

// endOnce returns a function that delivers the first result of a call to the
// process that made it, sometimes after that of another attempt.
func (w *world) endOnce(node *simNode, called messenger.CallMinion) func(*classifier.Error, []byte, bool) {
	life := node.identity.Incarnation
	ended := false
	return func(err *classifier.Error, body []byte, leaving bool) {
		if ended || node.identity.Incarnation != life {
			return
		}
		ended = true
		node.open[called.Minion]--
		if w.chance(w.faults.stale) {
			// The late answer of another attempt must reach nobody.
			w.step(node, messenger.MinionAnswered{Minion: called.Minion, Request: called.Request, Attempt: called.Attempt + 1, Body: []byte("stale"), Busy: -1})
		}
		w.step(node, messenger.MinionAnswered{Minion: called.Minion, Request: called.Request, Attempt: called.Attempt, Err: err, Body: body, Busy: -1, Leaving: leaving})
	}
}

// callMinion checks a dispatch, and runs the request on the minion.
func (w *world) callMinion(node *simNode, called messenger.CallMinion) {
	node.open[called.Minion]++
	if node.open[called.Minion] > 8 {
		w.fail("%s has %d open attempts at %s", node.identity.Node, node.open[called.Minion], called.Minion)
	}
	if called.Timeout <= 0 {
		w.fail("%s dispatched %s past its deadline", node.identity.Node, called.Request)
	}
	if node.leaving[called.Minion] {
		w.fail("%s dispatched to %s, which leaves", node.identity.Node, called.Minion)
	}
	end := w.endOnce(node, called)
	minion := w.minion(called.Minion)
	w.after(called.Timeout, func() { end(classifier.New(classifier.TimedOut, "no answer"), nil, false) })
	w.after(w.between(200*time.Microsecond, time.Millisecond), func() {
		switch {
		case minion.dead:
			end(classifier.New(classifier.MinionUnreachable, "dead"), nil, false)
		case minion.silent:
		case minion.leaving:
			end(classifier.New(classifier.MinionBusy, "leaving"), nil, true)
		case minion.running >= minion.slots:
			w.busy++
			end(classifier.New(classifier.MinionBusy, "busy"), nil, false)
		default:
			minion.running++
			origin := w.requests[called.Request]
			w.runs[origin.op]++
			origin.ran++
			w.after(origin.runTime, func() {
				minion.running--
				if minion.dead || minion.silent || w.chance(w.faults.forget) {
					return
				}
				if called.Call.Method == w.faults.broken {
					end(classifier.New(classifier.OutcomeUnknown, "connection broke"), nil, false)
					return
				}
				end(nil, called.Call.Body, minion.leaving)
			})
		}
	})
}

func (w *world) askSlots(node *simNode, asked messenger.QuerySlots) {
	minion := w.minion(asked.Minion)
	life := node.identity.Incarnation
	w.after(w.between(200*time.Microsecond, time.Millisecond), func() {
		answer := messenger.SlotsAnswered{Minion: asked.Minion, Slots: minion.slots, Busy: minion.running, Leaving: minion.leaving}
		if minion.dead || minion.silent {
			answer.Err = classifier.New(classifier.MinionUnreachable, "dead")
		}
		w.after(w.between(200*time.Microsecond, time.Millisecond), func() {
			if node.identity.Incarnation == life {
				w.step(node, answer)
			}
		})
	})
}

// append is the intents stream: the order of appends decides which is the first.
func (w *world) append(node *simNode, appended messenger.AppendRecord) {
	intent := appended.Entry.Record.(messenger.Intent)
	life := node.identity.Incarnation
	again := func(event messenger.Event) {
		w.after(w.between(time.Millisecond, 80*time.Millisecond), func() {
			if node.identity.Incarnation == life {
				w.step(node, event)
			}
		})
	}
	failed := messenger.AppendFailed{Stream: identifier.Intents, ID: appended.Entry.ID, Code: classifier.LogUnavailable, Execution: classifier.Unknown}
	w.after(w.between(time.Millisecond, 40*time.Millisecond), func() {
		if w.logDown {
			again(failed)
			return
		}
		if w.chance(w.faults.appendFails) {
			again(failed)
			if w.chance(50) {
				return
			}
		}
		if _, taken := w.intents[intent.Key]; !taken {
			w.intents[intent.Key] = intent
		}
		first := w.intents[intent.Key]
		again(messenger.IntentApplied{Key: intent.Key, Request: intent.Request, First: first.Request == intent.Request, Holder: first.Node})
	})
}
