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
	// holds says that this call owns the outcome of its key.
	holds bool
	// awaitsIntent says that the intent was not read back yet.
	awaitsIntent bool
	// claimedAt is when the intent was handed to the log.
	claimedAt time.Time
	// abandoned says that the caller left. A keyed request runs on, so that a
	// repetition gets its outcome.
	abandoned bool
	// mayHaveRun says that the fate of an earlier attempt is unknown.
	mayHaveRun bool
	attempt    identifier.Attempt
	// owner is the node of the open attempt, empty if there is none.
	owner identifier.Node
	// avoided are the owners that failed, refusal is the last failure.
	avoided []identifier.Node
	refusal *classifier.Error
	// holder is the node that is asked for the outcome of the key.
	holder   identifier.Node
	deadline *timer
	pending  *timer
}

// arrive takes a request of a caller.
func (router *Router) arrive(now time.Time, event messenger.CallArrived) {
	method, refusal := router.catalogue.check(event.Call)
	switch {
	case router.draining:
		refusal = classifier.New(classifier.Leaving, "node %s is leaving", router.identity.Node).WithRetryAfter(time.Second)
	case refusal == nil && (len(router.places.members) == 0 || router.endpoints == nil):
		refusal = classifier.New(classifier.NotReady, "the members or the VM list are not known yet").WithRetryAfter(time.Second)
	case refusal == nil && (len(router.calls) >= maxOpenCalls || router.callBytes+len(event.Call.Body) > maxBytes):
		refusal = classifier.New(classifier.TooManyCalls, "node holds %d open calls with %d bytes", len(router.calls), router.callBytes).WithRetryAfter(time.Second)
	case refusal == nil && router.calls[event.Request] != nil:
		refusal = classifier.New(classifier.BadRequest, "request %q is open already", event.Request)
	}
	if refusal != nil {
		router.refuse(event.Request, refusal)
		return
	}
	opened := &call{request: event.Request, command: event.Call}
	opened.command.Idempotent = event.Call.Idempotent || method.Idempotent
	if opened.command.Deadline.IsZero() {
		opened.command.Deadline = now.Add(timeout(method))
	}
	if !opened.command.Deadline.After(now) {
		router.refuse(event.Request, classifier.New(classifier.DeadlineUnmet, "the deadline has passed"))
		return
	}
	router.calls[event.Request] = opened
	router.callBytes += len(event.Call.Body)
	router.budget.Earn()
	opened.deadline = router.timers.set(opened.command.Deadline, func(now time.Time) { router.expire(now, opened) })
	if opened.command.Key != "" && !opened.command.Idempotent {
		router.claim(now, opened)
		return
	}
	router.forward(now, opened)
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

// finish answers an open call, once.
func (router *Router) finish(now time.Time, finished *call, err *classifier.Error, body []byte) {
	if router.calls[finished.request] != finished {
		return
	}
	if err != nil && finished.mayHaveRun && err.Code.Execution() == classifier.NotRun {
		err = classifier.New(classifier.OutcomeUnknown, "an earlier attempt may have run; the last was refused: %s", err.Message)
	}
	delete(router.calls, finished.request)
	router.callBytes -= len(finished.command.Body)
	router.release(finished)
	router.timers.cancel(finished.deadline)
	router.timers.cancel(finished.pending)
	if err != nil {
		router.emit(messenger.Count{Counter: messenger.Refusals, Reason: err.Code.Name()})
	}
	if !finished.abandoned {
		router.emit(messenger.CallAnswered{Request: finished.request, Err: err, Body: body})
	}
	if finished.holds {
		router.notifyWaiters(finished.command.Key, router.outcomes.finish(now, finished.command.Key, err, body), err, body)
	}
}

// expire ends a call whose deadline has passed.
func (router *Router) expire(now time.Time, expired *call) {
	switch {
	case expired.awaitsIntent && now.Sub(expired.claimedAt) >= logPatience:
		router.refuseIntent(now, expired, classifier.LogUnavailable)
	case expired.holder != "":
		router.finish(now, expired, classifier.New(classifier.InProgress, "the first request with this key has not ended"), nil)
	case expired.owner == "":
		router.finish(now, expired, classifier.New(classifier.DeadlineUnmet, "the deadline passed before the request started"), nil)
	default:
		expired.deadline = router.timers.set(now.Add(deadlineGrace), func(now time.Time) {
			router.cancel(expired)
			router.finish(now, expired, classifier.New(classifier.TimedOut, "the deadline passed while the request was in progress"), nil)
		})
	}
}

// abandon ends the call of a caller that left, unless it holds a key.
func (router *Router) abandon(now time.Time, request identifier.Request) {
	abandoned := router.calls[request]
	if abandoned == nil {
		return
	}
	abandoned.abandoned = true
	if abandoned.holds {
		return
	}
	router.cancel(abandoned)
	router.finish(now, abandoned, nil, nil)
}

// cancel tells the owner to drop the open attempt.
func (router *Router) cancel(cancelled *call) {
	if cancelled.owner != "" {
		router.send(cancelled.owner, messenger.ForwardCancel{Request: cancelled.request, Attempt: cancelled.attempt})
	}
}
