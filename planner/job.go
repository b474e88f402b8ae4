package planner

import (
	"maps"
	"slices"
	"time"

	"corianderroad/accountant"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/reserver"
	"corianderroad/specifier"
)

// job is a job of the journal with the state of its execution.
type job struct {
	spec      specifier.Job
	submitted bool
	withdrawn bool
	// state is running once a minion has started a task.
	state   specifier.State
	endedAt time.Time
	// failure is why the job has failed, empty otherwise.
	failure string
	// startRequested means that the next record of the progress allows tasks to be
	// started, and mayHaveStarted that a durable one does. No task is started before, so
	// that the next holder can read which jobs may have runs.
	startRequested, mayHaveStarted bool
	// occurrences is the state of execution. Only the active holder has it, and nobody
	// for a job that had ended and whose progress had expired when the holder took over.
	occurrences []*occurrence
	// arrival is the job's rank in the order of the journal.
	arrival uint64
	// recordedProgress is the newest progress in the journal, nil if there is
	// none. State of the holder beyond it is discarded when the node steps down.
	recordedProgress *specifier.Progress
	// journalState is the state that the journal has.
	journalState specifier.State
	// hasProgress means that the topic of the progress has a record of the job.
	hasProgress bool
	// progressState is the state in the newest record of that topic.
	progressState specifier.State
	// unrecordedParts are the parts of the progress with tasks that the topic of the
	// progress does not have as they are.
	unrecordedParts map[int]bool
	// isUnrecordable means that the store will never take the progress of the tasks.
	isUnrecordable bool
	deletionSent   bool
	// hasCrashes means that a minion has crashed that had a run of a task, hasCrashPart that
	// the progress may have a part with crashes and placements.
	hasCrashes, hasCrashPart bool
}

// occurrence is one execution of all steps.
type occurrence struct {
	job    *job
	number int
	dueAt  time.Time
	steps  []*step
	// criticalPath is the longest chain of estimated run times.
	criticalPath time.Duration
}

// step is one step of one occurrence.
type step struct {
	occurrence *occurrence
	number     int
	spec       *specifier.Step
	tasks      []task
	// firstTask is the rank of the step's first task among all tasks of the job.
	firstTask int
	done      int
	// waitingSince is the time since which the step has had a task to start, zero
	// if it has none.
	waitingSince time.Time
	// criticalPath is the longest chain of estimated run times that starts at this
	// step or a later one.
	criticalPath time.Duration
	// nextReclaimAt is when the step may try again to reclaim capacity.
	nextReclaimAt time.Time
	// earlySearchAt is when the step, not yet due, last found no runs to stop.
	earlySearchAt time.Time
	advice        *advice
	// passResult is why the last pass that considered the step did not start it.
	passResult waitReason
	// stalledSince is the time since which the step has had nothing running although
	// its turn has come, zero if it is not so.
	stalledSince time.Time
	// restrictions are the reservations that the step's tasks must leave room for, set
	// whenever minions are chosen.
	restrictions reserver.Restrictions
	// crashedTasks are the indexes of the tasks with crashes.
	crashedTasks []int
	// trial is the planned trial of suspect tasks, nil if there is none. trialWantedSince is
	// the time since which the step has waited for one, zero if it does not.
	trial            *trial
	trialWantedSince time.Time
	// passedTrials counts the runs on trial that have passed since the last crash, passedMinions
	// the minions that had them.
	passedTrials, passedMinions int
	// maxTrialTasks is how many of the step's tasks a minion may get, set while tasks are spread
	// evenly over the minions of a trial, otherwise zero.
	maxTrialTasks int
	// gangCheckpoint is the newest checkpoint of the members of a gang.
	gangCheckpoint gangCheckpoint
	// isLikelyCause means that the step had the youngest run on a minion that crashed.
	isLikelyCause bool
	// breakage is why the newest run of a gang that broke did so.
	breakage accountant.Breakage
	// moved are the tasks whose runs were moved because they had stalled, nil if there are none.
	moved *movedTasks
	// copies are the copies of tasks that lagged behind, by the index of the task.
	copies map[int]*taskCopy
	// isUrgent means that the priority of the queue was 0 when the step last waited.
	isUrgent bool
}

// task is one task of a step. A job may have 65,536, so that what few tasks need is in their
// history.
type task struct {
	// doneRun is the run that completed the task.
	doneRun uint64
	// latestRun is the newest run that this holder has started or found, or that the
	// journal allows former holders to have started.
	latestRun  uint64
	checkpoint string
	// run is the run that may still be running, nil if there is none. knownRuns counts it
	// and all others that minions may still have, such as one that is being stopped.
	run *run
	// restartState is nil for a task that has none.
	restartState *taskRestart
	knownRuns    int32
	// stops is how often this holder has stopped a run of the task that must run again.
	stops int32
	done  bool
	// inherited means that a former holder may have started the task.
	inherited bool
	// unresolved means that the newest run of a former holder has neither been found
	// nor ended as far as this holder knows.
	unresolved bool
}

// addFailure adds a failed run and reports whether it is new.
func (task *task) addFailure(run uint64) bool {
	if slices.Contains(task.history().failedRuns, run) {
		return false
	}
	task.ownHistory().failedRuns = append(task.history().failedRuns, run)
	task.latestRun = max(task.latestRun, run)
	return true
}

func newOccurrence(job *job, number int) *occurrence {
	occurrence := &occurrence{job: job, number: number, dueAt: job.spec.DueTime(number), criticalPath: specifier.CriticalPath(job.spec.Steps, 0)}
	firstTask := number * job.spec.TasksPerOccurrence()
	for index := range job.spec.Steps {
		spec := &job.spec.Steps[index]
		occurrence.steps = append(occurrence.steps, &step{
			occurrence: occurrence, number: index, spec: spec, tasks: make([]task, spec.Tasks), firstTask: firstTask,
			criticalPath: specifier.CriticalPath(job.spec.Steps, index),
		})
		firstTask += spec.Tasks
	}
	return occurrence
}

// id returns the identifier of a task of the step.
func (step *step) id(index int) specifier.Task {
	return specifier.Task{
		Job: step.occurrence.job.spec.ID, Occurrence: step.occurrence.number, Step: step.number, Index: index,
	}
}

func (step *step) isComplete() bool { return step.done == len(step.tasks) }

// isReady reports whether all steps that this one depends on are complete.
func (step *step) isReady() bool {
	for _, earlier := range step.spec.DependsOn {
		if !step.occurrence.steps[earlier].isComplete() {
			return false
		}
	}
	return true
}

// startableTasks returns the indexes of the tasks that could be started now.
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
	return task.isIdle(now) && task.mayStart()
}

// isIdle reports whether the task waits for a run and is certain to have none.
func (task *task) isIdle(now time.Time) bool {
	return !task.done && task.knownRuns == 0 && !task.unresolved && !now.Before(task.history().notBefore)
}

// isOpen reports whether the job may still run tasks.
func (job *job) isOpen() bool { return job.submitted && !job.withdrawn && !job.state.IsFinal() }

func (job *job) isComplete() bool {
	if job.spec.IsLongRunning() {
		return false
	}
	for step := range job.steps() {
		if !step.isComplete() {
			return false
		}
	}
	return true
}

// find returns the step and the task with an identifier, nil if the job has no
// such task.
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

// reset returns the job to its state in the journal and discards its execution.
func (job *job) reset() {
	job.state, job.endedAt, job.failure, job.deletionSent = specifier.Queued, time.Time{}, "", false
	job.startRequested, job.mayHaveStarted = false, false
	job.occurrences, job.journalState = nil, specifier.Queued
	job.hasProgress, job.progressState = false, specifier.Queued
	job.unrecordedParts, job.isUnrecordable = nil, false
	job.hasCrashes, job.hasCrashPart = false, false
	if job.recordedProgress != nil {
		job.apply(job.recordedProgress)
		job.journalState = job.recordedProgress.State
	}
}

// prepareExecution creates the state of execution from the journal and the parts of the
// progress that former holders recorded, if there are any.
func (job *job) prepareExecution(former map[int]*specifier.Progress) {
	hasTasks := len(former) > 0 || job.recordedProgress.HasTasks()
	if job.state.IsFinal() && !hasTasks {
		return // without the numbers of its runs, no end of them must be recorded
	}
	for number := range job.spec.Occurrences() {
		job.occurrences = append(job.occurrences, newOccurrence(job, number))
	}
	if job.recordedProgress != nil {
		job.apply(job.recordedProgress)
		job.noteUnrecordedParts(job.recordedProgress, noPart)
	}
	for _, part := range slices.Sorted(maps.Keys(former)) {
		if former[part].State.IsFinal() {
			job.applyState(former[part])
		}
		job.applyTasks(former[part])
		job.noteUnrecordedParts(former[part], part)
		job.progressState = max(job.progressState, former[part].State)
	}
	job.hasProgress = len(former) > 0
}

// apply applies progress that the journal has. Progress that is already applied is never
// undone.
func (job *job) apply(progress *specifier.Progress) {
	job.applyState(progress)
	job.applyTasks(progress)
}

func (job *job) applyState(progress *specifier.Progress) {
	if progress.State > job.state {
		job.state, job.endedAt, job.failure = progress.State, progress.EndedAt, progress.Reason
	}
}

// applyTasks applies the progress of tasks. The state in the topic of the progress says
// whether tasks may have started.
func (job *job) applyTasks(progress *specifier.Progress) {
	job.mayHaveStarted = job.mayHaveStarted || progress.State >= specifier.Running
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
	job.applyCrashes(progress)
	for _, restart := range progress.Restarts {
		_, task := job.find(specifier.Task{Occurrence: restart.Occurrence, Step: restart.Step, Index: restart.Index})
		if task != nil {
			task.latestRun, task.ownRestart().recordedRun = max(task.latestRun, restart.LatestRun), max(task.restart().recordedRun, restart.LatestRun)
		}
	}
}

// applyEntry applies an entry of the journal. It returns the job that the entry
// concerns, or nil if there is none.
func (planner *Planner) applyEntry(now time.Time, entry messenger.JournalEntry) *job {
	switch entry := entry.(type) {
	case messenger.Submitted:
		job := planner.job(entry.Job.ID)
		if job.submitted {
			if job.state.IsFinal() && entry.Job.Payload == "" {
				job.spec.Payload = "" // it is not needed any more
			}
			return job
		}
		planner.lastArrival++
		job.spec, job.submitted, job.arrival = entry.Job, true, planner.lastArrival
		job.withdrawn = job.withdrawn || planner.tombstones.hasFor(&job.spec)
		job.reset()
		planner.updateOpenJobs(job)
		if planner.holder.active {
			planner.takeOver(job)
		}
		return job
	case messenger.Withdrawn:
		job := planner.job(entry.Job)
		job.withdrawn = true
		return job
	case messenger.Tombstone:
		return planner.applyTombstone(now, entry)
	case messenger.TombstoneDeleted:
		delete(planner.tombstones, entry.Tombstone)
	case messenger.Progressed:
		job := planner.job(entry.Job)
		job.recordedProgress = &entry.Progress
		if job.submitted && !planner.holder.active { // the active holder wrote the entry itself
			job.apply(&entry.Progress)
			job.journalState = max(job.journalState, entry.Progress.State)
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

// updateOpenJobs adds a job that may need placement to the open jobs and
// removes one that has ended.
func (planner *Planner) updateOpenJobs(job *job) {
	if job.isOpen() {
		planner.openJobs[job.spec.ID] = job
	} else {
		delete(planner.openJobs, job.spec.ID)
	}
}
