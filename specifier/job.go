// Package specifier declares jobs as their submitters specify them, and the
// operator's policy for them. All types are plain values, independent of any
// encoding.
package specifier

import (
	"fmt"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
)

// Bounds of a job.
const (
	MaxSteps        = 64
	MaxTasks        = 2048 // of one step
	MaxOccurrences  = 4096
	MaxPayloadBytes = 4000
)

// Job is a set of steps that a caller submitted as one unit.
type Job struct {
	ID        identifier.Job
	Queue     identifier.Queue
	Workspace identifier.Workspace
	// Payload is passed to each task unchanged.
	Payload string
	Steps   []Step
	// Schedule is nil for a job that runs once, as soon as possible.
	Schedule *Schedule
	// AcceptedAt is when an entry VM received the job.
	AcceptedAt time.Time
}

// Schedule determines when the occurrences of a job are due.
type Schedule struct {
	Occurrences int
	First       time.Time
	Interval    time.Duration
}

// Step is a group of identical tasks.
type Step struct {
	Tasks   int
	Request Resources
	// EstimatedRunTime is the submitter's estimate for one task. It may be far from
	// the actual run time.
	EstimatedRunTime time.Duration
	// DependsOn lists the indexes of earlier steps that must be done first.
	DependsOn []int
	// Gang means that the tasks make progress only while all of them run.
	Gang bool
	// SameRack means that the tasks are slow when they span racks.
	SameRack bool
	// Label is a label that a minion must have, empty for none.
	Label string
	// DataRack is the rack that stores the tasks' data, empty for no preference.
	DataRack identifier.Rack
	// MaxPerMinion limits the tasks of one occurrence on one minion, 0 for no limit.
	MaxPerMinion int
	// Redundant means that copies of a task may run at the same time.
	Redundant bool
	// Checkpoints means that a stopped task resumes from its last checkpoint.
	Checkpoints bool
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool
	// Image names the image that the tasks run. Tasks of one image are assumed to
	// behave alike.
	Image string
	// LatencyTarget is the upper limit for the response times of a long-running task
	// that serves its own users, 0 for none.
	LatencyTarget time.Duration
	// Backfill means that the tasks use processor time that other tasks leave idle.
	// Their processor request is therefore not counted.
	Backfill bool
	// MaxUnavailable limits how many long-running tasks the system itself may make
	// unavailable at the same time, 0 for no limit.
	MaxUnavailable int
}

// Task identifies one task of one occurrence of a job.
type Task struct {
	Job        identifier.Job
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name in logs and answers.
func (task Task) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", task.Job, task.Occurrence, task.Step, task.Index)
}

// Occurrences returns how many times the steps run.
func (job *Job) Occurrences() int {
	if job.Schedule == nil {
		return 1
	}
	return job.Schedule.Occurrences
}

// TasksPerOccurrence returns the number of tasks in one execution of all steps.
func (job *Job) TasksPerOccurrence() int {
	tasks := 0
	for index := range job.Steps {
		tasks += job.Steps[index].Tasks
	}
	return tasks
}

// DueTime returns when an occurrence may start.
func (job *Job) DueTime(occurrence int) time.Time {
	if job.Schedule == nil {
		return job.AcceptedAt
	}
	return job.Schedule.First.Add(time.Duration(occurrence) * job.Schedule.Interval)
}

// IsLongRunning reports whether the job runs until it is cancelled.
func (job *Job) IsLongRunning() bool {
	for index := range job.Steps {
		if job.Steps[index].LongRunning {
			return true
		}
	}
	return false
}

// CriticalPath returns the longest chain of estimated run times that starts at the given
// step or a later one. With 0 it covers all steps.
func CriticalPath(steps []Step, from int) time.Duration {
	endTimes := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for index := from; index < len(steps); index++ {
		start := time.Duration(0)
		for _, earlier := range steps[index].DependsOn {
			start = max(start, endTimes[earlier])
		}
		endTimes[index] = start + steps[index].EstimatedRunTime
		longest = max(longest, endTimes[index])
	}
	return longest
}

// Check returns an error with code BadRequest if the job is malformed.
func (job *Job) Check() error {
	if len(job.Payload) > MaxPayloadBytes {
		return classifier.New(classifier.BadRequest, "the payload has %d bytes, at most %d are allowed", len(job.Payload), MaxPayloadBytes)
	}
	if len(job.Steps) == 0 || len(job.Steps) > MaxSteps {
		return classifier.New(classifier.BadRequest, "the job has %d steps, 1 to %d are allowed", len(job.Steps), MaxSteps)
	}
	if count := job.Occurrences(); count < 1 || count > MaxOccurrences {
		return classifier.New(classifier.BadRequest, "the job has %d occurrences, 1 to %d are allowed", count, MaxOccurrences)
	}
	for index := range job.Steps {
		if err := job.Steps[index].check(index); err != nil {
			return err
		}
	}
	return nil
}

func (step *Step) check(index int) error {
	if step.Tasks < 1 || step.Tasks > MaxTasks {
		return classifier.New(classifier.BadRequest, "step %d has %d tasks, 1 to %d are allowed", index, step.Tasks, MaxTasks)
	}
	if !step.Request.nonNegative() || step.EstimatedRunTime < 0 || step.LatencyTarget < 0 || step.MaxPerMinion < 0 || step.MaxUnavailable < 0 {
		return classifier.New(classifier.BadRequest, "step %d has a negative value", index)
	}
	for _, earlier := range step.DependsOn {
		if earlier < 0 || earlier >= index {
			return classifier.New(classifier.BadRequest, "step %d depends on step %d, which is not an earlier one", index, earlier)
		}
	}
	return nil
}
