package worker

import (
	"sort"
	"time"

	"corianderroad/cmd/standins/auditor"
	"corianderroad/identifier"
)

// Task is a task as the worker reports it.
type Task struct {
	Gang         auditor.Gang
	State        State
	Accelerators int
	Members      []identifier.Worker
	Progress     time.Duration
}

// Report is the state of a worker.
type Report struct {
	Worker      identifier.Worker
	HighestTerm identifier.Term
	// WorkerClock is the time since the worker was booted.
	WorkerClock  time.Duration
	Accelerators int
	Tasks        []Task
}

// Report returns the state of the worker at now.
func (worker *Worker) Report(now time.Time) Report {
	worker.advance(now)
	report := Report{
		Worker:       worker.name,
		HighestTerm:  worker.highestTerm,
		WorkerClock:  now.Sub(worker.bootedAt),
		Accelerators: worker.accelerators,
		Tasks:        make([]Task, 0, len(worker.tasks)),
	}
	for _, current := range worker.tasks {
		report.Tasks = append(report.Tasks, Task{
			Gang:         current.gang,
			State:        current.state,
			Accelerators: current.accelerators,
			Members:      current.members,
			Progress:     current.savedProgress,
		})
	}
	sort.Slice(report.Tasks, func(i, j int) bool { return report.Tasks[i].Gang.Less(report.Tasks[j].Gang) })
	return report
}

// Runs returns the most recent runs of tasks, including those in progress.
func (worker *Worker) Runs(now time.Time) []auditor.Run {
	worker.advance(now)
	runs := append([]auditor.Run(nil), worker.runs...)
	for _, current := range worker.tasks {
		if current.state == Running {
			runs = append(runs, worker.auditorRun(current))
		}
	}
	return runs
}

// Usage returns the accelerator time that every job used until asOf.
func (worker *Worker) Usage(now, asOf time.Time) map[identifier.Job]time.Duration {
	usage := make(map[identifier.Job]time.Duration)
	for _, run := range worker.Runs(now) {
		end := run.Ended
		if end.IsZero() || end.After(asOf) {
			end = asOf
		}
		if end.After(run.Started) {
			usage[run.Gang.Job] += time.Duration(run.Accelerators) * end.Sub(run.Started)
		}
	}
	return usage
}

// Counts returns the worker's counters.
func (worker *Worker) Counts() Counts { return worker.counts }

// Add returns the sum of two counts.
func (counts Counts) Add(other Counts) Counts {
	return Counts{
		Started:   counts.Started + other.Started,
		Completed: counts.Completed + other.Completed,
		Failed:    counts.Failed + other.Failed,
		Expired:   counts.Expired + other.Expired,
		Stopped:   counts.Stopped + other.Stopped,
		Refused:   counts.Refused + other.Refused,
	}
}
