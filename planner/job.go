package planner

import (
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// job is a job of the journal with what is known about its execution.
type job struct {
	spec      specifier.Job
	submitted bool
	withdrawn bool
	state     specifier.State
	endedAt   time.Time
	// begun means that the journal says that tasks may have been started. Nothing
	// is started before, so that the next holder knows which jobs to look for.
	mayHaveStarted bool
	occurrences    []*occurrence
	// arrival orders jobs by their place in the journal.
	arrival uint64
	// recorded is the newest progress in the journal, nil if there is none. What a
	// holder knows beyond it is void when its role ends.
	recordedProgress *specifier.Progress
	deletionSent     bool
}

// occurrence is one run through the steps.
type occurrence struct {
	job    *job
	number int
	dueAt  time.Time
	steps  []*step
	// chain is the longest chain of estimated run times.
	criticalPath time.Duration
}

// step is one step of one occurrence.
type step struct {
	occurrence *occurrence
	number     int
	spec       *specifier.Step
	tasks      []task
	done       int
	// waitingSince is when the step was last ready with a task to place, zero
	// if it has none.
	waitingSince time.Time
	// chain is the longest chain of estimated run times that begins here.
	criticalPath time.Duration
	// reclaimAt is when room may be looked for again by stopping other runs.
	nextReclaimAt time.Time
	advice        *advice
}

// task is one task of a step.
type task struct {
	done bool
	// doneRun is the run that made the task done, latestRun the newest one that
	// is known to have started.
	doneRun, latestRun uint64
	// failedRuns are the runs that failed.
	failedRuns []uint64
	checkpoint string
	// run is the run that may be going on, nil if there is none.
	run *run
	// unaccounted means that a former holder may have started the task on a
	// minion that has not been heard of.
	unresolved bool
	// heard means that an end of such a task was listed. It may not be the last.
	endListed bool
	// notBefore keeps the task from being started again at once.
	notBefore time.Time
	// avoid is the minion on which the task failed last.
	lastFailedOn identifier.Minion
}

// addFailure notes a failed run and reports whether it was not known.
func (task *task) addFailure(run uint64) bool {
	if slices.Contains(task.failedRuns, run) {
		return false
	}
	task.failedRuns = append(task.failedRuns, run)
	task.latestRun = max(task.latestRun, run)
	return true
}

func newOccurrence(job *job, number int) *occurrence {
	occurrence := &occurrence{job: job, number: number, dueAt: job.spec.DueTime(number), criticalPath: criticalPath(job.spec.Steps, 0)}
	for index := range job.spec.Steps {
		spec := &job.spec.Steps[index]
		occurrence.steps = append(occurrence.steps, &step{
			occurrence: occurrence, number: index, spec: spec, tasks: make([]task, spec.Tasks),
			criticalPath: criticalPath(job.spec.Steps, index),
		})
	}
	return occurrence
}

// id returns the name of a task of the step.
func (step *step) id(index int) specifier.Task {
	return specifier.Task{
		Job: step.occurrence.job.spec.ID, Occurrence: step.occurrence.number, Step: step.number, Index: index,
	}
}

func (step *step) isComplete() bool { return step.done == len(step.tasks) }

// ready reports whether all steps that this one depends on are done.
func (step *step) isReady() bool {
	for _, earlier := range step.spec.DependsOn {
		if !step.occurrence.steps[earlier].isComplete() {
			return false
		}
	}
	return true
}

// unplaced returns the indexes of the tasks that could be started now.
func (step *step) startableTasks(now time.Time) []int {
	var indexes []int
	for index := range step.tasks {
		if step.tasks[index].canStart(now) {
			indexes = append(indexes, index)
		}
	}
	return indexes
}

func (step *step) countStartableTasks(now time.Time) int {
	count := 0
	for index := range step.tasks {
		if step.tasks[index].canStart(now) {
			count++
		}
	}
	return count
}

func (task *task) canStart(now time.Time) bool {
	return !task.done && task.run == nil && !task.unresolved && !now.Before(task.notBefore)
}

// open reports whether the job may still run tasks.
func (job *job) isOpen() bool { return job.submitted && !job.withdrawn && !job.state.IsFinal() }

func (job *job) isComplete() bool {
	if job.spec.IsLongRunning() {
		return false
	}
	for _, occurrence := range job.occurrences {
		for _, step := range occurrence.steps {
			if !step.isComplete() {
				return false
			}
		}
	}
	return true
}

// find returns the step and task of a name, nil if the job has none such.
func (job *job) find(id specifier.Task) (*step, *task) {
	if id.Occurrence < 0 || id.Occurrence >= len(job.occurrences) {
		return nil, nil
	}
	steps := job.occurrences[id.Occurrence].steps
	if id.Step < 0 || id.Step >= len(steps) || id.Index < 0 || id.Index >= len(steps[id.Step].tasks) {
		return nil, nil
	}
	return steps[id.Step], &steps[id.Step].tasks[id.Index]
}

// reset returns the job to what the journal says about it.
func (job *job) reset() {
	job.state, job.endedAt, job.mayHaveStarted, job.deletionSent = specifier.Queued, time.Time{}, false, false
	if !job.submitted {
		return
	}
	job.occurrences = job.occurrences[:0]
	for number := range job.spec.Occurrences() {
		job.occurrences = append(job.occurrences, newOccurrence(job, number))
	}
	if job.recordedProgress != nil {
		job.apply(job.recordedProgress)
	}
}

// apply takes recorded progress. What is already known is never undone.
func (job *job) apply(progress *specifier.Progress) {
	job.mayHaveStarted = job.mayHaveStarted || progress.State >= specifier.Running
	if progress.State > job.state {
		job.state, job.endedAt = progress.State, progress.EndedAt
	}
	for _, taskProgress := range progress.Tasks {
		step, task := job.find(specifier.Task{Occurrence: taskProgress.Occurrence, Step: taskProgress.Step, Index: taskProgress.Index})
		if task == nil {
			continue
		}
		if taskProgress.Done && !task.done {
			task.done, task.doneRun = true, taskProgress.DoneRun
			task.latestRun = max(task.latestRun, taskProgress.DoneRun)
			step.done++
		}
		for _, run := range taskProgress.FailedRuns {
			task.addFailure(run)
		}
		if taskProgress.Checkpoint != "" {
			task.checkpoint = taskProgress.Checkpoint
		}
	}
}

// record returns the job's progress for the journal.
func (job *job) progress() messenger.Progressed {
	// An ended job keeps the numbers of its runs: by them the next holder knows an
	// end that must not be noted any more.
	recorded := specifier.Progress{State: job.state, EndedAt: job.endedAt}
	for _, occurrence := range job.occurrences {
		for _, step := range occurrence.steps {
			for index := range step.tasks {
				task := &step.tasks[index]
				if task.done || len(task.failedRuns) > 0 || task.checkpoint != "" {
					recorded.Tasks = append(recorded.Tasks, specifier.TaskProgress{
						Occurrence: occurrence.number, Step: step.number, Index: index,
						Done: task.done, DoneRun: task.doneRun, FailedRuns: slices.Clone(task.failedRuns), Checkpoint: task.checkpoint,
					})
				}
			}
		}
	}
	return messenger.Progressed{Job: job.spec.ID, Progress: recorded}
}

// fold applies an entry of the journal. It returns the job that it concerns, or
// nil if there is none.
func (planner *Planner) applyEntry(entry messenger.JournalEntry) *job {
	switch entry := entry.(type) {
	case messenger.Submitted:
		job := planner.job(entry.Job.ID)
		if job.submitted {
			return job
		}
		planner.lastArrival++
		job.spec, job.submitted, job.arrival = entry.Job, true, planner.lastArrival
		job.reset()
		planner.updateOpenJobs(job)
		return job
	case messenger.Withdrawn:
		job := planner.job(entry.Job)
		job.withdrawn = true
		return job
	case messenger.Progressed:
		job := planner.job(entry.Job)
		job.recordedProgress = &entry.Progress
		if job.submitted && !planner.holder.active { // the holder knows it already
			job.apply(&entry.Progress)
			planner.updateOpenJobs(job)
		}
		return job
	case messenger.Deleted:
		delete(planner.jobs, entry.Job)
		delete(planner.openJobs, entry.Job)
	}
	return nil
}

func (planner *Planner) job(id identifier.Job) *job {
	found, ok := planner.jobs[id]
	if !ok {
		found = &job{}
		found.spec.ID = id
		planner.jobs[id] = found
	}
	return found
}

// attach keeps the jobs that may need placement apart from those that have ended.
func (planner *Planner) updateOpenJobs(job *job) {
	if job.isOpen() {
		planner.openJobs[job.spec.ID] = job
	} else {
		delete(planner.openJobs, job.spec.ID)
	}
}
