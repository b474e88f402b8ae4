// Package leaser runs the protocol between one gang and its workers: reserve on
// all workers, start on all, renew together, checkpoint, release on all. It
// decides which calls are sent next and tracks the latest time until which a
// task of the gang can run.
package leaser

import (
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// Phase is a step of the protocol.
type Phase uint8

// Phases of a gang.
const (
	Reserving Phase = iota + 1
	Starting
	Running
	Checkpointing
	// Finished means that every member completed and holds its accelerators
	// until Stop.
	Finished
	Releasing
	// Ended means that no task of the gang runs or can start any more.
	Ended
)

// String returns the phase in kebab case.
func (phase Phase) String() string {
	switch phase {
	case Reserving:
		return "reserving"
	case Starting:
		return "starting"
	case Running:
		return "running"
	case Checkpointing:
		return "checkpointing"
	case Finished:
		return "finished"
	case Releasing:
		return "releasing"
	default:
		return "ended"
	}
}

// Result is the reason why a gang ended.
type Result uint8

// Results of a gang.
const (
	// None means that the gang has not ended.
	None Result = iota
	// Completed means that every member completed.
	Completed
	// Failed means that a task of a member failed.
	Failed
	// Refused means that a worker refused the reservation or the start.
	Refused
	// Lost means that a member did not answer or no longer has its task.
	Lost
	// Stopped means that the caller of Stop ended the gang.
	Stopped
)

// String returns the result in kebab case.
func (result Result) String() string {
	return [...]string{"none", "completed", "failed", "refused", "lost", "stopped"}[result]
}

// Timing holds the durations of the protocol.
type Timing struct {
	// Lease is how long a task runs without renewal.
	Lease time.Duration
	// AnswerTimeout bounds the wait for the workers' answers to reserve or start.
	AnswerTimeout time.Duration
	// Grace bounds the time to write a checkpoint.
	Grace time.Duration
	// RetryDelay is the pause before an unanswered call is repeated.
	RetryDelay time.Duration
}

// Order describes a gang to run.
type Order struct {
	Gang         messenger.Gang
	Workers      []identifier.Worker
	Accelerators int
	RunTime      time.Duration
	Progress     time.Duration
}

// Observation bounds the time at which a worker answered: it is between SentAt,
// when the call was sent, and ReceivedAt, when the answer arrived. The worker's
// clock then showed WorkerClock.
type Observation struct {
	SentAt      time.Time
	ReceivedAt  time.Time
	WorkerClock time.Duration
}

// member is the protocol state of one worker.
type member struct {
	worker identifier.Worker
	// pending is the kind of the call that awaits an answer, zero if there is none.
	pending messenger.WorkerCallKind
	// callAt is when the next call is due.
	callAt time.Time
	// reserved, started, checkpointed and released are set by the answers to those calls.
	reserved, started, checkpointed, released bool
	// startedAt is when the answer to the start arrived.
	startedAt time.Time
	// newest is the newest observation of the running or completed task.
	newest    Observation
	completed bool
	progress  time.Duration
}

// Gang is the protocol state of one gang. It is not safe for concurrent use.
type Gang struct {
	order   Order
	timing  Timing
	phase   Phase
	result  Result
	members []member
	index   map[identifier.Worker]int
	// phaseStart is when the current phase began.
	phaseStart time.Time
	// expiry is a time after which no task of the gang runs any more.
	expiry time.Time
	blamed []identifier.Worker
}

// New returns a Gang in phase Reserving that starts at the given time.
func New(now time.Time, order Order, timing Timing) *Gang {
	gang := &Gang{
		order: order, timing: timing, phase: Reserving, phaseStart: now,
		members: make([]member, len(order.Workers)), index: make(map[identifier.Worker]int, len(order.Workers)),
		expiry: now.Add(timing.Lease),
	}
	for i, worker := range order.Workers {
		gang.members[i] = member{worker: worker, callAt: now, progress: order.Progress}
		gang.index[worker] = i
	}
	return gang
}

// Adopt returns a Gang that is already running according to its workers. There
// must be an observation of each worker of the order.
func Adopt(now time.Time, order Order, timing Timing, observations map[identifier.Worker]Observation) *Gang {
	gang := New(now, order, timing)
	gang.phase = Running
	for i := range gang.members {
		member := &gang.members[i]
		member.reserved, member.started = true, true
		member.newest = observations[member.worker]
		member.startedAt = member.newest.SentAt
	}
	return gang
}

// Phase returns the current phase.
func (gang *Gang) Phase() Phase { return gang.phase }

// Result returns why the gang ended, or None while it has not ended.
func (gang *Gang) Result() Result { return gang.result }

// Blamed returns the workers that caused the result.
func (gang *Gang) Blamed() []identifier.Worker { return gang.blamed }

// Order returns the order that the gang was created from.
func (gang *Gang) Order() Order { return gang.order }

// HoldsAccelerators reports whether the worker still holds accelerators for the
// gang.
func (gang *Gang) HoldsAccelerators(worker identifier.Worker) bool {
	i, ok := gang.index[worker]
	return ok && gang.phase != Ended && !gang.members[i].released
}

// Progress returns the run time that the checkpoints of all members cover.
func (gang *Gang) Progress() time.Duration {
	progress := gang.members[0].progress
	for i := range gang.members {
		progress = min(progress, gang.members[i].progress)
	}
	return max(progress, gang.order.Progress)
}
