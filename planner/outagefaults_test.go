package planner_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// outageFault is a fault of one minion near an outage of the store.
type outageFault struct {
	kind   string
	minion int
	at     time.Duration
	span   time.Duration
	// extra is the time beyond the span that some kinds have.
	extra  time.Duration
	isDark bool
}

// outageFaultKinds begin the faults of minions.
var outageFaultKinds = map[string]func(*simulation, *fakeMinion, outageFault){
	"cut-from-holder": func(simulation *simulation, minion *fakeMinion, fault outageFault) {
		simulation.setReachable(false, minion.name)
		simulation.schedule(fault.span, func() { simulation.setReachable(true, minion.name) })
	},
	"cut-off": func(simulation *simulation, minion *fakeMinion, fault outageFault) {
		minion.faults.refusesConnections = false
		simulation.cutOffFor(minion, fault.span+fault.extra)
	},
	"refusing": func(simulation *simulation, minion *fakeMinion, fault outageFault) {
		simulation.refuseConnections(minion, min(fault.span, time.Second))
	},
	"broken-answers": func(simulation *simulation, minion *fakeMinion, fault outageFault) {
		minion.faults.garbles = func(messenger.Order) classifier.Code {
			return []classifier.Code{classifier.OK, classifier.OutcomeUnknown, classifier.CorruptAnswer}[simulation.random.IntN(3)]
		}
		simulation.schedule(fault.span, func() { minion.faults.garbles = nil })
	},
	"lost-orders": func(simulation *simulation, minion *fakeMinion, fault outageFault) {
		minion.faults.loses = func(messenger.Order) bool { return simulation.random.IntN(2) == 0 }
		simulation.schedule(fault.span, func() { minion.faults.loses = nil })
	},
	"sent-twice": func(simulation *simulation, minion *fakeMinion, fault outageFault) {
		minion.faults.repeats = func(messenger.Order) time.Duration {
			return time.Duration(simulation.random.IntN(2)) * (time.Millisecond + time.Duration(simulation.random.Int64N(int64(fault.extra+1))))
		}
		minion.faults.refuse = simulation.refuseSomeStarts
		simulation.schedule(fault.span, func() { minion.faults.repeats, minion.faults.refuse = nil, nil })
	},
	"late-orders": func(simulation *simulation, minion *fakeMinion, fault outageFault) {
		minion.faults.delays = func(messenger.Order) time.Duration {
			return time.Duration(simulation.random.IntN(2)) * (time.Millisecond + time.Duration(simulation.random.Int64N(int64(2*fault.extra+1))))
		}
		simulation.schedule(fault.span, func() { minion.faults.delays = nil })
	},
	"refused-starts": func(simulation *simulation, minion *fakeMinion, fault outageFault) {
		minion.faults.refuse = simulation.refuseSomeStarts
		simulation.schedule(fault.span, func() { minion.faults.refuse = nil })
	},
	"slow-link": func(simulation *simulation, minion *fakeMinion, fault outageFault) {
		minion.faults.delay = fault.extra / 10
		simulation.schedule(fault.span, func() { minion.faults.delay = 0 })
	},
	"restart": func(simulation *simulation, minion *fakeMinion, fault outageFault) {
		simulation.crashFor(minion, fault.isDark, min(fault.span, 1500*time.Millisecond), fault.extra)
	},
	"drain": func(simulation *simulation, minion *fakeMinion, fault outageFault) {
		simulation.drainAndLeave(minion, fault.span, fault.extra, fault.isDark)
	},
	"drain-and-refuse": func(simulation *simulation, minion *fakeMinion, fault outageFault) {
		simulation.drainAndLeave(minion, fault.span, fault.extra, fault.isDark)
		simulation.schedule(fault.extra/2, func() { simulation.refuseConnections(minion, 400*time.Millisecond) })
	},
}

// refuseSomeStarts returns the code with which a minion refuses an order, for some of the starts.
func (simulation *simulation) refuseSomeStarts(order messenger.Order) classifier.Code {
	if _, isStart := order.(messenger.StartRun); !isStart {
		return classifier.OK
	}
	return []classifier.Code{classifier.OK, classifier.NoCapacity, classifier.MinionBusy, classifier.LeaseExpired}[simulation.random.IntN(4)]
}

// refuseConnections lets a minion refuse all connections for a time, while it lives. One that is cut
// off brings no answer at all.
func (simulation *simulation) refuseConnections(minion *fakeMinion, span time.Duration) {
	if !minion.alive || minion.unreachableFrom[simulation.nodes[0]] {
		return
	}
	minion.faults.refusesConnections = true
	incarnation := minion.incarnation
	simulation.schedule(span, func() {
		if minion.incarnation == incarnation && minion.alive {
			minion.faults.refusesConnections = false
		}
	})
}

const (
	// drainStep is the time between two updates of what a minion says about its departure.
	drainStep = 250 * time.Millisecond
	// replacementTime is the time from the departure of a minion until its name is used again, by
	// which no order to the earlier life is late any more.
	replacementTime = 16 * time.Second
)

// drainAndLeave lets a minion announce its departure once the store accepts that, and leave after
// the announced time and some more. It refuses connections then, or brings no answer. Much later
// a minion of its name starts.
func (simulation *simulation) drainAndLeave(minion *fakeMinion, notice, extra time.Duration, isDark bool) {
	if !minion.alive || minion.faults.draining {
		return
	}
	if simulation.store.down || minion.unregistered {
		simulation.schedule(drainStep, func() { simulation.drainAndLeave(minion, notice, extra, isDark) })
		return
	}
	incarnation := minion.incarnation
	minion.faults.draining, minion.faults.remaining = true, notice
	simulation.noteFault("store-entry of minion-%s: draining, leaves in %s to %s", minion.name, notice, notice+extra)
	simulation.deliverAllReports()
	simulation.countDown(minion, incarnation)
	simulation.schedule(notice+extra, func() {
		if minion.incarnation == incarnation {
			minion.crash()
			minion.faults.refusesConnections, minion.faults.isDark = !isDark, false // no later life takes its orders
			simulation.deliverAllReports()
		}
		simulation.schedule(replacementTime, func() {
			minion.faults.draining, minion.faults.remaining, minion.faults.refusesConnections = false, 0, false
			minion.start()
			simulation.deliverAllReports()
		})
	})
}

// countDown updates the time that a draining minion announces.
func (simulation *simulation) countDown(minion *fakeMinion, incarnation identifier.Incarnation) {
	simulation.schedule(drainStep, func() {
		if minion.incarnation != incarnation || !minion.faults.draining {
			return
		}
		minion.faults.remaining = max(minion.faults.remaining-drainStep, 0)
		simulation.countDown(minion, incarnation)
	})
}

// drawOutageFault returns a fault near an outage, of one of the kinds and at one of the first minions.
func drawOutageFault(kinds []string, minions int, at, downFor time.Duration) *rapid.Generator[outageFault] {
	return rapid.Custom(func(t *rapid.T) outageFault {
		return outageFault{
			kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			minion: rapid.IntRange(0, minions-1).Draw(t, "minion"),
			at:     at + drawMilliseconds(t, "fault-at", -1000, int((downFor+3*time.Second).Milliseconds())),
			span:   drawMilliseconds(t, "span", 30, 5000),
			extra:  drawMilliseconds(t, "extra", 0, 3000),
			isDark: rapid.Bool().Draw(t, "dark"),
		}
	})
}

// kindsOfOutageFaults returns the kinds that a schedule may have. A start that is late may be carried
// out by a life that nobody knows, which is a fault of its own, so that no minion starts again then.
func kindsOfOutageFaults(hasLateOrders bool) []string {
	excluded := "late-orders"
	if hasLateOrders {
		excluded = "restart"
	}
	return slices.DeleteFunc(slices.Sorted(maps.Keys(outageFaultKinds)), func(kind string) bool { return kind == excluded })
}

// checkLostRun checks that a run that the holder gives up does not run on.
func (simulation *simulation) checkLostRun(decision messenger.Decision) {
	var number uint64
	var name identifier.Minion
	if decision.Outcome != "run-lost" {
		return
	}
	if _, err := fmt.Sscanf(decision.Detail, "run=%d minion=%s", &number, &name); err != nil {
		panic(err)
	}
	minion := simulation.minions[name]
	for task, run := range minion.runs {
		if minion.alive && !run.ended && run.number == number && task.String() == decision.Subject {
			simulation.reportViolation("%s: run %d on %s is lost while it goes on: %s", task, number, name, decision.Reason)
		}
	}
}
