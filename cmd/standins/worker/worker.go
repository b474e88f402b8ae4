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
	// maxRuns bounds the finished runs that are kept for audit and usage.
	maxRuns = 256
	// keepReleased is how long a call for a released gang is refused: it was
	// delayed on its way.
	keepReleased = 60 * time.Second
	keepLapsed   = 10 * time.Minute
	// defaultRunTime applies to a task that declares none.
	defaultRunTime = time.Second
)

// Mode is how a worker treats calls and tasks.
type Mode string

// Modes of a worker.
const (
	// Healthy serves.
	Healthy Mode = "healthy"
	// Dead has lost its tasks and breaks every connection.
	Dead Mode = "dead"
	// Silent runs its tasks on, but never answers.
	Silent Mode = "silent"
	// Leaving takes no new reservation.
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
	Lapsed    State = "lapsed"
	// stopped is the state of a task that was released or died with its worker.
	// Such a task is forgotten, so that the state is never reported.
	stopped State = "stopped"
)

// Profile is how long tasks really run.
type Profile struct {
	// Factor turns a declared run time into the real one.
	Factor float64
	// Stragglers is the part of jobs, 0 to 1, that run StragglerFactor times
	// longer still.
	Stragglers      float64
	StragglerFactor float64
}

// RunTime returns the real run time of a job, which is the same on all workers.
func (profile Profile) RunTime(job identifier.Job, declared time.Duration) time.Duration {
	if declared <= 0 {
		declared = defaultRunTime
	}
	actual := float64(declared) * profile.Factor
	const parts = 10_000
	if float64(xxhash.Sum64String(string(job))%parts) < profile.Stragglers*parts {
		actual *= profile.StragglerFactor
	}
	return time.Duration(actual)
}

type task struct {
	gang         auditor.Gang
	state        State
	accelerators int
	members      []identifier.Worker
	// until is the end of a reservation or of a lease.
	until time.Time
	// resumed is the progress at the start, saved that of the newest checkpoint.
	resumed, saved time.Duration
	runTime        time.Duration
	started, ended time.Time
}

func (task *task) holdsAccelerators() bool { return task.state != Lapsed }

// finish returns when a running task completes by itself.
func (task *task) finish() time.Time { return task.started.Add(task.runTime - task.resumed) }

// Worker is the state of a worker. It is not safe for concurrent use. Every
// method first brings the tasks up to the given time.
type Worker struct {
	name         identifier.Worker
	accelerators int
	profile      Profile
	mode         Mode
	// booted is the moment from which marks are counted.
	booted   time.Time
	fence    identifier.Term
	tasks    map[auditor.Gang]*task
	released map[auditor.Gang]time.Time
	runs     []auditor.Run
	counts   Counts
}

// Counts is what a worker reports about itself.
type Counts struct {
	Started   uint64 `json:"started"`
	Completed uint64 `json:"completed"`
	Failed    uint64 `json:"failed"`
	Lapsed    uint64 `json:"lapsed"`
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
		booted:       booted,
		tasks:        make(map[auditor.Gang]*task),
		released:     make(map[auditor.Gang]time.Time),
	}
}

// Inject changes the mode. A worker that dies loses its tasks; its fence survives.
func (worker *Worker) Inject(now time.Time, mode Mode) {
	worker.advance(now)
	if mode == Dead && worker.mode != Dead {
		for gang, lost := range worker.tasks {
			worker.stop(lost, stopped, now)
			delete(worker.tasks, gang)
		}
		worker.booted = now
	}
	worker.mode = mode
}

// advance applies what happened by itself until now.
func (worker *Worker) advance(now time.Time) {
	for gang, current := range worker.tasks {
		switch current.state {
		case Reserved:
			if !now.Before(current.until) {
				delete(worker.tasks, gang)
			}
		case Running:
			finish := current.finish()
			switch {
			case !now.Before(current.until) && current.until.Before(finish):
				worker.stop(current, Lapsed, current.until)
			case !now.Before(finish):
				worker.stop(current, Completed, finish)
			}
		case Lapsed:
			if now.Sub(current.ended) > keepLapsed {
				delete(worker.tasks, gang)
			}
		}
	}
	for gang, at := range worker.released {
		if now.Sub(at) > keepReleased {
			delete(worker.released, gang)
		}
	}
}

// stop ends a task in a state, and records its run if it ran.
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
	case Lapsed:
		worker.counts.Lapsed++
	case stopped:
		worker.counts.Stopped++
	}
	if len(worker.runs) == maxRuns {
		worker.runs = append(worker.runs[:0], worker.runs[1:]...)
	}
	worker.runs = append(worker.runs, worker.run(ending))
}

func (worker *Worker) run(of *task) auditor.Run {
	return auditor.Run{
		Worker:       worker.name,
		Gang:         of.gang,
		Members:      of.members,
		Accelerators: of.accelerators,
		Started:      of.started,
		Ended:        of.ended,
		Completed:    of.state == Completed,
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
