package decider_test

import (
	"net/netip"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// fakeLog is the platform's log together with the appenders and followers of
// the nodes.
type fakeLog struct {
	*deployment
	streams       map[identifier.Stream][]messenger.AppendRead
	isUnavailable bool
	// answerLossRate is the fraction of appends whose answer is lost after they took
	// effect.
	answerLossRate float64
	// duplicateRate is the fraction of appends that take effect twice.
	duplicateRate float64
}

// isReachable reports whether a process can reach the log, which is in region gulf.
func (log *fakeLog) isReachable(process *process) bool {
	return !log.isUnavailable && !log.isPartitioned(process.identity.Region, "gulf")
}

// append retries until the record is in the log or the deadline has passed. It
// reports a failure as Unknown if the record may be in the log.
func (log *fakeLog) append(process *process, action messenger.AppendRecord, execution classifier.Execution) {
	if !log.isReachable(process) {
		if log.now.After(action.Deadline) {
			process.deliver(messenger.AppendFailed{
				Stream: action.Stream, ID: action.Entry.ID, Code: classifier.LogUnavailable, Execution: execution,
			})
			return
		}
		process.afterInIncarnation(200*time.Millisecond, func() { log.append(process, action, execution) })
		return
	}
	if log.contains(action.Stream, action.Entry.ID) {
		return
	}
	isAnswerLost := log.random.Float64() < log.answerLossRate
	if isAnswerLost {
		execution = classifier.Unknown
		process.afterInIncarnation(time.Second, func() { log.append(process, action, execution) })
	}
	// The record takes effect even if the node dies before the append completes.
	log.after(2*time.Millisecond, func() { log.add(action) })
	if log.random.Float64() < log.duplicateRate {
		log.after(time.Second, func() { log.add(action) })
	}
}

func (log *fakeLog) contains(stream identifier.Stream, id string) bool {
	for _, read := range log.streams[stream] {
		if read.Entries[0].ID == id {
			return true
		}
	}
	return false
}

func (log *fakeLog) add(action messenger.AppendRecord) {
	offset := identifier.Offset(len(log.streams[action.Stream]) + 1)
	log.streams[action.Stream] = append(log.streams[action.Stream], messenger.AppendRead{
		Stream: action.Stream, Offset: offset, AppendedAt: log.now, Entries: []messenger.Entry{action.Entry},
	})
	for _, process := range log.nodes {
		process.afterInIncarnation(time.Duration(log.random.Int64N(int64(20*time.Millisecond))), func() { process.read(action.Stream) })
	}
}

// read delivers the appends of a stream that a node has not read yet.
func (process *process) read(stream identifier.Stream) {
	if !process.log.isReachable(process) {
		if since := process.lastContact[stream]; process.now.Sub(since) > 7*time.Second {
			process.deliver(messenger.StreamUnavailable{Stream: stream, Since: since})
		}
		return
	}
	process.lastContact[stream] = process.now
	appends := process.log.streams[stream]
	for process.nextRead[stream] < len(appends) && process.isUp {
		read := appends[process.nextRead[stream]]
		read.Reset = process.nextRead[stream] == 0
		process.nextRead[stream]++
		process.deliver(read)
	}
	process.deliver(messenger.StreamEndReached{Stream: stream, Next: identifier.Offset(len(appends) + 1), At: process.now})
}

// execution is one execution of a request on a minion.
type execution struct {
	request identifier.Request
	key     identifier.Key
	at      time.Time
}

// fakeMinion executes requests and records the executions.
type fakeMinion struct {
	*deployment
	name      identifier.Minion
	region    identifier.Region
	address   netip.AddrPort
	busy      int
	peak      int
	isDead    bool
	isLeaving bool
	// leftAt is when the minion announced that it is leaving.
	leftAt time.Time
	// lateStarts counts the requests that began more than leavingGracePeriod after
	// leftAt.
	lateStarts     int
	isUnlisted     bool
	answerLossRate float64
	executions     []execution
}

const minionSlots = 8

// leavingGracePeriod is the time after which a leaving minion must receive no new
// requests.
const leavingGracePeriod = 3 * time.Second

func (deployment *deployment) minion(name identifier.Minion) *fakeMinion {
	for _, minion := range deployment.minions {
		if minion.name == name {
			return minion
		}
	}
	return nil
}

// setAnswerLossRate sets the fraction of answers that all minions lose.
func (deployment *deployment) setAnswerLossRate(rate float64) {
	for _, minion := range deployment.minions {
		minion.answerLossRate = rate
	}
}

func (minion *fakeMinion) call(process *process, call messenger.CallMinion) {
	answered := messenger.MinionAnswered{Minion: minion.name, Request: call.Request, Attempt: call.Attempt, Busy: -1}
	if minion.isPartitioned(process.identity.Region, minion.region) || minion.isDead {
		answered.Err = classifier.New(classifier.MinionUnreachable, "no connection")
		process.afterInIncarnation(50*time.Millisecond, func() { process.deliver(answered) })
		return
	}
	incarnation := process.incarnation
	minion.after(time.Millisecond, func() {
		if minion.isDead {
			answered.Err = classifier.New(classifier.OutcomeUnknown, "connection ended")
		} else if minion.busy >= minionSlots {
			answered.Err = classifier.New(classifier.MinionBusy, "all slots are busy")
		} else {
			minion.execute(process, incarnation, call, answered)
			return
		}
		process.afterInIncarnation(time.Millisecond, func() { process.deliver(answered) })
	})
}

func (minion *fakeMinion) execute(process *process, incarnation int, call messenger.CallMinion, answered messenger.MinionAnswered) {
	minion.busy++
	if minion.isLeaving && minion.now.Sub(minion.leftAt) > leavingGracePeriod {
		minion.lateStarts++
	}
	minion.peak = max(minion.peak, minion.busy)
	minion.executions = append(minion.executions, execution{call.Request, call.Call.Key, minion.now})
	isAnswerLost := minion.random.Float64() < minion.answerLossRate
	runTime := time.Duration(20+minion.random.IntN(80)) * time.Millisecond
	minion.after(runTime, func() {
		minion.busy--
		answered.Body = append([]byte("answer to "), call.Call.Body...)
		if process.incarnation != incarnation {
			return
		}
		if isAnswerLost || minion.isDead {
			answered.Body, answered.Err = nil, classifier.New(classifier.OutcomeUnknown, "no answer")
			// The connection breaks immediately, or carries no data until the timeout.
			errorDelay := call.Timeout - runTime
			if minion.random.IntN(2) == 0 {
				errorDelay = time.Millisecond
			}
			process.afterInIncarnation(errorDelay, func() { process.deliver(answered) })
			return
		}
		process.afterInIncarnation(time.Millisecond, func() { process.deliver(answered) })
	})
}

func (minion *fakeMinion) querySlots(process *process, query messenger.QuerySlots) {
	answered := messenger.SlotsAnswered{Minion: query.Minion, Slots: minionSlots, Busy: minion.busy, Leaving: minion.isLeaving}
	if minion.isDead || minion.isPartitioned(process.identity.Region, minion.region) {
		answered.Err = classifier.New(classifier.MinionUnreachable, "no connection")
	}
	process.afterInIncarnation(2*time.Millisecond, func() { process.deliver(answered) })
}
