package planner_test

import (
	"slices"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// minionFaults are the faults of one minion beyond those of the simulation.
type minionFaults struct {
	// refuse returns the code with which the minion refuses an order that it has
	// not carried out, OK for none. It may be nil.
	refuse func(order messenger.Order) classifier.Code
	// garbles returns the code of an order that the minion carries out and whose answer
	// can't be read, OK for none. It may be nil.
	garbles func(order messenger.Order) classifier.Code
	// exchange is how such an answer came.
	exchange messenger.Exchange
	// refusesTwice means that orders that are refused were sent twice, and refused both times.
	refusesTwice bool
	// loses reports whether an order never reaches the minion, although others do. It
	// may be nil.
	loses func(order messenger.Order) bool
	// losesFrom is as loses, for the orders of one node. It may be nil.
	losesFrom func(node *node, order messenger.Order) bool
	// delays returns the time after which the minion carries out an order that it does not
	// answer, zero for an order that it answers. It may be nil.
	delays func(order messenger.Order) time.Duration
	// confirmsEarly returns the time after which the minion carries out an order that it seems to confirm
	// at once, because the answer to another one is taken for its, zero for no such order. It may be nil.
	confirmsEarly func(order messenger.Order) time.Duration
	// repeats returns the time after which the minion carries out the first copy of an order that is
	// sent twice, zero for an order that is sent once. The answer is that to the second copy. It may
	// be nil.
	repeats func(order messenger.Order) time.Duration
	// isDark means that orders that arrive while the minion is down wait for its next life.
	isDark bool
	// refusesConnections means that no order is ever sent to the minion, which the
	// sender learns at once.
	refusesConnections bool
	// refusedConnections is the number of the next orders that are never sent for that reason.
	refusedConnections int
	// refusesUnknownStop means that a stop of a run that the minion has never had
	// is refused with BadRequest.
	refusesUnknownStop bool
	// delay is added to the time that each order and each answer takes.
	delay time.Duration
	// answersAs is the incarnation that the answers name, zero for the actual one.
	answersAs identifier.Incarnation
	// draining and remaining are what the minion's report says.
	draining  bool
	remaining time.Duration
	// coldRemaining is for how much longer the minion's report says that it is slow.
	coldRemaining time.Duration
	// addedLatency is what the load of a serving task itself adds to its tail latency, in
	// milliseconds.
	addedLatency float64
}

// refusesConnection reports whether the connection for the next order is refused.
func (minionFaults *minionFaults) refusesConnection() bool {
	if minionFaults.refusedConnections > 0 {
		minionFaults.refusedConnections--
		return true
	}
	return minionFaults.refusesConnections
}

func (minionFaults *minionFaults) refusal(order messenger.Order) classifier.Code {
	if minionFaults.refuse == nil {
		return classifier.OK
	}
	return minionFaults.refuse(order)
}

// garbled returns an answer as the sender reads it.
func (minion *fakeMinion) garbled(answered messenger.OrderAnswered) messenger.OrderAnswered {
	if minion.faults.garbles == nil || answered.Err != nil {
		return answered
	}
	if code := minion.faults.garbles(answered.Sent.Order); code != classifier.OK {
		return messenger.OrderAnswered{Sent: answered.Sent, SentAt: answered.SentAt, Err: classifier.New(code, "unreadable"), Exchange: minion.faults.exchange}
	}
	return answered
}

// repeated returns the answer to an order as the sender reads it if the order was sent twice.
func repeated(answered messenger.OrderAnswered) messenger.OrderAnswered {
	answered.IsRepeat, answered.Err = true, answered.Err.OfRepeat()
	return answered
}

// confirmationLead returns how long an order seems to be confirmed before it is carried out, zero if it is not.
func (minionFaults *minionFaults) confirmationLead(order messenger.Order) time.Duration {
	if minionFaults.confirmsEarly == nil {
		return 0
	}
	return minionFaults.confirmsEarly(order)
}

// isLost reports whether an order never reaches the minion.
func (minionFaults *minionFaults) isLost(node *node, order messenger.Order) bool {
	if minionFaults.losesFrom != nil && minionFaults.losesFrom(node, order) {
		return true
	}
	return minionFaults.loses != nil && minionFaults.loses(order)
}

// startupTime is how long a long-running task needs until it is at work.
const startupTime = 500 * time.Millisecond

// percent returns the run's progress as its minion reports it: 100 only for a
// long-running task that is at work.
func (run *fakeRun) percent() int {
	simulation := run.minion.simulation
	if simulation.hidesProgress {
		return 0
	}
	elapsed := run.elapsed()
	if run.spec.LongRunning {
		return int(min(100*elapsed/startupTime, 100))
	}
	if simulation.checkpoints != nil {
		elapsed = run.work()
	}
	return int(min(100*elapsed/max(simulation.workTime(run), 1), 99))
}

// hasSeen reports whether the minion has, or had, the run of a stop.
func (minion *fakeMinion) hasSeen(stop messenger.StopRun) bool {
	run := minion.runs[stop.Task]
	return (run != nil && run.number == stop.Run) || minion.highestRun[stop.Task] >= stop.Run
}

// deliverAllReports delivers the reports of the registered minions to all nodes.
func (simulation *simulation) deliverAllReports() {
	for _, node := range simulation.nodes {
		simulation.deliverReports(node)
	}
}

// requestWave delivers an operator's request for a wave to all nodes.
func (simulation *simulation) requestWave(wave messenger.Wave) {
	simulation.services.waves[wave.Wave] = wave
	for _, node := range simulation.nodes {
		simulation.step(node, messenger.WavesRead{Waves: []messenger.Wave{wave}})
	}
}

// isCompleted reports whether a holder has reported a wave as completed.
func (fakeServices *fakeServices) isCompleted(wave identifier.Wave) bool {
	return slices.Contains(fakeServices.reportedWaves, messenger.ReportWave{Wave: wave, Completed: true})
}
