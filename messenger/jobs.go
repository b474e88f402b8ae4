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

// ClaimFolded says that a region's placement has a new holder.
type ClaimFolded struct {
	Claim RegionClaim
	Term  identifier.Term
}

func (JobAccepted) event()  {}
func (JobCancelled) event() {}
func (JobConcluded) event() {}
func (ClaimFolded) event()  {}

func (JobAccepted) action()  {}
func (JobCancelled) action() {}
func (JobConcluded) action() {}
func (ClaimFolded) action()  {}

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

// AskWorker asks the controller to call a worker.
type AskWorker struct {
	Worker  identifier.Worker
	Address netip.AddrPort
	Kind    WorkerCallKind
	Term    identifier.Term
	// Gang is the subject of every kind but RenewTasks and ReadState.
	Gang Gang
	// Gangs are the subjects of RenewTasks.
	Gangs        []Gang
	Accelerators int
	// Members are the workers of the whole gang, sent with ReserveTask.
	Members []identifier.Worker
	// Lease is how long the worker may run the task without renewal.
	Lease time.Duration
	// RunTime is the declared run time, sent with StartTask.
	RunTime time.Duration
}

// TaskState is the state of a task on its worker.
type TaskState uint8

// States of a task.
const (
	Reserved TaskState = iota + 1
	Running
	Completed
	Failed
	Lapsed
)

// Task is a task as its worker reports it.
type Task struct {
	Gang         Gang
	State        TaskState
	Accelerators int
	Members      []identifier.Worker
	// Progress is the run time that the newest checkpoint holds.
	Progress time.Duration
}

// WorkerAnswered is the result of an AskWorker, sent exactly once for each.
type WorkerAnswered struct {
	Worker identifier.Worker
	Kind   WorkerCallKind
	Gang   Gang
	// Err is nil if the call took effect. Its code says whether it may have.
	Err *classifier.Error
	// Tasks are all tasks on the worker after the call.
	Tasks []Task
	// Accelerators is the worker's number of accelerators, zero if it did not answer.
	Accelerators int
}

func (WorkerAnswered) event() {}

func (AskWorker) action() {}
