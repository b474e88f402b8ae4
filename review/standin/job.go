package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Step is a step of a job as a client sends it.
type Step struct {
	Count         int
	CPU           int
	GPU           int
	MemMB         int
	Work          time.Duration
	DependsOn     []int
	Checkpointing bool
}

// workOf returns the work that a checkpoint covers.
func (step *Step) workOf(checkpoint string) time.Duration {
	if len(checkpoint) < 8 {
		return 0
	}
	milliseconds, err := strconv.ParseInt(checkpoint[:8], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// Job is a job with what its client saw.
type Job struct {
	ID         string
	Route      *Route
	Steps      []*Step
	AcceptedAt time.Time
	// Repeats is the number of occurrences of a recurring job, which follow each other
	// after Interval. It is 0 for a job that runs once.
	Repeats  int
	Interval time.Duration
	// State is the newest state that a client was shown, or the newest status.
	State string
}

// step returns the step of a task's name, nil if no client sent its job. The lock of the
// pool is held.
func (pool *Pool) step(task string) *Step {
	parts := strings.Split(task, ".")
	if len(parts) != 4 || pool.jobs[parts[0]] == nil {
		return nil
	}
	number, err := strconv.Atoi(parts[2])
	index, indexErr := strconv.Atoi(parts[3])
	steps := pool.jobs[parts[0]].Steps
	if err != nil || indexErr != nil || number >= len(steps) || index >= steps[number].Count {
		return nil
	}
	return steps[number]
}

// Waiting is a task whose turn has come and that has nothing running.
type Waiting struct {
	Job  *Job
	Step int
}

// waitingSteps returns the accepted jobs of which nothing runs and of which a step's turn
// has come: it is not done and those before it are. Recurring jobs are left out. The lock of
// the pool is held.
func (pool *Pool) waitingSteps() []Waiting {
	running, done := make(map[string]bool), make(map[string]bool)
	for _, run := range pool.history {
		if run.how == "" {
			running[run.task[:strings.Index(run.task, ".")]] = true
		}
		if run.how == "done" {
			done[run.task] = true
		}
	}
	var waiting []Waiting
	for _, job := range pool.jobs {
		if job.AcceptedAt.IsZero() || job.Repeats > 0 || running[job.ID] {
			continue
		}
		complete := make([]bool, len(job.Steps))
		for number, step := range job.Steps {
			complete[number] = true
			for index := range step.Count {
				complete[number] = complete[number] && done[fmt.Sprintf("%s.0.%d.%d", job.ID, number, index)]
			}
			ready := !complete[number]
			for _, earlier := range step.DependsOn {
				ready = ready && complete[earlier]
			}
			if ready {
				waiting = append(waiting, Waiting{job, number})
				break
			}
		}
	}
	return waiting
}

// usage returns the share of the pool's processors and accelerators that is in use. The
// lock of the pool is held.
func (pool *Pool) usage() float64 {
	cpu, gpu := 0, 0
	for _, minion := range pool.minions {
		cpu, gpu = cpu+minion.usedCPU, gpu+minion.usedGPU
	}
	count := len(pool.minions)
	return max(float64(cpu)/float64(count*minionCPU), float64(gpu)/float64(count*minionGPU))
}
