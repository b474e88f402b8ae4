// Package leaser runs the protocol of one gang towards its workers: reserve on
// all, start all, renew together, checkpoint, release on all. It decides what
// to ask next and knows until when a task of the gang can run at most.
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

// Result says why a gang ended.
type Result uint8

// Results of a gang.
const (
	// None means that the gang goes on.
	None Result = iota
	// Completed means that every member completed.
	Completed
	// Failed means that a task of a member failed.
	Failed
	// Refused means that a worker refused the reservation or the start.
	Refused
	// Lost means that a member did not answer or lost its task.
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
	// AnswerTimeout is how long a worker may leave reserve or start unanswered.
	AnswerTimeout time.Duration
	// Grace bounds a checkpoint.
	Grace time.Duration
	// Retry is the pause before an unanswered call is repeated.
	Retry time.Duration
}

// Order is a gang that is to run.
type Order struct {
	Gang         messenger.Gang
	Workers      []identifier.Worker
	Accelerators int
	RunTime      time.Duration
	Progress     time.Duration
}

// Observation is an answer of a worker: it was given at some time between AskedAt
// and AnsweredAt, when the worker's clock stood at Mark.
type Observation struct {
	AskedAt    time.Time
	AnsweredAt time.Time
	Mark       time.Duration
}

// member is the state of the protocol at one worker.
type member struct {
	worker identifier.Worker
	// open is the kind of the call without an answer, zero if there is none.
	open messenger.WorkerCallKind
	// askAt is when the next call is due.
	askAt time.Time
	// reserved, started, saved and released are set by answers.
	reserved, started, saved, released bool
	// startedAt is when the answer to the start came.
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
	// began is the start of the phase.
	began time.Time
	// expiry is a time after which no task of the gang runs.
	expiry time.Time
	blamed []identifier.Worker
}

// New returns a Gang that begins to reserve at the given time.
func New(now time.Time, order Order, timing Timing) *Gang {
	gang := &Gang{
		order: order, timing: timing, phase: Reserving, began: now,
		members: make([]member, len(order.Workers)), index: make(map[identifier.Worker]int, len(order.Workers)),
		expiry: now.Add(timing.Lease),
	}
	for i, worker := range order.Workers {
		gang.members[i] = member{worker: worker, askAt: now, progress: order.Progress}
		gang.index[worker] = i
	}
	return gang
}

// Adopt returns a Gang that runs already, as its workers reported. The order's
// workers must all have been observed.
func Adopt(now time.Time, order Order, timing Timing, observations map[identifier.Worker]Observation) *Gang {
	gang := New(now, order, timing)
	gang.phase = Running
	for i := range gang.members {
		member := &gang.members[i]
		member.reserved, member.started = true, true
		member.newest = observations[member.worker]
		member.startedAt = member.newest.AskedAt
	}
	return gang
}

// Phase returns the phase.
func (gang *Gang) Phase() Phase { return gang.phase }

// Result returns why the gang ended, None as long as it goes on.
func (gang *Gang) Result() Result { return gang.result }

// Blamed returns the workers that caused the result.
func (gang *Gang) Blamed() []identifier.Worker { return gang.blamed }

// Order returns what was asked for.
func (gang *Gang) Order() Order { return gang.order }

// Holds says whether the worker still holds accelerators for the gang.
func (gang *Gang) Holds(worker identifier.Worker) bool {
	i, ok := gang.index[worker]
	return ok && gang.phase != Ended && !gang.members[i].released
}

// Progress returns the run time that the checkpoints of all members hold.
func (gang *Gang) Progress() time.Duration {
	progress := gang.members[0].progress
	for i := range gang.members {
		progress = min(progress, gang.members[i].progress)
	}
	return max(progress, gang.order.Progress)
}
