package planner

import (
	"cmp"
	"slices"

	"corianderroad/specifier"
)

// markCrashesDirty notes that the crashes under tasks of a step, or the placements of their
// runs, are not recorded.
func (recording *recording) markCrashesDirty(step *step) {
	job := step.occurrence.job
	job.hasCrashPart = true
	job.addUnrecordedPart(job.spec.CrashPart())
	recording.markDirty(job)
}

// crashProgress returns the part of the progress with the crashes and placements. If they
// are too many, the tasks with most certain crashes are listed.
func (job *job) crashProgress() specifier.Progress {
	recorded := specifier.Progress{State: job.permittedState(), EndedAt: job.endedAt}
	for step := range job.steps() {
		for index := range step.tasks {
			if task := &step.tasks[index]; !task.done {
				recorded.Crashes = append(recorded.Crashes, step.recordedCrashes(index)...)
				recorded.Placements = append(recorded.Placements, step.recordedPlacement(index)...)
			}
		}
	}
	if len(recorded.Crashes) > specifier.MaxRecordedCrashes {
		slices.SortStableFunc(recorded.Crashes, func(one, other specifier.TaskCrash) int {
			return cmp.Compare(job.crashCount(other), job.crashCount(one))
		})
		recorded.Crashes = recorded.Crashes[:specifier.MaxRecordedCrashes]
	}
	recorded.Placements = recorded.Placements[:min(len(recorded.Placements), specifier.MaxRecordedCrashes)]
	return recorded
}

func (job *job) crashCount(recorded specifier.TaskCrash) int {
	return job.occurrences[recorded.Occurrence].steps[recorded.Step].tasks[recorded.Index].countCrashes(crash.isCertain)
}

func (step *step) recordedCrashes(index int) []specifier.TaskCrash {
	var recorded []specifier.TaskCrash
	for _, crash := range step.tasks[index].history().crashes {
		recorded = append(recorded, specifier.TaskCrash{
			Occurrence: step.occurrence.number, Step: step.number, Index: index,
			Run: crash.run, Minion: crash.minion, Incarnation: crash.incarnation, Age: crash.age, OnTrial: crash.onTrial, Cleared: crash.cleared,
			Address: crash.address, Evidence: crash.evidence, SilentPeers: crash.silentPeers, NextIncarnation: crash.next,
		})
	}
	return recorded
}

// recordedPlacement returns where the newest run of the task is placed, if it is known and
// the run may not have ended.
func (step *step) recordedPlacement(index int) []specifier.TaskPlacement {
	task := &step.tasks[index]
	placement := task.history().placement
	if placement.run == 0 || placement.run != max(task.latestRun, task.restart().reservedRun) {
		return nil
	}
	return []specifier.TaskPlacement{{
		Occurrence: step.occurrence.number, Step: step.number, Index: index,
		Run: placement.run, Minion: placement.minion, Incarnation: placement.incarnation, Address: placement.address,
		PlacedAt: task.history().placedAt,
	}}
}

// applyCrashes applies the crashes and placements that a former holder has recorded.
func (job *job) applyCrashes(progress *specifier.Progress) {
	for _, recorded := range progress.Crashes {
		step, task := job.find(specifier.Task{Occurrence: recorded.Occurrence, Step: recorded.Step, Index: recorded.Index})
		if task != nil {
			step.addCrash(recorded.Index, crash{
				placement: placement{recorded.Run, recorded.Minion, recorded.Incarnation, recorded.Address}, age: recorded.Age, onTrial: recorded.OnTrial, cleared: recorded.Cleared,
				evidence: recorded.Evidence, silentPeers: recorded.SilentPeers, next: recorded.NextIncarnation,
			})
			task.ownHistory().lastFailedOn = recorded.Minion
		}
	}
	for _, recorded := range progress.Placements {
		_, task := job.find(specifier.Task{Occurrence: recorded.Occurrence, Step: recorded.Step, Index: recorded.Index})
		if task != nil {
			task.place(placement{recorded.Run, recorded.Minion, recorded.Incarnation, recorded.Address}, recorded.PlacedAt)
		}
	}
	job.hasCrashPart = job.hasCrashPart || len(progress.Crashes)+len(progress.Placements) > 0
}
