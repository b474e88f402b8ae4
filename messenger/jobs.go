package messenger

import (
	"net/netip"
	"time"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
)

// JobAccepted says that a submission was folded.
type JobAccepted struct {
	Spec   commander.JobSpec
	Offset identifier.Offset
	At     time.Time
}

// JobCancelled says that a cancellation was folded.
type JobCancelled struct {
	Job identifier.Job
}

// JobConcluded says that an outcome was folded.
type JobConcluded struct {
	Outcome Outcome
}

// ClaimApplied says that a region's placement has a new holder.
type ClaimApplied struct {
	Claim RegionClaim
	Term  identifier.Term
}

func (JobAccepted) event()  {}
func (JobCancelled) event() {}
func (JobConcluded) event() {}
func (ClaimApplied) event() {}

func (JobAccepted) action()  {}
func (JobCancelled) action() {}
func (JobConcluded) action() {}
func (ClaimApplied) action() {}

// WorkerCallKind is the kind of a call to a worker.
type WorkerCallKind uint8

// Kinds of calls to a worker. Each may be repeated without harm.
const (
	ReserveTask WorkerCallKind = iota + 1
	StartTask
	RenewTasks
	CheckpointTask
	ReleaseTask
	ReadState
)

// Gang identifies one placement of a job: a job that is placed anew gets a
// higher Placement.
type Gang struct {
	Job       identifier.Job
	Placement uint32
}

// CallWorker asks the controller to call a worker. docs/WORKER-PROTOCOL.md
// describes the calls.
type CallWorker struct {
	// Sequence is copied into the answer, so that an answer can be told from
	// that of an earlier call to the same worker.
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
	// Members are the workers of the whole gang, sent with ReserveTask.
	Members []identifier.Worker
	// Lease is how long the worker may run the task without renewal, counted
	// from Mark. The lease of ReserveTask counts from the receipt of the call.
	Lease time.Duration
	// Mark is the worker's clock as it stood in an earlier answer. A call that was
	// delayed on its way cannot prolong a lease that counts from it.
	Mark time.Duration
	// RunTime is the declared run time, sent with StartTask.
	RunTime time.Duration
	// Progress is the run time that the job's newest checkpoint holds, sent with StartTask.
	Progress time.Duration
	// Grace bounds the time that a checkpoint may take, sent with CheckpointTask.
	Grace time.Duration
}

// Refusal returns the answer to a call that was not carried out.
func (ask CallWorker) Refusal(err *classifier.Error) WorkerAnswered {
	return WorkerAnswered{
		Sequence: ask.Sequence, Worker: ask.Worker, Kind: ask.Kind, Gang: ask.Gang, Err: err,
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

// String returns the state as it stands in the worker protocol.
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
	// Progress is the run time that the newest checkpoint holds.
	Progress time.Duration
}

// WorkerAnswered is the result of an CallWorker, sent exactly once for each.
type WorkerAnswered struct {
	Sequence uint64
	Worker   identifier.Worker
	Kind     WorkerCallKind
	Gang     Gang
	// Err is nil if the call took effect. The fate of its code says whether it
	// may have.
	Err *classifier.Error
	// Tasks are all tasks on the worker after the call.
	Tasks []Task
	// Accelerators is the worker's number of accelerators, zero if it did not answer.
	Accelerators int
	// Fence is the highest term that the worker has seen, zero if it did not answer.
	Fence identifier.Term
	// Mark is the worker's clock at the time of the answer.
	Mark time.Duration
}

func (WorkerAnswered) event() {}

func (CallWorker) action() {}
