package planner_test

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/messenger"
)

// sendOrder delivers an order, subject to the faults of the simulation.
func (simulation *simulation) sendOrder(node *node, order messenger.OrderMinion) {
	minion := simulation.minions[order.Minion]
	sentAt := simulation.now
	unknown := messenger.OrderAnswered{Sent: order, SentAt: sentAt, Err: classifier.New(classifier.OutcomeUnknown, "no answer")}
	if minion.faults.refusesConnection() {
		refused := messenger.OrderAnswered{Sent: order, SentAt: sentAt, Err: classifier.New(classifier.MinionUnreachable, "connection refused")}
		refused.ConnectionRefused = true
		simulation.schedule(latency, func() { simulation.step(node, refused) })
		return
	}
	if minion.replacedBy != nil && minion.replacedBy.alive {
		other := messenger.OrderAnswered{Sent: order, SentAt: sentAt, Err: classifier.New(classifier.UnknownNode, "another minion")}
		other.Incarnation, other.Clock = minion.replacedBy.incarnation, minion.replacedBy.clock()
		simulation.schedule(latency, func() { simulation.step(node, other) })
		return
	}
	if !minion.alive && minion.faults.isDark && !minion.unreachableFrom[node] {
		simulation.hold(node, minion, order)
		return
	}
	if !minion.alive || minion.unreachableFrom[node] || minion.faults.isLost(node, order.Order) {
		simulation.schedule(order.Timeout, func() { simulation.step(node, unknown) })
		return
	}
	execute := func(answer func(messenger.OrderAnswered)) {
		if !minion.alive {
			answer(unknown) // the connection breaks
			return
		}
		minion.execute(order, sentAt, answer)
	}
	if delay := simulation.orderDelay(minion, order.Order); delay > 0 {
		simulation.schedule(delay, func() { execute(func(messenger.OrderAnswered) {}) })
		simulation.schedule(order.Timeout, func() { simulation.step(node, unknown) })
		return
	}
	if delay := minion.faults.confirmationLead(order.Order); delay > 0 {
		simulation.schedule(delay, func() { execute(func(messenger.OrderAnswered) {}) })
		simulation.schedule(latency, func() {
			simulation.step(node, messenger.OrderAnswered{Sent: order, SentAt: sentAt, Incarnation: minion.incarnation, Clock: minion.clock()})
		})
		return
	}
	isRepeated := simulation.sendFirstCopy(minion, order, sentAt)
	lost := simulation.random.Float64() < simulation.lostAnswerShare
	simulation.schedule(minion.faults.delay+latency+time.Duration(simulation.random.Int64N(int64(simulation.delayVariation+1))), func() {
		execute(func(answered messenger.OrderAnswered) {
			if lost {
				simulation.schedule(order.Timeout, func() { simulation.step(node, unknown) })
				return
			}
			answered = simulation.withOutdatedList(minion, minion.garbled(answered))
			if isRepeated || (minion.faults.refusesTwice && answered.Err != nil) {
				answered = repeated(answered)
			}
			simulation.schedule(minion.faults.delay+latency+time.Duration(simulation.random.Int64N(int64(simulation.delayVariation+1))), func() { simulation.step(node, answered) })
		})
	})
}

// sendFirstCopy sends the first copy of an order that is sent twice, and reports whether it is. The
// copy reaches no later life of the minion.
func (simulation *simulation) sendFirstCopy(minion *fakeMinion, order messenger.OrderMinion, sentAt time.Time) bool {
	if minion.faults.repeats == nil {
		return false
	}
	delay, incarnation := minion.faults.repeats(order.Order), minion.incarnation
	if delay == 0 {
		return false
	}
	simulation.schedule(delay, func() {
		if minion.alive && minion.incarnation == incarnation {
			minion.execute(order, sentAt, func(messenger.OrderAnswered) {})
		}
	})
	return true
}

// orderDelay returns the time after which a minion carries out an order that it does not
// answer, zero for an order that it answers.
func (simulation *simulation) orderDelay(minion *fakeMinion, order messenger.Order) time.Duration {
	if simulation.random.Float64() < simulation.lateOrderShare {
		return 2*time.Second + time.Duration(simulation.random.Int64N(int64(6*time.Second)))
	}
	if minion.faults.delays != nil {
		return minion.faults.delays(order)
	}
	return 0
}

// hold keeps an order for the next life of a minion, whose answer counts if it comes in time.
func (simulation *simulation) hold(node *node, minion *fakeMinion, order messenger.OrderMinion) {
	sentAt, isAnswered := simulation.now, false
	answer := func(answered messenger.OrderAnswered) {
		if !isAnswered {
			isAnswered = true
			simulation.step(node, answered)
		}
	}
	minion.held = append(minion.held, func() {
		minion.execute(order, sentAt, func(answered messenger.OrderAnswered) {
			if minion.unreachableFrom[node] {
				return
			}
			simulation.schedule(latency, func() { answer(answered) })
		})
	})
	simulation.schedule(order.Timeout, func() {
		answer(messenger.OrderAnswered{Sent: order, SentAt: sentAt, Err: classifier.New(classifier.OutcomeUnknown, "no answer")})
	})
}
