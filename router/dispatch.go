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

// dispatch starts what waits for a service while there are slots.
func (router *Router) dispatch(now time.Time, service identifier.Service) {
	waiting := router.queues[service]
	if waiting == nil {
		return
	}
	for class := estimator.Short; class < estimator.Classes; class++ {
		for {
			next := waiting.first(class, router.rules)
			if next == nil {
				break
			}
			if router.isTooLate(now, next) {
				router.reject(now, next, classifier.New(classifier.DeadlineUnmet, "too little time is left after the wait"))
				continue
			}
			free := waiting.freest(class)
			if free == nil {
				break
			}
			router.start(now, waiting, next, free)
		}
	}
}

// isTooLate says whether what is left of the deadline after a wait is too
// short for most requests of the kind. Running them would waste the slot.
func (router *Router) isTooLate(now time.Time, next *work) bool {
	left := next.call.Deadline.Sub(now)
	return left <= 0 || (now.After(next.queued) && left < next.high && !router.rules.noRefusal)
}

func (router *Router) dispatchAll(now time.Time) {
	for _, taken := range router.owned {
		router.limit(taken)
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

// freest returns the minion with the most free slots that admits the class.
func (queue *queue) freest(class estimator.Class) *minion {
	var best *minion
	for _, member := range queue.minions {
		if member.state != serving || !member.limiter.Admits(class) {
			continue
		}
		if best == nil || member.limiter.Free() > best.limiter.Free() {
			best = member
		}
	}
	return best
}

// start dispatches an attempt to a minion.
func (router *Router) start(now time.Time, waiting *queue, started *work, target *minion) {
	waiting.remove(started)
	waiting.shares.start(now, started.call.Workspace, started.class, started.estimate)
	router.timers.cancel(started.pending)
	started.minion, started.started = target, now
	target.limiter.Take(started.class)
	started.pending = nil
	if started.class == estimator.Short {
		bound := router.catalogue.service(started.call.Service).shortBelow
		started.pending = router.timers.set(now.Add(bound), func(time.Time) {
			started.class = estimator.Long
			target.limiter.Reclassify()
		})
	}
	router.record(now, started, "dispatched", string(target.name))
	router.emit(messenger.CallMinion{
		Minion: target.name, Address: target.endpoint.address, Request: started.id.request, Attempt: started.id.attempt,
		Call: started.call, Timeout: started.call.Deadline.Sub(now),
	})
}

// conclude takes the result of a dispatched attempt. A result that belongs to
// no open attempt at this minion is dropped.
func (router *Router) conclude(now time.Time, answer messenger.MinionAnswered) {
	id := attemptID{answer.Request, answer.Attempt}
	ended := router.works[id]
	if ended == nil || ended.minion == nil || ended.minion.name != answer.Minion {
		return
	}
	delete(router.works, id)
	router.workBytes -= len(ended.call.Body)
	router.timers.cancel(ended.pending)
	ran := now.Sub(ended.started)
	fate := classifier.Ran
	if answer.Err != nil {
		fate = answer.Err.Code.Execution()
	}
	charged := ran
	if fate == classifier.NotRun {
		charged = 0
	} else {
		router.learn(ended, ran)
	}
	if waiting := router.queues[ended.call.Service]; waiting != nil {
		waiting.shares.end(ended.call.Workspace, ended.estimate, charged)
	}
	router.updateMinion(now, ended, answer)
	if answer.Err != nil {
		router.record(now, ended, answer.Err.Code.Name(), answer.Err.Message)
	}
	router.answer(ended.entry, id, answer.Err, answer.Body)
	router.dispatch(now, ended.call.Service)
}

func (router *Router) learn(ended *work, ran time.Duration) {
	if !router.rules.noLearning {
		router.learned.Observe(subject(ended.call), ran)
	}
}

// updateMinion updates the state of a minion after a result.
func (router *Router) updateMinion(now time.Time, ended *work, answer messenger.MinionAnswered) {
	target := ended.minion
	code := classifier.OK
	if answer.Err != nil {
		code = answer.Err.Code
	}
	if code.Execution() == classifier.Unknown {
		target.limiter.MarkForeign(ended.class)
	} else {
		target.limiter.Release(ended.class)
	}
	if target.state == released {
		if target.limiter.Open() == 0 && !target.asked {
			delete(router.owned, target.name)
		}
		return
	}
	if answer.Leaving && target.state != departing {
		router.depart(now, target, "announced by the minion")
	}
	if target.state != serving {
		return
	}
	switch {
	case code == classifier.OK:
		target.failures, target.silent, target.servedAt = 0, 0, now
	case code == classifier.MinionBusy:
		// Others keep its slots busy.
		target.assumeBusy()
		router.askLater(now, target, foreignInterval)
	case code == classifier.MinionUnreachable:
		router.quarantine(now, target, code.Name())
	case code.Execution() == classifier.Unknown:
		// An attempt that had too little time, or ran beside others that were
		// answered, is no evidence of a fault of the minion.
		if code == classifier.TimedOut && now.Sub(ended.started) > 2*ended.estimate && target.servedAt.Before(ended.started) {
			target.silent++
		}
		// The request may run on. The minion gets no attempts until it has
		// reported how many of its slots are busy.
		router.setState(target, asking, code.Name())
		router.askSlots(now, target)
	}
}
