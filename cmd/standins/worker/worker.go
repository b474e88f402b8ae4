// Package worker is the stand-in of a VM that runs tasks under leases. The
// protocol is described in docs/WORKER-PROTOCOL.md.
package worker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderroad/cmd/standins/auditor"
	"corianderroad/identifier"
)

const (
	// maxTasks bounds the tasks of one worker.
	maxTasks = 64
	// maxRuns bounds the finished runs that are retained for audit and usage.
	maxRuns = 256
	// releasedRetention is how long a released gang is retained, to refuse calls for
	// it that were delayed in transit.
	releasedRetention = 60 * time.Second
	expiredRetention  = 10 * time.Minute
	// defaultRunTime applies to a task that declares no run time.
	defaultRunTime = time.Second
)

// Mode is how a worker handles calls and tasks.
type Mode string

// Modes of a worker.
const (
	// Healthy serves calls.
	Healthy Mode = "healthy"
	// Dead has lost its tasks and aborts every connection.
	Dead Mode = "dead"
	// Unresponsive continues to run its tasks, but never responds.
	Unresponsive Mode = "silent"
	// Leaving accepts no new reservation.
	Leaving Mode = "leaving"
	// Failing fails every task that it starts.
	Failing Mode = "failing"
)

// State is the state of a task.
type State string

// States of a task.
const (
	Reserved  State = "reserved"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Expired   State = "lapsed"
	// stopped is the state of a task that was released or whose worker died. Such a
	// task is removed, so that this state is never reported.
	stopped State = "stopped"
)

// Profile relates the actual run times of tasks to the declared ones.
type Profile struct {
	// Factor is the ratio of the actual run time to the declared one.
	Factor float64
	// Stragglers is the fraction of jobs, 0 to 1, whose run time is also
	// multiplied by StragglerFactor.
	Stragglers      float64
	StragglerFactor float64
}

// RunTime returns the actual run time of a job, which is the same on all workers.
func (profile Profile) RunTime(job identifier.Job, declared time.Duration) time.Duration {
	if declared <= 0 {
		declared = defaultRunTime
	}
	actual := float64(declared) * profile.Factor
	const buckets = 10_000
	if float64(xxhash.Sum64String(string(job))%buckets) < profile.Stragglers*buckets {
		actual *= profile.StragglerFactor
	}
	return time.Duration(actual)
}

type task struct {
	gang         auditor.Gang
	state        State
	accelerators int
	members      []identifier.Worker
	// expiresAt is the end of the reservation or of the lease.
	expiresAt time.Time
	// initialProgress is the progress at the start, savedProgress that of the
	// newest checkpoint.
	initialProgress, savedProgress time.Duration
	runTime                        time.Duration
	started, ended                 time.Time
}

func (task *task) holdsAccelerators() bool { return task.state != Expired }

// completesAt returns when a running task will have done its work.
func (task *task) completesAt() time.Time {
	return task.started.Add(task.runTime - task.initialProgress)
}

// Worker is the state of a worker. It is not safe for concurrent use. Every
// method first applies the completions and expiries that are due at the given time.
type Worker struct {
	name         identifier.Worker
	accelerators int
	profile      Profile
	mode         Mode
	// bootedAt is the origin of the worker's clock.
	bootedAt time.Time
	// highestTerm is the fence: a command with a lower term is refused.
	highestTerm identifier.Term
	tasks       map[auditor.Gang]*task
	released    map[auditor.Gang]time.Time
	runs        []auditor.Run
	counts      Counts
}

// Counts holds the counters of a worker.
type Counts struct {
	Started   uint64 `json:"started"`
	Completed uint64 `json:"completed"`
	Failed    uint64 `json:"failed"`
	Expired   uint64 `json:"lapsed"`
	Stopped   uint64 `json:"stopped"`
	Refused   uint64 `json:"refused"`
}

// NewWorker returns an idle worker that was booted at the given time.
func NewWorker(name identifier.Worker, accelerators int, profile Profile, booted time.Time) *Worker {
	return &Worker{
		name:         name,
		accelerators: accelerators,
		profile:      profile,
		mode:         Healthy,
		bootedAt:     booted,
		tasks:        make(map[auditor.Gang]*task),
		released:     make(map[auditor.Gang]time.Time),
	}
}

// Inject changes the mode. A worker that dies loses its tasks; its highest term survives.
func (worker *Worker) Inject(now time.Time, mode Mode) {
	worker.advance(now)
	if mode == Dead && worker.mode != Dead {
		for gang, lost := range worker.tasks {
			worker.stop(lost, stopped, now)
			delete(worker.tasks, gang)
		}
		worker.bootedAt = now
	}
	worker.mode = mode
}

// advance applies the completions and expiries that are due at now.
func (worker *Worker) advance(now time.Time) {
	for gang, current := range worker.tasks {
		switch current.state {
		case Reserved:
			if !now.Before(current.expiresAt) {
				delete(worker.tasks, gang)
			}
		case Running:
			completion := current.completesAt()
			switch {
			case !now.Before(current.expiresAt) && current.expiresAt.Before(completion):
				worker.stop(current, Expired, current.expiresAt)
			case !now.Before(completion):
				worker.stop(current, Completed, completion)
			}
		case Expired:
			if now.Sub(current.ended) > expiredRetention {
				delete(worker.tasks, gang)
			}
		}
	}
	for gang, at := range worker.released {
		if now.Sub(at) > releasedRetention {
			delete(worker.released, gang)
		}
	}
}

// stop moves a running task to a final state and records its run. It has no effect
// on a task that is not running.
func (worker *Worker) stop(ending *task, state State, at time.Time) {
	if ending.state != Running {
		return
	}
	ending.state, ending.ended = state, at
	switch state {
	case Completed:
		worker.counts.Completed++
	case Failed:
		worker.counts.Failed++
	case Expired:
		worker.counts.Expired++
	case stopped:
		worker.counts.Stopped++
	}
	if len(worker.runs) == maxRuns {
		worker.runs = append(worker.runs[:0], worker.runs[1:]...)
	}
	worker.runs = append(worker.runs, worker.auditorRun(ending))
}

func (worker *Worker) auditorRun(task *task) auditor.Run {
	return auditor.Run{
		Worker:       worker.name,
		Gang:         task.gang,
		Members:      task.members,
		Accelerators: task.accelerators,
		Started:      task.started,
		Ended:        task.ended,
		Completed:    task.state == Completed,
	}
}

func (worker *Worker) free() int {
	free := worker.accelerators
	for _, current := range worker.tasks {
		if current.holdsAccelerators() {
			free -= current.accelerators
		}
	}
	return free
}
