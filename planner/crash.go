package planner

import (
	"fmt"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

// A task may crash each minion that starts it. A crash is evidence against every run that
// the minion had, and proves nothing about any of them: the task that did it is found by
// running the suspect tasks apart from those of other jobs, see trial.go.

const (
	// recentStart is the time since its start up to which a run makes its task suspect
	// when its minion crashes. Other runs of the minion become suspect with the second crash.
	recentStart = 2 * time.Second
	// establishedAge is the time after which a run has shown that its task does not crash
	// the minions that start it.
	establishedAge = time.Minute
	// maxCrashesOnTrial is the number of crashes on trial after which a task is not started
	// again. A single one could be the crash of a minion for another reason.
	maxCrashesOnTrial = 2
	// maxCrashes is the number of crashes after which a task is not started again even if
	// other jobs were on each of the minions. A takeover may have hidden one more.
	maxCrashes = 4
)

// placement is the incarnation of a minion that was to start a run.
type placement struct {
	run         uint64
	minion      identifier.Minion
	incarnation identifier.Incarnation
}

// crash is the end of an incarnation of a minion that had a run of a task.
type crash struct {
	placement
	// age is for how long the run had worked, at most.
	age time.Duration
	// onTrial means that the run was on trial and had certainly started.
	onTrial bool
	// cleared means that a later run has passed its trial.
	cleared bool
}

// isSuspect reports whether the task may have crashed a minion, so that its next run is
// on trial.
func (task *task) isSuspect() bool {
	for _, crash := range task.crashes {
		if !crash.cleared && (crash.onTrial || crash.age <= recentStart || len(task.crashes) > 1) {
			return !task.done
		}
	}
	return false
}

// isGivenUp reports whether the task must not start again, because it crashes its minions.
func (task *task) isGivenUp() bool {
	return task.crashesOnTrial() >= maxCrashesOnTrial || len(task.crashes) >= maxCrashes
}

// crashesOnTrial returns the number of crashes on trial since the task was last cleared.
func (task *task) crashesOnTrial() int {
	count := 0
	for _, crash := range task.crashes {
		if crash.onTrial && !crash.cleared {
			count++
		}
	}
	return count
}

// hasSuspect reports whether a task of the step is suspect. Its other tasks are not started
// meanwhile: they may do the same.
func (step *step) hasSuspect() bool {
	for _, index := range step.crashedTasks {
		if step.tasks[index].isSuspect() {
			return true
		}
	}
	return false
}

func (run *run) placement() placement { return run.minion.placement(run.number) }

// placement returns the placement of a run on the minion.
func (minion *minion) placement(run uint64) placement {
	return placement{run, minion.report.Minion, minion.report.Incarnation}
}

// forgetCrashes removes the crashes under the task of a run that has worked for long.
func (planner *Planner) forgetCrashes(run *run) {
	if task := run.task(); len(task.crashes) > 0 {
		task.crashes = nil
		planner.recording.markCrashesDirty(run.step)
	}
}

// addCrash adds a crash under a run of a task. A run counts once: if its start may still
// arrive at the minion's next incarnation, that says nothing about a crash of the next one.
func (planner *Planner) addCrash(step *step, index int, added crash) {
	task, job := &step.tasks[index], step.occurrence.job
	isKnown := slices.ContainsFunc(task.crashes, func(known crash) bool { return known.run == added.run })
	if isKnown || task.done || !job.isOpen() {
		return
	}
	step.addCrash(index, added)
	task.lastFailedOn = added.minion
	planner.recording.markCrashesDirty(step)
	planner.emit(messenger.Count{Counter: messenger.Crashes, Reason: countSuspected})
	planner.emitDecision(step.id(index).String(), "minion-crashed", "the minion of its run has crashed",
		fmt.Sprintf("run=%d minion=%s age-at-death=%s on-trial=%t crashes=%d suspect=%t", added.run, added.minion,
			added.age.Round(time.Millisecond), added.onTrial, len(task.crashes), task.isSuspect()), 0)
	planner.passNeeded = true
}

func (step *step) addCrash(index int, added crash) {
	step.tasks[index].crashes = append(step.tasks[index].crashes, added)
	step.passedTrials = 0
	if !slices.Contains(step.crashedTasks, index) {
		step.crashedTasks = append(step.crashedTasks, index)
	}
	step.occurrence.job.hasCrashes = true
}

// refuteCrash removes the crash under a run whose minion reports the run or its end, and so
// had only been out of reach.
func (planner *Planner) refuteCrash(step *step, index int, reported placement) {
	task := &step.tasks[index]
	kept := slices.DeleteFunc(task.crashes, func(known crash) bool { return known.placement == reported })
	if len(kept) == len(task.crashes) {
		return
	}
	task.crashes = kept
	planner.recording.markCrashesDirty(step)
	planner.emit(messenger.Count{Counter: messenger.Crashes, Reason: countRefuted})
	planner.passNeeded = true
}

// judgeFormerRun concludes what has become of the run of an inherited task that neither
// runs nor has ended anywhere, from where the former holder has placed it.
func (planner *Planner) judgeFormerRun(step *step, index int) {
	task := &step.tasks[index]
	placement := task.placement
	if !task.unresolved || placement.run == 0 || placement.run < task.latestRun {
		return
	}
	minion, isKnown := planner.minions[placement.minion]
	if isKnown && minion.report.Incarnation <= placement.incarnation {
		return // the start has not arrived
	}
	planner.addCrash(step, index, crash{placement: placement, onTrial: isKnown && task.isSuspect() && step.isPlacedAlone(index)})
}
