package querier

import (
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// Basis is what the expected start of a step is derived from.
type Basis uint8

// Bases.
const (
	// Unknown means that there is no expectation.
	Unknown Basis = iota
	// RoomFreeAt means that by then enough runs are expected to have ended, and the minions
	// to have done the estimated work of the steps before this one.
	RoomFreeAt
	// Reservation means that capacity is reserved for the step from then on.
	Reservation
)

// String returns the name of the basis in kebab case.
func (basis Basis) String() string {
	switch basis {
	case RoomFreeAt:
		return "room-free-at"
	case Reservation:
		return "reservation"
	}
	return "unknown"
}

// Explanation is what the holder knows of one job.
type Explanation struct {
	Job       identifier.Job
	Queue     identifier.Queue
	Workspace identifier.Workspace
	State     specifier.State
	// Failure is why the job has failed, empty otherwise.
	Failure string
	// Token is the token of the holder that answers, and AsOf the time of the answer.
	Token identifier.Term
	AsOf  time.Time
	// Steps are the waiting steps whose turn has come, in the order of the job, and Omitted
	// the number of those that are left out to limit the cost of the answer.
	Steps   []WaitingStep
	Omitted int
}

// WaitingStep is a step with tasks that do not run although its turn has come.
type WaitingStep struct {
	Occurrence, Step int
	// Tasks are those that are not done, Startable those of them that could be started now.
	Tasks, Startable int
	// Reason is why they are not started, in kebab case.
	Reason string
	// Since is when the step began to wait for a start, zero if no pass has seen it.
	Since time.Time
	// Place is the place of the step in the order of the Waiting steps of all jobs, 1 for the
	// first, and 0 if none of its tasks can be started now.
	Place, Waiting int
	// Late means that the job can't be on time any more.
	Late bool
	// FittingMinions is the number of minions that could hold a task of the step if nothing
	// ran on them.
	FittingMinions int
	// ExpectedStart is the time at which the step is expected to start, zero if it is unknown.
	ExpectedStart time.Time
	Basis         Basis
}
