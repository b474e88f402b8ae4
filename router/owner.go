package router

import (
	"slices"
	"strings"
	"time"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/estimator"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// work is an attempt at its owner.
type work struct {
	id    attemptID
	entry identifier.Node
	call  commander.Call
	class estimator.Class
	// estimate is the expected run time, high its upper quartile.
	estimate, high time.Duration
	queued         time.Time
	// sequence keeps requests with the same deadline in the order of arrival.
	sequence uint64
	index    int
	// fifo ignores the deadline in the order.
	fifo bool
	// minion is where the attempt runs, nil while it waits.
	minion  *minion
	started time.Time
	pending *timer
}

func sortWorks(works []*work) {
	slices.SortFunc(works, func(a, b *work) int {
		if order := strings.Compare(string(a.id.request), string(b.id.request)); order != 0 {
			return order
		}
		return int(a.id.attempt) - int(b.id.attempt)
	})
}

// accept takes an attempt from its entry.
func (router *Router) accept(now time.Time, from identifier.Node, forward messenger.Forward) {
	id := attemptID{forward.Request, forward.Attempt}
	if forward.OwnerIncarnation < router.identity.Incarnation {
		// The attempt was meant for an earlier process of this node, which may
		// have run another copy of it.
		router.answer(from, id, classifier.New(classifier.OutcomeUnknown, "node %s was restarted", router.identity.Node), nil)
		return
	}
	if now.Sub(forward.SentAt) > maxTransit {
		// Attempts are remembered for seenTime only: this may be a second copy of
		// one that ran, so that neither "ran" nor "not run" is certain.
		return
	}
	full := router.seen.full(now)
	if _, ok := router.seen.attempts[id]; ok {
		return
	}
	if full {
		router.answer(from, id, classifier.New(classifier.QueueFull, "the owner keeps its maximum of %d attempts", maxSeen).WithRetryAfter(time.Second), nil)
		return
	}
	router.seen.add(now, id)
	router.sequence++
	accepted := &work{queued: now, id: id, entry: from, call: forward.Call, sequence: router.sequence}
	if refusal := router.admit(now, accepted); refusal != nil {
		router.record(now, accepted, refusal.Code.Name(), refusal.Message)
		router.answer(from, id, refusal, nil)
		return
	}
	router.works[id] = accepted
	router.workBytes += len(accepted.call.Body)
	router.queues[accepted.call.Service].push(accepted, router.catalogue.weight(accepted.call.Workspace))
	accepted.pending = router.timers.set(accepted.call.Deadline, func(now time.Time) {
		router.reject(now, accepted, classifier.New(classifier.DeadlineUnmet, "the deadline passed in the queue"))
	})
	router.dispatch(now, accepted.call.Service)
}

// answer sends the result of an attempt to its entry.
func (router *Router) answer(entry identifier.Node, id attemptID, err *classifier.Error, body []byte) {
	queued, free := router.measure()
	router.send(entry, messenger.ForwardAnswer{
		Request: id.request, Attempt: id.attempt, Err: err, Body: body, Queued: queued, FreeSlots: free,
	})
}

// reject refuses an attempt that waits. It has not run.
func (router *Router) reject(now time.Time, rejected *work, refusal *classifier.Error) {
	router.drop(rejected)
	router.record(now, rejected, refusal.Code.Name(), refusal.Message)
	router.answer(rejected.entry, rejected.id, refusal, nil)
}

// drop takes an attempt that waits out of the queue.
func (router *Router) drop(dropped *work) {
	waiting := router.queues[dropped.call.Service]
	waiting.remove(dropped)
	waiting.shares.leave(dropped.call.Workspace)
	delete(router.works, dropped.id)
	router.workBytes -= len(dropped.call.Body)
	router.timers.cancel(dropped.pending)
}

// withdraw drops an attempt that its entry gave up, if it has not started. A
// Forward that arrives after its cancellation is not taken.
func (router *Router) withdraw(now time.Time, from identifier.Node, cancel messenger.ForwardCancel) {
	id := attemptID{cancel.Request, cancel.Attempt}
	if !router.seen.full(now) {
		router.seen.add(now, id)
	}
	if waiting := router.works[id]; waiting != nil && waiting.minion == nil && waiting.entry == from {
		router.drop(waiting)
	}
}

// rejectLostEntries drops what waits for entries that are no longer members. The
// refusal reaches an entry that another view of the members still holds.
func (router *Router) rejectLostEntries(now time.Time) {
	var missed []*work
	for _, waiting := range router.works {
		if _, ok := router.places.members[waiting.entry]; !ok && waiting.minion == nil && waiting.entry != router.identity.Node {
			missed = append(missed, waiting)
		}
	}
	sortWorks(missed)
	for _, waiting := range missed {
		router.reject(now, waiting, classifier.New(classifier.NodeUnreachable, "the entry is not a member"))
	}
}

// repeatAnswer sends an answer again that was surely not sent.
func (router *Router) repeatAnswer(now time.Time, to identifier.Node, answer messenger.ForwardAnswer) {
	if _, ok := router.places.members[to]; !ok || router.repeats >= maxRepeats {
		return
	}
	router.repeats++
	router.timers.set(now.Add(repeatInterval), func(time.Time) {
		router.repeats--
		router.send(to, answer)
	})
}

// Bounds of the repetition of answers that could not be sent.
const (
	maxRepeats     = 256
	repeatInterval = 250 * time.Millisecond
)

// rejectUnservable refuses what waits for a service of which this node has no
// minion left.
func (router *Router) rejectUnservable(now time.Time, service identifier.Service) {
	waiting := router.queues[service]
	if waiting == nil || waiting.length() == 0 || waiting.usable() {
		return
	}
	for _, stranded := range waiting.all() {
		router.reject(now, stranded, classifier.New(classifier.NoMinion, "the owner has no live minion of service %q", service).WithRetryAfter(time.Second))
	}
}

// usable says whether a minion serves or is about to.
func (queue *queue) usable() bool {
	for _, member := range queue.minions {
		if member.state == serving || member.state == asking {
			return true
		}
	}
	return false
}

// regroup sorts the owned minions by service.
func (router *Router) regroup(now time.Time) {
	for _, waiting := range router.queues {
		waiting.minions = nil
	}
	var services []identifier.Service
	for _, taken := range router.sortedMinions() {
		name := taken.endpoint.service
		if router.queues[name] == nil {
			router.queues[name] = newQueue()
		}
		router.queues[name].minions = append(router.queues[name].minions, taken)
	}
	for name, waiting := range router.queues {
		if len(waiting.minions) == 0 && waiting.length() == 0 && len(waiting.shares.accounts) == 0 {
			delete(router.queues, name)
			continue
		}
		services = append(services, name)
	}
	slices.Sort(services)
	for _, name := range services {
		router.rejectUnservable(now, name)
		router.dispatch(now, name)
	}
}

// drain hands what waits over to the next owners and refuses new calls. The
// last node has nobody to hand over to and finishes its queue.
func (router *Router) drain(now time.Time) {
	if router.draining {
		return
	}
	router.draining = true
	if router.alone() {
		return
	}
	var waiting []*work
	for _, open := range router.works {
		if open.minion == nil {
			waiting = append(waiting, open)
		}
	}
	sortWorks(waiting)
	for _, open := range waiting {
		router.reject(now, open, classifier.New(classifier.Leaving, "owner %s is leaving", router.identity.Node))
	}
}

// alone says whether no other node can own minions.
func (router *Router) alone() bool {
	for _, node := range router.places.all {
		if node != router.identity.Node && router.places.members[node].State == messenger.Alive {
			return false
		}
	}
	return true
}
