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

// forward starts the next attempt of a call.
func (router *Router) forward(now time.Time, forwarded *call) {
	forwarded.pending = nil
	owner := router.pick(now, forwarded)
	if owner == "" {
		refusal := forwarded.refusal
		if refusal == nil {
			refusal = classifier.New(classifier.NoMinion, "no live minion of service %q can be reached",
				forwarded.command.Service).WithRetryAfter(time.Second)
		}
		router.finish(now, forwarded, refusal, nil)
		return
	}
	forwarded.attempt++
	forwarded.owner = owner
	router.places.load(owner).open++
	router.send(owner, messenger.Forward{
		Request: forwarded.request, Attempt: forwarded.attempt,
		OwnerIncarnation: router.places.members[owner].Incarnation, SentAt: now, Call: forwarded.command,
	})
}

// release ends the open attempt of a call.
func (router *Router) release(released *call) {
	if known := router.places.loads[released.owner]; known != nil && known.open > 0 {
		known.open--
	}
	released.owner = ""
}

// settle takes the owner's answer. It counts only if it belongs to the open
// attempt and comes from its owner.
func (router *Router) settle(now time.Time, from identifier.Node, answer messenger.ForwardAnswer) {
	router.places.updateLoad(from, answer.Queued, answer.FreeSlots)
	settled := router.calls[answer.Request]
	if settled == nil || settled.owner != from || settled.attempt != answer.Attempt {
		return
	}
	if answer.Err == nil {
		router.finish(now, settled, nil, answer.Body)
		return
	}
	router.reconsider(now, settled, answer.Err)
}

// loseForward takes back an attempt that was surely not sent.
func (router *Router) loseForward(now time.Time, to identifier.Node, lost messenger.Forward) {
	settled := router.calls[lost.Request]
	if settled == nil || settled.owner != to || settled.attempt != lost.Attempt {
		return
	}
	router.reconsider(now, settled, classifier.New(classifier.NodeUnreachable, "node %s could not be reached", to).WithRetryAfter(time.Second))
}

// failLostOwners ends the attempts whose owner is no longer a member. The owner
// may have run them.
func (router *Router) failLostOwners(now time.Time) {
	var missed []*call
	for _, open := range router.calls {
		if _, ok := router.places.members[open.owner]; open.owner != "" && !ok {
			missed = append(missed, open)
		}
	}
	slices.SortFunc(missed, func(a, b *call) int { return strings.Compare(string(a.request), string(b.request)) })
	for _, open := range missed {
		router.reconsider(now, open, classifier.New(classifier.OutcomeUnknown, "owner %s is gone", open.owner))
	}
}

// reconsider ends a failed attempt and retries the request or answers it.
func (router *Router) reconsider(now time.Time, failed *call, err *classifier.Error) {
	owner := failed.owner
	router.release(failed)
	if err.Code.Execution() != classifier.NotRun {
		failed.mayHaveRun = true
		if !failed.command.Idempotent {
			router.finish(now, failed, err, nil)
			return
		}
	}
	failed.refusal = err
	if !slices.Contains(failed.avoided, owner) {
		failed.avoided = append(failed.avoided, owner)
	}
	at := now.Add(retrier.Backoff(router.random, int(failed.attempt)))
	if !router.mayRetry(at, failed, err.Code) {
		router.finish(now, failed, err, nil)
		return
	}
	router.emit(messenger.Count{Counter: messenger.Retries, Reason: err.Code.Name()})
	failed.pending = router.timers.set(at, func(now time.Time) { router.forward(now, failed) })
}

// mayRetry says whether a request that failed with a code is tried again at a
// time.
func (router *Router) mayRetry(at time.Time, failed *call, code classifier.Code) bool {
	if failed.attempt >= maxAttempts || at.Add(router.expected(failed)).After(failed.command.Deadline) {
		return false
	}
	if isOverload(code) && router.isSaturated(failed) {
		// Only the other region is left. The price of the link bounds such
		// retries, and the budget is kept for failures.
		return router.mayCross(at, failed)
	}
	return retrier.IsUncharged(code) || router.rules.noBudget || router.budget.Spend()
}

// expected returns the run time that a call is expected to take.
func (router *Router) expected(expected *call) time.Duration {
	return router.learned.Estimate(subject(expected.command), router.catalogue.runTime(expected.command)).Typical
}

// isOverload says whether a refusal means that the owner can't serve the
// request in time.
func isOverload(code classifier.Code) bool {
	return code == classifier.QueueFull || code == classifier.DeadlineUnmet
}
