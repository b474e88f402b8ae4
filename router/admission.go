package router

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/estimator"
)

// admit classifies an attempt and refuses what can't be served in time.
func (router *Router) admit(now time.Time, admitted *work) *classifier.Error {
	call := admitted.call
	if !call.Deadline.After(now) {
		return classifier.New(classifier.DeadlineUnmet, "the deadline has passed")
	}
	if router.draining && !router.alone() {
		return classifier.New(classifier.Leaving, "owner %s is leaving", router.identity.Node)
	}
	waiting := router.queues[call.Service]
	if waiting == nil || !waiting.usable() {
		return classifier.New(classifier.NoMinion, "the owner has no live minion of service %q", call.Service).WithRetryAfter(time.Second)
	}
	expected := router.learned.Estimate(subject(call), router.catalogue.runTime(call))
	admitted.estimate = max(expected.Typical, time.Millisecond)
	admitted.high = expected.High
	admitted.class = estimator.Classify(expected.High, router.catalogue.service(call.Service).shortBelow)
	if router.rules.noOrder {
		admitted.class, admitted.fifo = estimator.Short, true
	}
	if router.workBytes+len(call.Body) > maxBytes {
		return classifier.New(classifier.QueueFull, "the owner holds %d bytes of bodies", router.workBytes).WithRetryAfter(router.drainTime(waiting))
	}
	if refusal := router.makeRoom(now, waiting, admitted); refusal != nil {
		return refusal
	}
	if router.rules.noRefusal {
		return nil
	}
	wait := router.estimateWait(now, waiting, admitted)
	if late := now.Add(wait + admitted.estimate).Sub(call.Deadline); late > 0 {
		return classifier.New(classifier.DeadlineUnmet, "the estimated wait of %s passes the deadline by %s",
			wait.Round(time.Millisecond), late.Round(time.Millisecond)).WithRetryAfter(late)
	}
	return nil
}

// makeRoom refuses an attempt if the queue is full. A workspace that waits
// with less than its share takes the place of the one that waits with the most.
func (router *Router) makeRoom(now time.Time, waiting *queue, admitted *work) *classifier.Error {
	if waiting.length() < maxQueued && (admitted.class == estimator.Short || waiting.classes[estimator.Long].count < maxQueuedLong) {
		return nil
	}
	class := &waiting.classes[admitted.class]
	full := classifier.New(classifier.QueueFull, "the owner's queue is full").WithRetryAfter(router.drainTime(waiting))
	if router.rules.noShares {
		return full
	}
	worst, ratio := waiting.longest(admitted.class)
	own := 1.0
	if entries := class.byWorkspace[admitted.call.Workspace]; entries != nil {
		own += float64(entries.Len())
	}
	if worst == "" || own/float64(router.catalogue.weight(admitted.call.Workspace)) >= ratio {
		return full
	}
	var last *work
	for _, candidate := range *class.byWorkspace[worst] {
		if last == nil || candidate.call.Deadline.After(last.call.Deadline) ||
			(candidate.call.Deadline.Equal(last.call.Deadline) && candidate.sequence > last.sequence) {
			last = candidate
		}
	}
	router.reject(now, last, full)
	return nil
}

// drainTime is the retry hint of a full queue: a quarter of the time that the
// queued requests take on all slots, at least 100 ms.
func (router *Router) drainTime(waiting *queue) time.Duration {
	var expected time.Duration
	for _, class := range waiting.classes {
		for _, part := range class.expected {
			expected += part
		}
	}
	return max(100*time.Millisecond, expected/time.Duration(max(1, waiting.slots()))/4)
}

// slots returns the number of slots of the minions in use.
func (queue *queue) slots() int {
	slots := 0
	for _, member := range queue.minions {
		if member.state == serving || member.state == asking {
			slots += member.limiter.Slots()
		}
	}
	return slots
}

// estimateWait returns how long an attempt would wait: as long as the own
// requests of its workspace and class take at the rate at which they were
// served lately, or at the workspace's fair part if that is more.
func (router *Router) estimateWait(now time.Time, waiting *queue, admitted *work) time.Duration {
	class := &waiting.classes[admitted.class]
	for _, member := range waiting.minions {
		if class.count == 0 && member.state == serving && member.limiter.Admits(admitted.class) {
			return 0
		}
	}
	workspace := admitted.call.Workspace
	slots := float64(max(1, waiting.slots()))
	if admitted.class == estimator.Long {
		service := router.catalogue.service(admitted.call.Service)
		slots *= float64(service.longSlots) / float64(service.slots)
	}
	rate := slots * waiting.shares.part(workspace, router.catalogue.weight(workspace))
	if known := waiting.shares.accounts[workspace]; known != nil {
		rate = max(rate, known.served[admitted.class].read(now))
	}
	return time.Duration(float64(class.expected[workspace]) / max(rate, 1))
}
