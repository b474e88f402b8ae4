package router

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// deadlineGrace is how long after the deadline an entry waits for the owner's
// answer, so that a request that never started is not reported as unknown.
const deadlineGrace = 150 * time.Millisecond

// call is an open request of a caller at its entry node.
type call struct {
	request identifier.Request
	command commander.Call
	// holdsKey is true if this call determines the outcome of its key.
	holdsKey bool
	// awaitingIntent is true until the intent has been read back from the log.
	awaitingIntent bool
	// intentAppendedAt is when the append of the intent was requested.
	intentAppendedAt time.Time
	// abandoned is true if the caller disconnected. A keyed request continues, so
	// that a repetition gets its outcome.
	abandoned bool
	// mayHaveRun is true if an earlier attempt may have run.
	mayHaveRun bool
	attempt    identifier.Attempt
	// owner is the node of the open attempt, empty if there is none.
	owner identifier.Node
	// avoided are the owners of failed attempts, refusal is the last failure.
	avoided []identifier.Node
	refusal *classifier.Error
	// keyHolder is the node that provides the outcome of the key, empty if this
	// call does not wait for the outcome of another request.
	keyHolder identifier.Node
	deadline  *timer
	pending   *timer
}

// handleCallArrived checks and opens a caller's request.
func (router *Router) handleCallArrived(now time.Time, event messenger.CallArrived) {
	method, refusal := router.catalogue.findMethod(event.Call)
	switch {
	case router.draining:
		refusal = classifier.New(classifier.Leaving, "node %s is leaving", router.identity.Node).WithRetryAfter(time.Second)
	case refusal == nil && (len(router.topology.members) == 0 || router.endpoints == nil):
		refusal = classifier.New(classifier.NotReady, "the node has not received the members or the VM list yet").WithRetryAfter(time.Second)
	case refusal == nil && (len(router.calls) >= maxOpenCalls || router.callBytes+len(event.Call.Body) > maxBytes):
		refusal = classifier.New(classifier.TooManyCalls, "the node has %d open calls with %d bytes", len(router.calls), router.callBytes).WithRetryAfter(time.Second)
	case refusal == nil && router.calls[event.Request] != nil:
		refusal = classifier.New(classifier.BadRequest, "request %q is open already", event.Request)
	}
	if refusal != nil {
		router.refuse(event.Request, refusal)
		return
	}
	call := &call{request: event.Request, command: event.Call}
	call.command.Idempotent = event.Call.Idempotent || method.Idempotent
	if call.command.Deadline.IsZero() {
		call.command.Deadline = now.Add(timeout(method))
	}
	if !call.command.Deadline.After(now) {
		router.refuse(event.Request, classifier.New(classifier.DeadlineUnmet, "the deadline has passed"))
		return
	}
	router.calls[event.Request] = call
	router.callBytes += len(event.Call.Body)
	router.retryBudget.Deposit()
	call.deadline = router.timers.set(call.command.Deadline, func(now time.Time) { router.expire(now, call) })
	if call.command.Key != "" && !call.command.Idempotent {
		router.claimKey(now, call)
		return
	}
	router.startAttempt(now, call)
}

func timeout(method messenger.MethodSpec) time.Duration {
	if method.Timeout > 0 {
		return method.Timeout
	}
	return defaultTimeout
}

// refuse answers a request that was never opened.
func (router *Router) refuse(request identifier.Request, refusal *classifier.Error) {
	router.emit(messenger.Count{Counter: messenger.Refusals, Reason: refusal.Code.Name()})
	router.emit(messenger.CallAnswered{Request: request, Err: refusal})
}

// finishCall answers an open call and closes it. It does nothing for a closed call.
func (router *Router) finishCall(now time.Time, call *call, err *classifier.Error, body []byte) {
	if router.calls[call.request] != call {
		return
	}
	if err != nil && call.mayHaveRun && err.Code.Execution() == classifier.NotRun {
		err = classifier.New(classifier.OutcomeUnknown, "an earlier attempt may have run; the last was refused: %s", err.Message)
	}
	delete(router.calls, call.request)
	router.callBytes -= len(call.command.Body)
	router.closeAttempt(call)
	router.timers.cancel(call.deadline)
	router.timers.cancel(call.pending)
	if err != nil {
		router.emit(messenger.Count{Counter: messenger.Refusals, Reason: err.Code.Name()})
	}
	if !call.abandoned {
		router.emit(messenger.CallAnswered{Request: call.request, Err: err, Body: body})
	}
	if call.holdsKey {
		router.notifyWaiters(call.command.Key, router.outcomes.complete(now, call.command.Key, err, body), err, body)
	}
}

// expire ends a call whose deadline has passed.
func (router *Router) expire(now time.Time, call *call) {
	switch {
	case call.awaitingIntent && now.Sub(call.intentAppendedAt) >= slowIntentThreshold:
		router.refuseIntent(now, call, classifier.LogUnavailable)
	case call.keyHolder != "":
		router.finishCall(now, call, classifier.New(classifier.InProgress, "the first request with this key has not ended"), nil)
	case call.owner == "":
		router.finishCall(now, call, classifier.New(classifier.DeadlineUnmet, "the deadline passed before the request started"), nil)
	default:
		call.deadline = router.timers.set(now.Add(deadlineGrace), func(now time.Time) {
			router.cancelAttempt(call)
			router.finishCall(now, call, classifier.New(classifier.TimedOut, "the deadline passed while the request was in progress"), nil)
		})
	}
}

// handleCallerDisconnected ends the call of a caller that disconnected, unless the
// call holds a key.
func (router *Router) handleCallerDisconnected(now time.Time, request identifier.Request) {
	call := router.calls[request]
	if call == nil {
		return
	}
	call.abandoned = true
	if call.holdsKey {
		return
	}
	router.cancelAttempt(call)
	router.finishCall(now, call, nil, nil)
}

// cancelAttempt requests the owner of the open attempt to remove it.
func (router *Router) cancelAttempt(call *call) {
	if call.owner != "" {
		router.send(call.owner, messenger.ForwardCancel{Request: call.request, Attempt: call.attempt})
	}
}
