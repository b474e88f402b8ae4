package router

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/estimator"
)

// admit classifies an attempt, and refuses it if the queue is full or the attempt
// can't be served in time.
func (router *Router) admit(now time.Time, attempt *attempt) *classifier.Error {
	call := attempt.call
	if !call.Deadline.After(now) {
		return classifier.New(classifier.DeadlineUnmet, "the deadline has passed")
	}
	if router.draining && !router.isOnlyCandidate() {
		return classifier.New(classifier.Leaving, "owner %s is leaving", router.identity.Node)
	}
	queue := router.queues[call.Service]
	if queue == nil || !queue.hasUsableMinion() {
		return classifier.New(classifier.NoMinion, "the owner has no live minion of service %q", call.Service).WithRetryAfter(time.Second)
	}
	expected := router.runTimes.Estimate(subject(call), router.catalogue.runTime(call))
	attempt.estimate = max(expected.Typical, time.Millisecond)
	attempt.upperQuartile = expected.High
	attempt.class = estimator.Classify(expected.High, router.catalogue.service(call.Service).shortBelow)
	if router.rules.fifo {
		attempt.class, attempt.fifo = estimator.Short, true
	}
	if router.attemptBytes+len(call.Body) > maxBytes {
		return classifier.New(classifier.QueueFull, "the owner's attempts have %d bytes of bodies", router.attemptBytes).WithRetryAfter(router.queueRetryDelay(queue))
	}
	if refusal := router.ensureQueueCapacity(now, queue, attempt); refusal != nil {
		return refusal
	}
	if router.rules.noEarlyRefusal {
		return nil
	}
	wait := router.estimateWait(now, queue, attempt)
	if late := now.Add(wait + attempt.estimate).Sub(call.Deadline); late > 0 {
		return classifier.New(classifier.DeadlineUnmet, "with an estimated wait of %s the request would end %s after its deadline",
			wait.Round(time.Millisecond), late.Round(time.Millisecond)).WithRetryAfter(late)
	}
	return nil
}

// ensureQueueCapacity returns a refusal if the queue is full. If the workspace
// of the attempt has fewer waiting requests relative to its weight than the
// workspace with the largest backlog, a request of the latter is rejected instead.
func (router *Router) ensureQueueCapacity(now time.Time, queue *queue, admitted *attempt) *classifier.Error {
	if queue.length() < maxQueued && (admitted.class == estimator.Short || queue.classes[estimator.Long].count < maxQueuedLong) {
		return nil
	}
	class := &queue.classes[admitted.class]
	full := classifier.New(classifier.QueueFull, "the owner's queue is full").WithRetryAfter(router.queueRetryDelay(queue))
	if router.rules.noFairShares {
		return full
	}
	worst, ratio := queue.largestBacklog(admitted.class)
	backlog := 1.0
	if attempts := class.byWorkspace[admitted.call.Workspace]; attempts != nil {
		backlog += float64(attempts.Len())
	}
	if worst == "" || backlog/float64(router.catalogue.weight(admitted.call.Workspace)) >= ratio {
		return full
	}
	var last *attempt
	for _, candidate := range *class.byWorkspace[worst] {
		if last == nil || candidate.call.Deadline.After(last.call.Deadline) ||
			(candidate.call.Deadline.Equal(last.call.Deadline) && candidate.sequence > last.sequence) {
			last = candidate
		}
	}
	router.reject(now, last, full)
	return nil
}

// queueRetryDelay returns the retry delay for a full queue: a quarter of the
// time that the queued requests need on all slots, at least 100 ms.
func (router *Router) queueRetryDelay(queue *queue) time.Duration {
	var expected time.Duration
	for _, class := range queue.classes {
		for _, runTime := range class.expected {
			expected += runTime
		}
	}
	return max(100*time.Millisecond, expected/time.Duration(max(1, queue.slots()))/4)
}

// slots returns the number of slots of the minions in use.
func (queue *queue) slots() int {
	slots := 0
	for _, minion := range queue.minions {
		if minion.state == serving || minion.state == awaitingSlots {
			slots += minion.limiter.Slots()
		}
	}
	return slots
}

// estimateWait returns how long an attempt would wait. The waiting requests of
// its workspace and class are divided by the rate at which such requests were
// served recently, or by the workspace's fair share if that is higher.
func (router *Router) estimateWait(now time.Time, queue *queue, attempt *attempt) time.Duration {
	class := &queue.classes[attempt.class]
	for _, minion := range queue.minions {
		if class.count == 0 && minion.state == serving && minion.limiter.Admits(attempt.class) {
			return 0
		}
	}
	workspace := attempt.call.Workspace
	slots := float64(max(1, queue.slots()))
	if attempt.class == estimator.Long {
		service := router.catalogue.service(attempt.call.Service)
		slots *= float64(service.longSlots) / float64(service.slots)
	}
	rate := slots * queue.shares.fairShare(workspace, router.catalogue.weight(workspace))
	if account := queue.shares.accounts[workspace]; account != nil {
		rate = max(rate, account.served[attempt.class].read(now))
	}
	return time.Duration(float64(class.expected[workspace]) / max(rate, 1))
}
