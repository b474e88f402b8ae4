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
	streams map[identifier.Stream][]messenger.AppendRead
	down    bool
	// loseAnswers is the part of appends whose answer is lost after they took effect.
	loseAnswers float64
	// repeat is the part of appends that take effect twice.
	repeat float64
}

// The log stands in region gulf.
func (log *fakeLog) reachable(process *process) bool {
	return !log.down && !log.isCut(process.identity.Region, "gulf")
}

// append keeps trying until the record is in the log or the node gives up, and
// reports a failure with the fate that an appender can know.
func (log *fakeLog) append(process *process, action messenger.AppendRecord, fate classifier.Execution) {
	if !log.reachable(process) {
		if log.now.After(action.Deadline) {
			process.deliver(messenger.AppendFailed{
				Stream: action.Stream, ID: action.Entry.ID, Code: classifier.LogUnavailable, Execution: fate,
			})
			return
		}
		process.later(200*time.Millisecond, func() { log.append(process, action, fate) })
		return
	}
	if log.contains(action.Stream, action.Entry.ID) {
		return
	}
	lost := log.random.Float64() < log.loseAnswers
	if lost {
		fate = classifier.Unknown
		process.later(time.Second, func() { log.append(process, action, fate) })
	}
	// The record takes effect even if the node dies while it is on its way.
	log.after(2*time.Millisecond, func() { log.add(action) })
	if log.random.Float64() < log.repeat {
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
		process.later(time.Duration(log.random.Int64N(int64(20*time.Millisecond))), func() { process.read(action.Stream) })
	}
}

// read delivers what a node has not yet read of a stream.
func (process *process) read(stream identifier.Stream) {
	if !process.log.reachable(process) {
		if since := process.heard[stream]; process.now.Sub(since) > 7*time.Second {
			process.deliver(messenger.StreamUnavailable{Stream: stream, Since: since})
		}
		return
	}
	process.heard[stream] = process.now
	appends := process.log.streams[stream]
	for process.cursor[stream] < len(appends) && process.up {
		read := appends[process.cursor[stream]]
		read.Reset = process.cursor[stream] == 0
		process.cursor[stream]++
		process.deliver(read)
	}
	process.deliver(messenger.StreamEndReached{Stream: stream, Next: identifier.Offset(len(appends) + 1), At: process.now})
}

// execution is one run of a request on a minion.
type execution struct {
	request identifier.Request
	key     identifier.Key
	at      time.Time
}

// fakeMinion runs requests and remembers them.
type fakeMinion struct {
	*deployment
	name    identifier.Minion
	region  identifier.Region
	address netip.AddrPort
	busy    int
	peak    int
	dead    bool
	leaving bool
	// leftAt is when the minion announced that it leaves.
	leftAt time.Time
	// late counts requests that began more than a few seconds after that.
	late       int
	unlisted   bool
	loseAnswer float64
	executions []execution
}

const minionSlots = 8

// leavingGrace is the "few seconds" after which a leaving endpoint gets no new work.
const leavingGrace = 3 * time.Second

func (deployment *deployment) minion(name identifier.Minion) *fakeMinion {
	for _, minion := range deployment.minions {
		if minion.name == name {
			return minion
		}
	}
	return nil
}

// loseAnswers makes all minions lose a part of their answers.
func (deployment *deployment) loseAnswers(part float64) {
	for _, minion := range deployment.minions {
		minion.loseAnswer = part
	}
}

func (minion *fakeMinion) call(process *process, call messenger.CallMinion) {
	answered := messenger.MinionAnswered{Minion: minion.name, Request: call.Request, Attempt: call.Attempt, Busy: -1}
	if minion.isCut(process.identity.Region, minion.region) || minion.dead {
		answered.Err = classifier.New(classifier.MinionUnreachable, "no connection")
		process.later(50*time.Millisecond, func() { process.deliver(answered) })
		return
	}
	life := process.life
	minion.after(time.Millisecond, func() {
		if minion.dead {
			answered.Err = classifier.New(classifier.OutcomeUnknown, "connection ended")
		} else if minion.busy >= minionSlots {
			answered.Err = classifier.New(classifier.MinionBusy, "all slots are busy")
		} else {
			minion.execute(process, life, call, answered)
			return
		}
		process.later(time.Millisecond, func() { process.deliver(answered) })
	})
}

func (minion *fakeMinion) execute(process *process, life int, call messenger.CallMinion, answered messenger.MinionAnswered) {
	minion.busy++
	if minion.leaving && minion.now.Sub(minion.leftAt) > leavingGrace {
		minion.late++
	}
	minion.peak = max(minion.peak, minion.busy)
	minion.executions = append(minion.executions, execution{call.Request, call.Call.Key, minion.now})
	lost := minion.random.Float64() < minion.loseAnswer
	runTime := time.Duration(20+minion.random.IntN(80)) * time.Millisecond
	minion.after(runTime, func() {
		minion.busy--
		answered.Body = append([]byte("answer to "), call.Call.Body...)
		if process.life != life {
			return
		}
		if lost || minion.dead {
			answered.Body, answered.Err = nil, classifier.New(classifier.OutcomeUnknown, "no answer")
			// The connection breaks at once, or stays silent until the timeout.
			silence := call.Timeout - runTime
			if minion.random.IntN(2) == 0 {
				silence = time.Millisecond
			}
			process.later(silence, func() { process.deliver(answered) })
			return
		}
		process.later(time.Millisecond, func() { process.deliver(answered) })
	})
}

func (minion *fakeMinion) ask(process *process, ask messenger.QuerySlots) {
	answered := messenger.SlotsAnswered{Minion: ask.Minion, Slots: minionSlots, Busy: minion.busy, Leaving: minion.leaving}
	if minion.dead || minion.isCut(process.identity.Region, minion.region) {
		answered.Err = classifier.New(classifier.MinionUnreachable, "no connection")
	}
	process.later(2*time.Millisecond, func() { process.deliver(answered) })
}
