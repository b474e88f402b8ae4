package router

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// outcomeRequestInterval is how often the request for the outcome of a key is
// repeated, because the request or its response may be lost.
const outcomeRequestInterval = 500 * time.Millisecond

// fingerprint returns a hash that distinguishes requests with the same key.
func fingerprint(command commander.Call) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var length [8]byte
	for _, part := range [][]byte{[]byte(command.Workspace), []byte(command.Service), []byte(command.Method), command.Body} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.Write(part)
	}
	return digest.Sum64()
}

// claimKey appends the intent of a keyed request. If this node has an earlier
// request with the key, the call gets the outcome of that request instead.
func (router *Router) claimKey(now time.Time, call *call) {
	router.outcomes.trim(now)
	key := call.command.Key
	if stored := router.outcomes.byKey[key]; stored != nil {
		router.joinKey(now, call, stored)
		return
	}
	if !router.breaker.allow(now) {
		router.refuseKeyed(now, call, classifier.LogUnavailable)
		return
	}
	router.outcomes.open(key, call.command.Workspace, fingerprint(call.command))
	call.holdsKey, call.awaitingIntent, call.intentAppendedAt = true, true, now
	appendDeadline := now.Add(router.parameters.IntentWait)
	if call.command.Deadline.Before(appendDeadline) {
		appendDeadline = call.command.Deadline
	}
	router.emit(messenger.AppendRecord{
		Stream: identifier.Intents,
		Entry: messenger.Entry{ID: string(call.request), Record: messenger.Intent{
			Key: key, Request: call.request,
			Node: router.identity.Node, Incarnation: router.identity.Incarnation,
		}},
		Deadline: appendDeadline,
	})
	// After a pause the appender's answer may be late, so this timer bounds the wait.
	call.pending = router.timers.set(now.Add(router.parameters.IntentWait), func(now time.Time) {
		router.refuseIntent(now, call, classifier.LogUnavailable)
	})
}

// joinKey answers a repeated request with the outcome of the first, or makes it
// wait for that outcome.
func (router *Router) joinKey(now time.Time, call *call, stored *outcome) {
	switch {
	case stored.workspace != call.command.Workspace || stored.fingerprint != fingerprint(call.command):
		router.finishCall(now, call, classifier.New(classifier.BadKey, "the key was used for another request"), nil)
	case stored.done:
		router.finishCall(now, call, stored.err, stored.body)
	case len(stored.waiters) >= maxWaiters:
		router.finishCall(now, call, classifier.New(classifier.InProgress, "the first request with this key has not ended").WithRetryAfter(time.Second), nil)
	default:
		call.keyHolder = router.identity.Node
		stored.waiters = append(stored.waiters, waiter{call.keyHolder, call.request})
	}
}

// handleIntentApplied starts a keyed request whose intent is the first of its key.
// Otherwise it requests the outcome from the holder of the first intent.
func (router *Router) handleIntentApplied(now time.Time, applied messenger.IntentApplied) {
	router.breaker.recordSuccess()
	call := router.calls[applied.Request]
	if call == nil || !call.awaitingIntent || call.command.Key != applied.Key {
		return
	}
	call.awaitingIntent = false
	router.timers.cancel(call.pending)
	call.pending = nil
	if applied.First {
		router.startAttempt(now, call)
		return
	}
	call.holdsKey = false
	unknown := classifier.New(classifier.OutcomeUnknown, "the key was used before, and the outcome of that request is unknown")
	router.notifyWaiters(applied.Key, router.outcomes.remove(applied.Key), unknown, nil)
	if applied.Holder == "" || applied.Holder == router.identity.Node {
		router.finishCall(now, call, unknown, nil)
		return
	}
	router.requestOutcome(now, call, applied.Holder)
}

// requestOutcome requests the outcome from the holder of a key, and repeats this
// until the call ends.
func (router *Router) requestOutcome(now time.Time, call *call, holder identifier.Node) {
	if _, ok := router.topology.members[holder]; !ok {
		router.finishCall(now, call, classifier.New(classifier.OutcomeUnknown, "node %s, which used the key first, is not a member", holder), nil)
		return
	}
	call.keyHolder = holder
	router.send(holder, messenger.OutcomeRequest{
		Key: call.command.Key, Request: call.request,
		Workspace: call.command.Workspace, Fingerprint: fingerprint(call.command),
	})
	call.pending = router.timers.set(now.Add(outcomeRequestInterval), func(now time.Time) { router.requestOutcome(now, call, holder) })
}

// handleOutcomeRequest answers a node that requests the outcome of a key.
func (router *Router) handleOutcomeRequest(now time.Time, from identifier.Node, request messenger.OutcomeRequest) {
	router.outcomes.trim(now)
	stored := router.outcomes.byKey[request.Key]
	response := messenger.OutcomeResponse{Key: request.Key, Request: request.Request}
	switch {
	case stored == nil:
		response.Err = classifier.New(classifier.OutcomeUnknown, "node %s does not store the outcome of the key", router.identity.Node)
	case stored.workspace != request.Workspace || stored.fingerprint != request.Fingerprint:
		response.Err = classifier.New(classifier.BadKey, "the key was used for another request")
	case stored.done:
		response.Err, response.Body = stored.err, stored.body
	default:
		added := waiter{from, request.Request}
		for _, waiter := range stored.waiters {
			if waiter == added {
				return
			}
		}
		if len(stored.waiters) < maxWaiters {
			stored.waiters = append(stored.waiters, added)
		}
		return
	}
	router.send(from, response)
}

// notifyWaiters sends an outcome to the requests that wait for it.
func (router *Router) notifyWaiters(key identifier.Key, waiters []waiter, err *classifier.Error, body []byte) {
	for _, waiter := range waiters {
		router.send(waiter.node, messenger.OutcomeResponse{Key: key, Request: waiter.request, Err: err, Body: body})
	}
}

// handleOutcomeResponse answers a repeated request with the outcome of the first.
func (router *Router) handleOutcomeResponse(now time.Time, from identifier.Node, response messenger.OutcomeResponse) {
	call := router.calls[response.Request]
	if call == nil || call.keyHolder != from || call.command.Key != response.Key {
		return
	}
	router.finishCall(now, call, response.Err, response.Body)
}

// handleAppendFailed refuses a keyed request whose intent could not be appended.
// The refusal as not run is correct even if the intent is in the log, because this
// node will not run the request.
func (router *Router) handleAppendFailed(now time.Time, failed messenger.AppendFailed) {
	call := router.calls[identifier.Request(failed.ID)]
	if call == nil || failed.Stream != identifier.Intents {
		return
	}
	router.refuseIntent(now, call, failed.Code)
}

func (router *Router) refuseIntent(now time.Time, call *call, code classifier.Code) {
	if !call.awaitingIntent {
		return
	}
	if code != classifier.RateLimited && code != classifier.RingFull {
		code = classifier.LogUnavailable
		router.breaker.recordFailure(now)
	}
	router.refuseKeyed(now, call, code)
}

func (router *Router) refuseKeyed(now time.Time, call *call, code classifier.Code) {
	router.finishCall(now, call, classifier.New(code, "the intent of the key could not be read back from the log").WithRetryAfter(time.Second), nil)
}
