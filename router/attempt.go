package router

import (
	"slices"
	"strings"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/retrier"
)

// startAttempt starts the next attempt of a call.
func (router *Router) startAttempt(now time.Time, call *call) {
	call.pending = nil
	owner := router.pickOwner(now, call)
	if owner == "" {
		refusal := call.refusal
		if refusal == nil {
			refusal = classifier.New(classifier.NoMinion, "no live minion of service %q can be reached",
				call.command.Service).WithRetryAfter(time.Second)
		}
		router.finishCall(now, call, refusal, nil)
		return
	}
	call.attempt++
	call.owner = owner
	router.topology.load(owner).open++
	router.send(owner, messenger.Forward{
		Request: call.request, Attempt: call.attempt,
		OwnerIncarnation: router.topology.members[owner].Incarnation, SentAt: now, Call: call.command,
	})
}

// closeAttempt marks the open attempt of a call as ended.
func (router *Router) closeAttempt(call *call) {
	if load := router.topology.loads[call.owner]; load != nil && load.open > 0 {
		load.open--
	}
	call.owner = ""
}

// handleForwardAnswer handles the answer of an owner. An answer that does not
// belong to the open attempt, or does not come from its owner, is ignored.
func (router *Router) handleForwardAnswer(now time.Time, from identifier.Node, answer messenger.ForwardAnswer) {
	router.topology.updateLoad(from, answer.Queued, answer.FreeSlots)
	call := router.calls[answer.Request]
	if call == nil || call.owner != from || call.attempt != answer.Attempt {
		return
	}
	if answer.Err == nil {
		router.finishCall(now, call, nil, answer.Body)
		return
	}
	router.retryOrFinish(now, call, answer.Err)
}

// handleForwardSendFailed ends an attempt that was certainly not sent.
func (router *Router) handleForwardSendFailed(now time.Time, to identifier.Node, forward messenger.Forward) {
	call := router.calls[forward.Request]
	if call == nil || call.owner != to || call.attempt != forward.Attempt {
		return
	}
	router.retryOrFinish(now, call, classifier.New(classifier.NodeUnreachable, "node %s could not be reached", to).WithRetryAfter(time.Second))
}

// failAttemptsAtLostOwners ends the attempts whose owner is no longer a member,
// with an unknown outcome: the owner may have run them.
func (router *Router) failAttemptsAtLostOwners(now time.Time) {
	var failed []*call
	for _, call := range router.calls {
		if _, ok := router.topology.members[call.owner]; call.owner != "" && !ok {
			failed = append(failed, call)
		}
	}
	slices.SortFunc(failed, func(a, b *call) int { return strings.Compare(string(a.request), string(b.request)) })
	for _, call := range failed {
		router.retryOrFinish(now, call, classifier.New(classifier.OutcomeUnknown, "owner %s is no longer a member", call.owner))
	}
}

// retryOrFinish ends a failed attempt, and either schedules a retry of the
// request or answers it.
func (router *Router) retryOrFinish(now time.Time, call *call, err *classifier.Error) {
	owner := call.owner
	router.closeAttempt(call)
	if err.Code.Execution() != classifier.NotRun {
		call.mayHaveRun = true
		if !call.command.Idempotent {
			router.finishCall(now, call, err, nil)
			return
		}
	}
	call.refusal = err
	if !slices.Contains(call.avoided, owner) {
		call.avoided = append(call.avoided, owner)
	}
	at := now.Add(retrier.Backoff(router.random, int(call.attempt)))
	if !router.mayRetry(at, call, err.Code) {
		router.finishCall(now, call, err, nil)
		return
	}
	router.emit(messenger.Count{Counter: messenger.Retries, Reason: err.Code.Name()})
	call.pending = router.timers.set(at, func(now time.Time) { router.startAttempt(now, call) })
}

// mayRetry reports whether a request that failed with the given code may be
// retried at the given time.
func (router *Router) mayRetry(at time.Time, call *call, code classifier.Code) bool {
	if call.attempt >= maxAttempts || at.Add(router.expectedRunTime(call)).After(call.command.Deadline) {
		return false
	}
	if isOverload(code) && router.isSaturated(call) {
		// Only the other region remains. The budget of the region link bounds
		// such retries, and the retry budget is reserved for failures.
		return router.mayCross(at, call)
	}
	return retrier.IsUncharged(code) || router.rules.noRetryBudget || router.retryBudget.TryWithdraw()
}

// expectedRunTime returns the typical run time of calls of the same workspace,
// service and method.
func (router *Router) expectedRunTime(call *call) time.Duration {
	return router.runTimes.Estimate(subject(call.command), router.catalogue.runTime(call.command)).Typical
}

// isOverload reports whether a refusal means that the owner can't serve the
// request in time.
func isOverload(code classifier.Code) bool {
	return code == classifier.QueueFull || code == classifier.DeadlineUnmet
}
