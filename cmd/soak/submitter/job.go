package submitter

import (
	"encoding/json"
	"time"

	"corianderroad/platform/imitator"
)

// Jobs draws the jobs of a caller.
type Jobs interface {
	Draw() Job
}

// Job is a job that a caller submits. Each step after the first depends on it.
type Job struct {
	behaviour imitator.Behaviour
	steps     []map[string]any
	// tasks is the number of tasks of all steps, firstStepTasks that of the first one.
	tasks, firstStepTasks int
}

func (job *Job) encode() string {
	encoded, _ := json.Marshal(map[string]any{"spec": job.behaviour.String(), "steps": job.steps}) // cannot fail on strings and numbers
	return string(encoded)
}

// Pace is how fast a caller submits.
type Pace struct {
	// MaxPause is the longest time between two jobs.
	MaxPause time.Duration
	// MaxAttempts is the number of times that a job is submitted until it is accepted.
	MaxAttempts int
	// MaxUnfinished is the number of jobs that the caller leaves unfinished at a time, 0 for any.
	MaxUnfinished int
}

// Paces of callers.
var (
	// FastPace is that of a caller that does not wait for its jobs.
	FastPace = Pace{MaxPause: maxPause, MaxAttempts: maxAttempts}
	// BoundedPace is that of one of eight callers that submit about 22 small tasks a second
	// together, and submit again throughout an outage of the store.
	BoundedPace = Pace{MaxPause: 8 * time.Second, MaxAttempts: 40, MaxUnfinished: 5}
)
