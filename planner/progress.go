package planner

import (
	"iter"
	"maps"
	"slices"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// noPart stands for progress that is not that of one part.
const noPart = -1

// part returns the part of the job's progress that has a task of the step.
func (step *step) part(index int) int { return (step.firstTask + index) / specifier.TasksPerPart }

// addUnrecordedPart notes that the topic of the progress does not have a part as it is.
func (job *job) addUnrecordedPart(part int) {
	if job.unrecordedParts == nil {
		job.unrecordedParts = make(map[int]bool)
	}
	job.unrecordedParts[part] = true
}

// noteUnrecordedParts notes the parts of the tasks that another part lists. Earlier
// versions recorded all tasks in the first part, which is replaced with the next record.
func (job *job) noteUnrecordedParts(progress *specifier.Progress, listedIn int) {
	note := func(id specifier.Task) {
		if step, _ := job.find(id); step != nil && step.part(id.Index) != listedIn {
			job.addUnrecordedPart(step.part(id.Index))
		}
	}
	for _, task := range progress.Tasks {
		note(specifier.Task{Occurrence: task.Occurrence, Step: task.Step, Index: task.Index})
	}
	for _, restart := range progress.Restarts {
		note(specifier.Task{Occurrence: restart.Occurrence, Step: restart.Step, Index: restart.Index})
	}
}

// stateRecord returns the job's state for the journal.
func (job *job) stateRecord() messenger.Progressed {
	return messenger.Progressed{Job: job.spec.ID, Progress: specifier.Progress{State: job.state, EndedAt: job.endedAt, Reason: job.failure}}
}

// permittedState returns the state for the topic of the progress. There a job counts as
// running from the permission to start its tasks on.
func (job *job) permittedState() specifier.State {
	if job.state == specifier.Queued && (job.startRequested || job.mayHaveStarted) {
		return specifier.Running
	}
	return job.state
}

// takeUnrecordedParts returns the parts of the progress that must be recorded, for the
// next holder, none if it would read nothing new. Otherwise the first part is always
// among them and comes last: with it the record of an earlier version, which has all
// tasks, is replaced.
func (job *job) takeUnrecordedParts() []messenger.Progressed {
	if state := job.permittedState(); !job.hasProgress || state != job.progressState {
		job.addUnrecordedPart(0)
		job.hasProgress, job.progressState = true, state
	}
	if len(job.unrecordedParts) == 0 {
		return nil
	}
	job.addUnrecordedPart(0)
	var updates []messenger.Progressed
	for _, part := range slices.Backward(slices.Sorted(maps.Keys(job.unrecordedParts))) {
		updates = append(updates, messenger.Progressed{Job: job.spec.ID, Part: part, Progress: job.partProgress(part)})
	}
	job.unrecordedParts = nil
	return updates
}

// partProgress returns the progress of the tasks of a part.
func (job *job) partProgress(part int) specifier.Progress {
	// An ended job retains the numbers of its runs for a time. With them the next holder
	// recognizes an end that must not be recorded any more.
	recorded := specifier.Progress{State: job.permittedState(), EndedAt: job.endedAt, Reason: job.failure}
	if job.isUnrecordable {
		return recorded
	}
	if part == job.spec.CrashPart() {
		return job.crashProgress()
	}
	for step, index := range job.tasksOfPart(part) {
		task := &step.tasks[index]
		// The reserved run may start as soon as this record is durable.
		if run := max(task.restart().recordedRun, task.restart().reservedRun); run > 0 && !task.done {
			recorded.Restarts = append(recorded.Restarts, specifier.TaskRestart{
				Occurrence: step.occurrence.number, Step: step.number, Index: index, LatestRun: run,
			})
		}
		if task.done || len(task.history().failedRuns) > 0 || task.checkpoint != "" {
			recorded.Tasks = append(recorded.Tasks, specifier.TaskProgress{
				Occurrence: step.occurrence.number, Step: step.number, Index: index,
				Done: task.done, DoneRun: task.doneRun, FailedRuns: slices.Clone(task.history().failedRuns), Checkpoint: task.checkpoint,
			})
		}
	}
	return recorded
}

// tasksOfPart yields the steps and indexes of the tasks of a part.
func (job *job) tasksOfPart(part int) iter.Seq2[*step, int] {
	first := part * specifier.TasksPerPart
	end := first + specifier.TasksPerPart
	return func(yield func(*step, int) bool) {
		for number := first / job.spec.TasksPerOccurrence(); number < len(job.occurrences); number++ {
			for _, step := range job.occurrences[number].steps {
				if step.firstTask >= end {
					return
				}
				for index := max(0, first-step.firstTask); index < min(len(step.tasks), end-step.firstTask); index++ {
					if !yield(step, index) {
						return
					}
				}
			}
		}
	}
}

// progressParts returns all parts of the job's progress.
func (job *job) progressParts() []messenger.ProgressPart {
	parts := make([]messenger.ProgressPart, job.spec.ProgressParts())
	for number := range parts {
		parts[number] = messenger.ProgressPart{Job: job.spec.ID, Part: number}
	}
	if job.hasCrashPart {
		parts = append(parts, messenger.ProgressPart{Job: job.spec.ID, Part: job.spec.CrashPart()})
	}
	return parts
}
