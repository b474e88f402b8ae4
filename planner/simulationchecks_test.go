package planner_test

import (
	"slices"
	"time"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// recordEnd registers an end that its minion may discard.
func (simulation *simulation) recordEnd(end messenger.RunEnd) {
	taskState := simulation.taskState(end.Task)
	switch end.Kind {
	case messenger.EndDone:
		taskState.endRecorded = true
		if latest := slices.Max(taskState.startedRuns); latest > end.Run && !simulation.allowsCopies(end.Task) {
			simulation.reportViolation("%s: the end of run %d is recorded although run %d has started", end.Task, end.Run, latest)
		}
	case messenger.EndFailed:
		taskState.failedRuns = append(taskState.failedRuns, end.Run)
	}
}

// checkAttempts checks that no run of a task starts after as many runs have
// failed as its queue allows. Failures that no holder recorded do not count.
func (simulation *simulation) checkAttempts() {
	for task, taskState := range simulation.tasks {
		slices.Sort(taskState.failedRuns)
		failed := slices.Compact(taskState.failedRuns)
		if len(failed) >= attempts && slices.Max(taskState.startedRuns) > failed[attempts-1] {
			simulation.reportViolation("%s: run %d starts after runs %v have failed", task, slices.Max(taskState.startedRuns), failed)
		}
	}
}

// allowsCopies reports whether two runs of a task may exist at the same time.
func (simulation *simulation) allowsCopies(task specifier.Task) bool {
	spec := &simulation.jobs[task.Job].Steps[task.Step]
	return simulation.features.MinionProfiles && spec.Redundant && !spec.Gang
}

// copiesAllowed returns how many runs a task may have when another one starts.
func (simulation *simulation) copiesAllowed(task specifier.Task) int {
	if simulation.allowsCopies(task) {
		return 1
	}
	return 0
}

// isRecorded reports whether the progress has the number of a run after the first of its task.
func (simulation *simulation) isRecorded(run *fakeRun) bool {
	restart := specifier.TaskRestart{Occurrence: run.task.Occurrence, Step: run.task.Step, Index: run.task.Index, LatestRun: run.number}
	return slices.ContainsFunc(simulation.progress, func(record messenger.Progressed) bool {
		return record.Job == run.task.Job && slices.Contains(record.Progress.Restarts, restart)
	})
}

// checkStart checks the guarantees for each start. The bound after a
// cancellation applies to the time of the order, because a minion may execute
// it late.
func (simulation *simulation) checkStart(run *fakeRun, sentAt time.Time) {
	taskState := simulation.taskState(run.task)
	taskState.startedRuns = append(taskState.startedRuns, run.number)
	simulation.checkCrashBudget(run)
	simulation.checkEvacuation(run, sentAt)
	if len(taskState.running) > simulation.copiesAllowed(run.task) {
		simulation.reportViolation("%s: run %d starts while another runs", run.task, run.number)
	}
	if len(taskState.running) > 0 && !simulation.isRecorded(run) {
		simulation.reportViolation("%s: the journal does not have run %d, which starts while another runs", run.task, run.number)
	}
	if taskState.endRecorded && !simulation.allowsCopies(run.task) {
		simulation.reportViolation("%s: run %d starts after a recorded end", run.task, run.number)
	}
	if at, ok := simulation.cancelled[run.task.Job]; ok && sentAt.Sub(at) > 3*time.Second {
		simulation.reportViolation("%s: run %d starts after the cancellation", run.task, run.number)
	}
	job := simulation.jobs[run.task.Job]
	for _, earlier := range run.spec.DependsOn {
		for index := range job.Steps[earlier].Tasks {
			if !simulation.taskState(specifier.Task{Job: job.ID, Occurrence: run.task.Occurrence, Step: earlier, Index: index}).done &&
				!job.Steps[earlier].Gang {
				simulation.reportViolation("%s: run %d starts before step %d is done", run.task, run.number, earlier)
			}
		}
	}
}
