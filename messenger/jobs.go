package messenger

import (
	"net/netip"
	"time"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
)

// JobAccepted reports that a submission was applied.
type JobAccepted struct {
	Spec   commander.JobSpec
	Offset identifier.Offset
	At     time.Time
}

// JobCancelled reports that a cancellation was applied.
type JobCancelled struct {
	Job identifier.Job
}

// JobEnded reports that the outcome of a job was applied.
type JobEnded struct {
	Outcome Outcome
}

// ClaimApplied reports that the placement of a region has a new holder.
type ClaimApplied struct {
	Claim RegionClaim
	Term  identifier.Term
}

// JobsCaughtUp reports that the jobs stream was applied up to its end for the first
// time, and that the claims and open jobs have been announced.
type JobsCaughtUp struct{}

func (JobAccepted) event()  {}
func (JobCancelled) event() {}
func (JobEnded) event()     {}
func (ClaimApplied) event() {}
func (JobsCaughtUp) event() {}

func (JobAccepted) action()  {}
func (JobCancelled) action() {}
func (JobEnded) action()     {}
func (ClaimApplied) action() {}
func (JobsCaughtUp) action() {}

// WorkerCallKind is the kind of a call to a worker.
type WorkerCallKind uint8

// Kinds of calls to a worker. All of them are idempotent.
const (
	ReserveTask WorkerCallKind = iota + 1
	StartTask
	RenewTasks
	CheckpointTask
	ReleaseTask
	ReadState
)

// Gang identifies one placement of a job. A job that is placed again gets a
// higher Placement.
type Gang struct {
	Job       identifier.Job
	Placement uint32
}

// CallWorker requests the controller to call a worker. docs/WORKER-PROTOCOL.md
// describes the calls.
type CallWorker struct {
	// Sequence is copied into the answer, to distinguish it from the answer to an
	// earlier call to the same worker.
	Sequence uint64
	Worker   identifier.Worker
	Address  netip.AddrPort
	Kind     WorkerCallKind
	Term     identifier.Term
	// Gang is the subject of every kind but RenewTasks and ReadState.
	Gang Gang
	// Gangs are the subjects of RenewTasks.
	Gangs        []Gang
	Accelerators int
	// Members are all workers of the gang, sent with ReserveTask.
	Members []identifier.Worker
	// Lease is how long the worker may run the task without renewal, counted
	// from WorkerClock. The lease of ReserveTask counts from the receipt of the call.
	Lease time.Duration
	// WorkerClock is the worker's clock reading from an earlier answer. Because the lease
	// counts from it, a call that is delayed in transit does not extend the lease.
	WorkerClock time.Duration
	// RunTime is the declared run time, sent with StartTask.
	RunTime time.Duration
	// Progress is the run time that the job's newest checkpoint covers, sent with StartTask.
	Progress time.Duration
	// Grace limits the duration of a checkpoint, sent with CheckpointTask.
	Grace time.Duration
}

// Refusal returns the answer to a call that was not carried out.
func (callWorker CallWorker) Refusal(err *classifier.Error) WorkerAnswered {
	return WorkerAnswered{
		Sequence: callWorker.Sequence, Worker: callWorker.Worker, Kind: callWorker.Kind, Gang: callWorker.Gang, Err: err,
	}
}

// TaskState is the state of a task on its worker.
type TaskState uint8

// States of a task.
const (
	Reserved TaskState = iota + 1
	Running
	Completed
	Failed
	Expired
)

// String returns the state's name in the worker protocol.
func (state TaskState) String() string {
	switch state {
	case Reserved:
		return "reserved"
	case Running:
		return "running"
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case Expired:
		return "lapsed"
	default:
		return "unknown"
	}
}

// Task is a task as its worker reports it.
type Task struct {
	Gang         Gang
	State        TaskState
	Accelerators int
	Members      []identifier.Worker
	// Progress is the run time that the newest checkpoint covers.
	Progress time.Duration
}

// WorkerAnswered is the result of a CallWorker, sent exactly once for each.
type WorkerAnswered struct {
	Sequence uint64
	Worker   identifier.Worker
	Kind     WorkerCallKind
	Gang     Gang
	// Err is nil if the call took effect. Otherwise the Execution of its code states
	// whether the call may have taken effect.
	Err *classifier.Error
	// Tasks are all tasks on the worker after the call.
	Tasks []Task
	// Accelerators is the number of accelerators of the worker, zero if it did not answer.
	Accelerators int
	// HighestTerm is the highest term that the worker has seen, zero if it did not answer.
	HighestTerm identifier.Term
	// WorkerClock is the worker's clock reading at the time of the answer.
	WorkerClock time.Duration
}

func (WorkerAnswered) event() {}

func (CallWorker) action() {}
