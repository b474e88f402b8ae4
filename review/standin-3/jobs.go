package main

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// jobs is what the clients have submitted, with what the minions have run of it.
type jobs struct {
	mutex sync.Mutex
	known map[string]*job
	// running has the tasks that have been started.
	running map[string]*taskState
	// doneAt is when a run of a task has ended done, if that was taken note of.
	doneAt map[string]time.Time
	// overlaps are the starts of tasks that had a run.
	overlaps []taskStart
}

// taskState is whether a task has a run.
type taskState struct {
	runs      int
	idleSince time.Time
}

// job is one job as its client knows it.
type job struct {
	id     string
	steps  []stepBody
	starts []taskStart
	// minion is the one that has last started a task of the job.
	minion *minion
}

// taskStart is a start of a task.
type taskStart struct {
	task string
	at   time.Time
}

// stepBody is a step as it is submitted.
type stepBody struct {
	Count int `json:"count"`
	resources
	EstimateMS  int  `json:"estimateMs"`
	LongRunning bool `json:"longRunning,omitempty"`
}

func newJobs() *jobs {
	return &jobs{known: make(map[string]*job), running: make(map[string]*taskState), doneAt: make(map[string]time.Time)}
}

func (jobs *jobs) add(id string, steps []stepBody) *job {
	jobs.mutex.Lock()
	defer jobs.mutex.Unlock()
	added := &job{id: id, steps: steps}
	jobs.known[id] = added
	return added
}

// needs returns what a task requests, and whether a client has sent its job.
func (jobs *jobs) needs(task string) (resources, bool) {
	jobs.mutex.Lock()
	defer jobs.mutex.Unlock()
	parts := strings.Split(task, ".")
	found := jobs.known[parts[0]]
	if found == nil || len(parts) != 4 {
		return resources{}, false
	}
	step, stepErr := strconv.Atoi(parts[2])
	index, indexErr := strconv.Atoi(parts[3])
	if stepErr != nil || indexErr != nil || step >= len(found.steps) || index >= found.steps[step].Count {
		return resources{}, false
	}
	return found.steps[step].resources, true
}

func (jobs *jobs) noteStart(begun *run) {
	jobs.noteRun(begun.task, 1)
	jobs.mutex.Lock()
	defer jobs.mutex.Unlock()
	if found := jobs.known[strings.Split(begun.task, ".")[0]]; found != nil {
		found.starts = append(found.starts, taskStart{begun.task, time.Now()})
		found.minion = begun.minion
	}
}

// noteRun notes that a task that lasts has a run, or has none any more.
func (jobs *jobs) noteRun(task string, delta int) {
	jobs.mutex.Lock()
	defer jobs.mutex.Unlock()
	known := jobs.running[task]
	if known == nil {
		known = &taskState{}
		jobs.running[task] = known
	}
	known.runs += delta
	if known.runs > 1 && delta > 0 {
		jobs.overlaps = append(jobs.overlaps, taskStart{task, time.Now()})
	}
	if known.runs == 0 {
		known.idleSince = time.Now()
	}
}

// idleTasks returns the tasks that have had no run since before a time, with the time.
func (jobs *jobs) idleTasks(before time.Time) map[string]time.Time {
	jobs.mutex.Lock()
	defer jobs.mutex.Unlock()
	idle := make(map[string]time.Time)
	for task, state := range jobs.running {
		if state.runs == 0 && state.idleSince.Before(before) {
			idle[task] = state.idleSince
		}
	}
	return idle
}

// noteTaken notes that the end of a run is taken note of.
func (jobs *jobs) noteTaken(task, how string, at time.Time) {
	jobs.mutex.Lock()
	defer jobs.mutex.Unlock()
	if how == "done" {
		if known, ok := jobs.doneAt[task]; !ok || at.Before(known) {
			jobs.doneAt[task] = at
		}
	}
}

// overlapping returns the starts of tasks while another run of them went on.
func (jobs *jobs) overlapping() []taskStart {
	jobs.mutex.Lock()
	defer jobs.mutex.Unlock()
	return slices.Clone(jobs.overlaps)
}

// startedAgain returns the starts of tasks after an end done that was taken note of.
func (jobs *jobs) startedAgain() []taskStart {
	jobs.mutex.Lock()
	defer jobs.mutex.Unlock()
	var again []taskStart
	for _, known := range jobs.known {
		for _, start := range known.starts {
			if doneAt, ok := jobs.doneAt[start.task]; ok && start.at.After(doneAt) {
				again = append(again, start)
			}
		}
	}
	return again
}

// minionOf returns the minion that has last started a task of a job.
func (jobs *jobs) minionOf(id string) *minion {
	jobs.mutex.Lock()
	defer jobs.mutex.Unlock()
	return jobs.known[id].minion
}
