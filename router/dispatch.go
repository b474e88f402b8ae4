package router

import (
	"slices"
	"time"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/estimator"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

func subject(call commander.Call) estimator.Subject {
	return estimator.Subject{Workspace: call.Workspace, Service: call.Service, Method: call.Method}
}

// dispatch starts the waiting attempts of a service while minions have free slots.
func (router *Router) dispatch(now time.Time, service identifier.Service) {
	queue := router.queues[service]
	if queue == nil {
		return
	}
	for class := estimator.Short; class < estimator.ClassCount; class++ {
		for {
			attempt := queue.next(class, router.rules)
			if attempt == nil {
				break
			}
			if router.isTooLate(now, attempt) {
				router.reject(now, attempt, classifier.New(classifier.DeadlineUnmet, "the wait in the queue left too little time for the request"))
				continue
			}
			minion := queue.leastLoadedMinion(class)
			if minion == nil {
				break
			}
			router.startRun(now, queue, attempt, minion)
		}
	}
}

// isTooLate reports whether an attempt that waited has less time left before its
// deadline than most requests of its kind need. Running it would waste the slot.
func (router *Router) isTooLate(now time.Time, attempt *attempt) bool {
	left := attempt.call.Deadline.Sub(now)
	return left <= 0 || (now.After(attempt.queued) && left < attempt.upperQuartile && !router.rules.noEarlyRefusal)
}

func (router *Router) dispatchAll(now time.Time) {
	for _, minion := range router.owned {
		router.updateLimits(minion)
	}
	services := make([]identifier.Service, 0, len(router.queues))
	for name := range router.queues {
		services = append(services, name)
	}
	slices.Sort(services)
	for _, name := range services {
		router.dispatch(now, name)
	}
}

// leastLoadedMinion returns the minion with the most free slots among those that
// admit the class, nil if there is none.
func (queue *queue) leastLoadedMinion(class estimator.Class) *minion {
	var best *minion
	for _, minion := range queue.minions {
		if minion.state != serving || !minion.limiter.Admits(class) {
			continue
		}
		if best == nil || minion.limiter.Free() > best.limiter.Free() {
			best = minion
		}
	}
	return best
}

// startRun dispatches an attempt to a minion.
func (router *Router) startRun(now time.Time, queue *queue, attempt *attempt, minion *minion) {
	queue.remove(attempt)
	queue.shares.startRunning(now, attempt.call.Workspace, attempt.class, attempt.estimate)
	router.timers.cancel(attempt.pending)
	attempt.minion, attempt.started = minion, now
	minion.limiter.Occupy(attempt.class)
	attempt.pending = nil
	if attempt.class == estimator.Short {
		shortBelow := router.catalogue.service(attempt.call.Service).shortBelow
		attempt.pending = router.timers.set(now.Add(shortBelow), func(time.Time) {
			attempt.class = estimator.Long
			minion.limiter.Reclassify()
		})
	}
	router.recordDecision(now, attempt, "dispatched", string(minion.name))
	router.emit(messenger.CallMinion{
		Minion: minion.name, Address: minion.endpoint.address, Request: attempt.id.request, Attempt: attempt.id.attempt,
		Call: attempt.call, Timeout: attempt.call.Deadline.Sub(now),
	})
}

// handleMinionAnswered handles the result of a dispatched attempt. A result that
// does not belong to an open attempt at this minion is ignored.
func (router *Router) handleMinionAnswered(now time.Time, answer messenger.MinionAnswered) {
	id := attemptID{answer.Request, answer.Attempt}
	attempt := router.attempts[id]
	if attempt == nil || attempt.minion == nil || attempt.minion.name != answer.Minion {
		return
	}
	delete(router.attempts, id)
	router.attemptBytes -= len(attempt.call.Body)
	router.timers.cancel(attempt.pending)
	runTime := now.Sub(attempt.started)
	execution := classifier.Ran
	if answer.Err != nil {
		execution = answer.Err.Code.Execution()
	}
	charged := runTime
	if execution == classifier.NotRun {
		charged = 0
	} else {
		router.observeRunTime(attempt, runTime)
	}
	if queue := router.queues[attempt.call.Service]; queue != nil {
		queue.shares.endRunning(attempt.call.Workspace, attempt.estimate, charged)
	}
	router.updateMinionState(now, attempt, answer)
	if answer.Err != nil {
		router.recordDecision(now, attempt, answer.Err.Code.Name(), answer.Err.Message)
	}
	router.answer(attempt.entry, id, answer.Err, answer.Body)
	router.dispatch(now, attempt.call.Service)
}

func (router *Router) observeRunTime(attempt *attempt, runTime time.Duration) {
	if !router.rules.noLearning {
		router.runTimes.Observe(subject(attempt.call), runTime)
	}
}

// updateMinionState updates the state of a minion after a result.
func (router *Router) updateMinionState(now time.Time, attempt *attempt, answer messenger.MinionAnswered) {
	minion := attempt.minion
	code := classifier.OK
	if answer.Err != nil {
		code = answer.Err.Code
	}
	if code.Execution() == classifier.Unknown {
		minion.limiter.MarkForeign(attempt.class)
	} else {
		minion.limiter.Release(attempt.class)
	}
	if minion.state == released {
		if minion.limiter.Running() == 0 && !minion.queryPending {
			delete(router.owned, minion.name)
		}
		return
	}
	if answer.Leaving && minion.state != departing {
		router.markDeparting(now, minion, "announced by the minion")
	}
	if minion.state != serving {
		return
	}
	switch {
	case code == classifier.OK:
		minion.failures, minion.timeouts, minion.lastAnswerAt = 0, 0, now
	case code == classifier.MinionBusy:
		// Requests of other owners occupy its slots.
		minion.assumeAllSlotsBusy()
		router.querySlotsAfter(now, minion, foreignSlotsInterval)
	case code == classifier.MinionUnreachable:
		router.quarantine(now, minion, code.Name())
	case code.Execution() == classifier.Unknown:
		// An attempt that had too little time, or during which other attempts
		// were answered, does not indicate a fault of the minion.
		if code == classifier.TimedOut && now.Sub(attempt.started) > 2*attempt.estimate && minion.lastAnswerAt.Before(attempt.started) {
			minion.timeouts++
		}
		// The request may still be running. The minion gets no attempts until it
		// has reported how many of its slots are busy.
		router.setState(minion, awaitingSlots, code.Name())
		router.querySlots(now, minion)
	}
}
