package worker

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/cmd/standins/auditor"
	"corianderroad/identifier"
)

// Reserve is the command to reserve accelerators for a task of a gang.
type Reserve struct {
	Gang         auditor.Gang
	Accelerators int
	Members      []identifier.Worker
	Lease        time.Duration
}

// Start is the command to run a reserved task.
type Start struct {
	Gang auditor.Gang
	// WorkerClock is the time of the worker's clock at which the lease starts.
	WorkerClock time.Duration
	Lease       time.Duration
	RunTime     time.Duration
	Progress    time.Duration
}

// Renew is the command to extend the leases of running tasks.
type Renew struct {
	WorkerClock time.Duration
	Lease       time.Duration
	Gangs       []auditor.Gang
}

// Checkpoint is the command to save the progress of a task.
type Checkpoint struct {
	Gang  auditor.Gang
	Grace time.Duration
}

// Release is the command to stop and remove a task.
type Release struct {
	Gang auditor.Gang
}

// AcceptTerm raises the highest term to the given one, or refuses a lower term with
// code StaleTerm.
func (worker *Worker) AcceptTerm(now time.Time, term identifier.Term) *classifier.Error {
	worker.advance(now)
	if term < worker.highestTerm {
		return worker.refuse(classifier.StaleTerm, "term %d is below %d", term, worker.highestTerm)
	}
	worker.highestTerm = term
	return nil
}

// Reserve applies a Reserve. The codes are StaleTerm, BadRequest, NoCapacity and
// LeaseExpired.
func (worker *Worker) Reserve(now time.Time, term identifier.Term, call Reserve) *classifier.Error {
	if err := worker.AcceptTerm(now, term); err != nil {
		return err
	}
	if call.Lease <= 0 || call.Accelerators < 0 {
		return worker.refuse(classifier.BadRequest, "lease and accelerators must be positive")
	}
	if _, exists := worker.tasks[call.Gang]; exists {
		return nil
	}
	if _, released := worker.released[call.Gang]; released {
		return worker.refuse(classifier.LeaseExpired, "gang %s was released", call.Gang)
	}
	if free := worker.free(); call.Accelerators > free {
		return worker.refuse(classifier.NoCapacity, "%d accelerators are free, %d were requested", free, call.Accelerators)
	}
	if worker.mode == Leaving || len(worker.tasks) >= maxTasks {
		return worker.refuse(classifier.NoCapacity, "the worker is leaving or holds %d tasks", maxTasks)
	}
	worker.tasks[call.Gang] = &task{
		gang:         call.Gang,
		state:        Reserved,
		accelerators: call.Accelerators,
		members:      call.Members,
		expiresAt:    now.Add(call.Lease),
	}
	return nil
}

// Start applies a Start. The codes are StaleTerm, BadRequest and LeaseExpired.
func (worker *Worker) Start(now time.Time, term identifier.Term, call Start) *classifier.Error {
	if err := worker.AcceptTerm(now, term); err != nil {
		return err
	}
	expiresAt, err := worker.leaseEnd(now, call.WorkerClock, call.Lease)
	if err != nil {
		return err
	}
	started := worker.tasks[call.Gang]
	switch {
	case started != nil && started.state != Reserved:
		return nil
	case started == nil:
		return worker.refuse(classifier.LeaseExpired, "gang %s has no reservation", call.Gang)
	case !now.Before(expiresAt):
		return worker.refuse(classifier.LeaseExpired, "the lease of gang %s has expired", call.Gang)
	}
	started.state, started.expiresAt, started.started = Running, expiresAt, now
	started.initialProgress, started.savedProgress = call.Progress, call.Progress
	started.runTime = worker.profile.RunTime(call.Gang.Job, call.RunTime)
	worker.counts.Started++
	if worker.mode == Failing {
		worker.stop(started, Failed, now)
	}
	return nil
}

// Renew applies a Renew. The codes are StaleTerm and BadRequest.
func (worker *Worker) Renew(now time.Time, term identifier.Term, call Renew) *classifier.Error {
	if err := worker.AcceptTerm(now, term); err != nil {
		return err
	}
	expiresAt, err := worker.leaseEnd(now, call.WorkerClock, call.Lease)
	if err != nil {
		return err
	}
	for _, gang := range call.Gangs {
		renewed := worker.tasks[gang]
		if renewed != nil && renewed.state == Running && expiresAt.After(renewed.expiresAt) {
			renewed.expiresAt = expiresAt
		}
	}
	return nil
}

// Checkpoint applies a Checkpoint. The code is StaleTerm.
func (worker *Worker) Checkpoint(now time.Time, term identifier.Term, call Checkpoint) *classifier.Error {
	if err := worker.AcceptTerm(now, term); err != nil {
		return err
	}
	if saved := worker.tasks[call.Gang]; saved != nil && saved.state == Running {
		saved.savedProgress = saved.initialProgress + now.Sub(saved.started)
	}
	return nil
}

// Release applies a Release. The code is StaleTerm.
func (worker *Worker) Release(now time.Time, term identifier.Term, call Release) *classifier.Error {
	if err := worker.AcceptTerm(now, term); err != nil {
		return err
	}
	if ending := worker.tasks[call.Gang]; ending != nil {
		worker.stop(ending, stopped, now)
		delete(worker.tasks, call.Gang)
	}
	worker.released[call.Gang] = now
	return nil
}

// leaseEnd returns the end of a lease that starts at a time of the worker's clock
// and not when the call arrives, so that a delay in transit cannot extend it.
func (worker *Worker) leaseEnd(now time.Time, workerClock, lease time.Duration) (time.Time, *classifier.Error) {
	start := worker.bootedAt.Add(workerClock)
	if lease <= 0 || workerClock < 0 || start.After(now) {
		return time.Time{}, worker.refuse(classifier.BadRequest, "mark %s or lease %s is out of bounds", workerClock, lease)
	}
	return start.Add(lease), nil
}

func (worker *Worker) refuse(code classifier.Code, format string, arguments ...any) *classifier.Error {
	worker.counts.Refused++
	return classifier.New(code, format, arguments...)
}
