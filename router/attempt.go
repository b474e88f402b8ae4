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
		router.finish(now, forwarded, classifier.New(classifier.NoMinion,
			"no live minion of service %q can be reached", forwarded.command.Service).WithRetryAfter(time.Second), nil)
		return
	}
	forwarded.attempt++
	forwarded.owner = owner
	router.places.load(owner).open++
	router.send(owner, messenger.Forward{
		Request: forwarded.request, Attempt: forwarded.attempt,
		Owner: router.places.members[owner].Incarnation, Sent: now, Call: forwarded.command,
	})
}

// pick chooses an owner in the nearest place that has one.
func (router *Router) pick(_ time.Time, picking *call) identifier.Node {
	groups := router.places.byService[picking.command.Service]
	if groups == nil {
		return ""
	}
	for _, group := range groups {
		if owner := router.places.choose(router.random, group, picking.avoided); owner != "" {
			return owner
		}
	}
	return ""
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
	router.places.hear(from, answer.Queued, answer.FreeSlots)
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
	router.reconsider(now, settled, classifier.New(classifier.NodeUnreachable, "node %s could not be reached", to))
}

// missOwners ends the attempts whose owner is no longer a member. The owner
// may have run them.
func (router *Router) missOwners(now time.Time) {
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
	if err.Code.Fate() != classifier.NotRun {
		failed.mayHaveRun = true
		if !failed.command.Idempotent {
			router.finish(now, failed, err, nil)
			return
		}
	}
	if !slices.Contains(failed.avoided, owner) {
		failed.avoided = append(failed.avoided, owner)
	}
	at := now.Add(retrier.Backoff(router.random, int(failed.attempt)))
	if failed.attempt >= maxAttempts || !at.Before(failed.command.Deadline) {
		router.finish(now, failed, err, nil)
		return
	}
	router.emit(messenger.Count{Counter: messenger.Retries, Reason: err.Code.Name()})
	failed.pending = router.alarms.set(at, func(now time.Time) { router.forward(now, failed) })
}
