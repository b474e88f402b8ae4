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

// attempt is one attempt of a request at its owner.
type attempt struct {
	id    attemptID
	entry identifier.Node
	call  commander.Call
	class estimator.Class
	// estimate is the expected run time, upperQuartile its upper quartile.
	estimate, upperQuartile time.Duration
	queued                  time.Time
	// sequence keeps requests with the same deadline in the order of arrival.
	sequence uint64
	index    int
	// fifo orders the attempt by sequence instead of by deadline.
	fifo bool
	// minion runs the attempt. It is nil while the attempt waits.
	minion  *minion
	started time.Time
	pending *timer
}

func sortAttempts(attempts []*attempt) {
	slices.SortFunc(attempts, func(a, b *attempt) int {
		if order := strings.Compare(string(a.id.request), string(b.id.request)); order != 0 {
			return order
		}
		return int(a.id.attempt) - int(b.id.attempt)
	})
}

// handleForward admits and queues an attempt that its entry forwarded.
func (router *Router) handleForward(now time.Time, from identifier.Node, forward messenger.Forward) {
	id := attemptID{forward.Request, forward.Attempt}
	if forward.OwnerIncarnation < router.identity.Incarnation {
		// The attempt was sent to an earlier incarnation of this node, which may
		// have run another copy of it.
		router.answer(from, id, classifier.New(classifier.OutcomeUnknown, "node %s was restarted; its earlier process may have run the request", router.identity.Node), nil)
		return
	}
	if now.Sub(forward.SentAt) > maxForwardAge {
		// The history stores attempts for historyRetention only. This may be a
		// second copy of an attempt that ran, so neither "ran" nor "not run" is
		// certain and no answer is sent.
		return
	}
	isFull := router.history.isFull(now)
	if _, ok := router.history.attempts[id]; ok {
		return
	}
	if isFull {
		router.answer(from, id, classifier.New(classifier.QueueFull, "the owner's attempt history is full with %d attempts", maxHistory).WithRetryAfter(time.Second), nil)
		return
	}
	router.history.add(now, id)
	router.sequence++
	attempt := &attempt{queued: now, id: id, entry: from, call: forward.Call, sequence: router.sequence}
	if refusal := router.admit(now, attempt); refusal != nil {
		router.recordDecision(now, attempt, refusal.Code.Name(), refusal.Message)
		router.answer(from, id, refusal, nil)
		return
	}
	router.attempts[id] = attempt
	router.attemptBytes += len(attempt.call.Body)
	router.queues[attempt.call.Service].push(attempt, router.catalogue.weight(attempt.call.Workspace))
	attempt.pending = router.timers.set(attempt.call.Deadline, func(now time.Time) {
		router.reject(now, attempt, classifier.New(classifier.DeadlineUnmet, "the deadline passed in the queue"))
	})
	router.dispatch(now, attempt.call.Service)
}

// answer sends the result of an attempt to its entry.
func (router *Router) answer(entry identifier.Node, id attemptID, err *classifier.Error, body []byte) {
	queued, free := router.measureLoad()
	router.send(entry, messenger.ForwardAnswer{
		Request: id.request, Attempt: id.attempt, Err: err, Body: body, Queued: queued, FreeSlots: free,
	})
}

// reject refuses a waiting attempt, which has not run.
func (router *Router) reject(now time.Time, attempt *attempt, refusal *classifier.Error) {
	router.removeWaiting(attempt)
	router.recordDecision(now, attempt, refusal.Code.Name(), refusal.Message)
	router.answer(attempt.entry, attempt.id, refusal, nil)
}

// removeWaiting removes a waiting attempt from the queue.
func (router *Router) removeWaiting(attempt *attempt) {
	queue := router.queues[attempt.call.Service]
	queue.remove(attempt)
	queue.shares.removeWaiting(attempt.call.Workspace)
	delete(router.attempts, attempt.id)
	router.attemptBytes -= len(attempt.call.Body)
	router.timers.cancel(attempt.pending)
}

// handleForwardCancel removes an attempt that its entry cancelled, if it has not
// started. A Forward that arrives after its cancellation is ignored.
func (router *Router) handleForwardCancel(now time.Time, from identifier.Node, cancel messenger.ForwardCancel) {
	id := attemptID{cancel.Request, cancel.Attempt}
	if !router.history.isFull(now) {
		router.history.add(now, id)
	}
	if attempt := router.attempts[id]; attempt != nil && attempt.minion == nil && attempt.entry == from {
		router.removeWaiting(attempt)
	}
}

// rejectAttemptsOfLostEntries rejects the waiting attempts of entries that are no
// longer members. The refusal is sent nevertheless, because the entry may still
// be running if the nodes' views of the members differ.
func (router *Router) rejectAttemptsOfLostEntries(now time.Time) {
	var rejected []*attempt
	for _, attempt := range router.attempts {
		if _, ok := router.topology.members[attempt.entry]; !ok && attempt.minion == nil && attempt.entry != router.identity.Node {
			rejected = append(rejected, attempt)
		}
	}
	sortAttempts(rejected)
	for _, attempt := range rejected {
		router.reject(now, attempt, classifier.New(classifier.NodeUnreachable, "the entry is not a member"))
	}
}

// resendAnswer schedules another transmission of an answer that was certainly
// not sent.
func (router *Router) resendAnswer(now time.Time, to identifier.Node, answer messenger.ForwardAnswer) {
	if _, ok := router.topology.members[to]; !ok || router.pendingResends >= maxPendingResends {
		return
	}
	router.pendingResends++
	router.timers.set(now.Add(resendInterval), func(time.Time) {
		router.pendingResends--
		router.send(to, answer)
	})
}

// Bounds of the retransmission of answers that could not be sent.
const (
	maxPendingResends = 256
	resendInterval    = 250 * time.Millisecond
)

// rejectUnservable rejects the waiting attempts of a service if this node owns no
// usable minion of it.
func (router *Router) rejectUnservable(now time.Time, service identifier.Service) {
	queue := router.queues[service]
	if queue == nil || queue.length() == 0 || queue.hasUsableMinion() {
		return
	}
	for _, attempt := range queue.sorted() {
		router.reject(now, attempt, classifier.New(classifier.NoMinion, "the owner has no live minion of service %q", service).WithRetryAfter(time.Second))
	}
}

// hasUsableMinion reports whether a minion serves or its slots are being queried.
func (queue *queue) hasUsableMinion() bool {
	for _, minion := range queue.minions {
		if minion.state == serving || minion.state == awaitingSlots {
			return true
		}
	}
	return false
}

// groupMinionsByService rebuilds the lists of owned minions by service.
func (router *Router) groupMinionsByService(now time.Time) {
	for _, queue := range router.queues {
		queue.minions = nil
	}
	var services []identifier.Service
	for _, minion := range router.sortedMinions() {
		name := minion.endpoint.service
		if router.queues[name] == nil {
			router.queues[name] = newQueue()
		}
		router.queues[name].minions = append(router.queues[name].minions, minion)
	}
	for name, queue := range router.queues {
		if len(queue.minions) == 0 && queue.length() == 0 && len(queue.shares.accounts) == 0 {
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

// handleDrainArrived rejects the waiting attempts, so that their entries send
// them to other owners, and refuses new calls from now on. If no other node can
// own minions, this node finishes its queue.
func (router *Router) handleDrainArrived(now time.Time) {
	if router.draining {
		return
	}
	router.draining = true
	if router.isOnlyCandidate() {
		return
	}
	var waiting []*attempt
	for _, attempt := range router.attempts {
		if attempt.minion == nil {
			waiting = append(waiting, attempt)
		}
	}
	sortAttempts(waiting)
	for _, attempt := range waiting {
		router.reject(now, attempt, classifier.New(classifier.Leaving, "owner %s is leaving", router.identity.Node))
	}
}

// isOnlyCandidate reports whether no other node can own minions.
func (router *Router) isOnlyCandidate() bool {
	for _, node := range router.topology.candidates {
		if node != router.identity.Node && router.topology.members[node].State == messenger.Alive {
			return false
		}
	}
	return true
}
