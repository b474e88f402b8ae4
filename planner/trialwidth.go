package planner

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"time"

	"corianderroad/messenger"
)

const (
	// trialGrowth is how many more tasks of a step may be on trial for each one that passes, or
	// how many more minions may have its trials for each one whose trials pass.
	trialGrowth = 2
	// laterPassTime is the longest time after which a run on trial passes if others of its step
	// have passed before, or other steps wait for a trial. It exceeds recentStart.
	laterPassTime = recentStart + trialMargin
	// maxLastingWait is how long a task that lasts may be without a run, and maxLastingPassTime the
	// longest time after which the first run of its step on trial passes. It leaves the time until
	// the crash is known, and a second for records and starts.
	maxLastingWait     = 9 * time.Second
	maxLastingPassTime = maxLastingWait - maxUndecidedTime - time.Second
)

// trialTime returns for how long a crash of the minion is evidence against a run of the task on
// trial: beyond the age at which any earlier run may have crashed its minion.
func (task *task) trialTime() time.Duration {
	longest := time.Duration(0)
	for _, crash := range task.history().crashes {
		if !crash.cleared {
			longest = max(longest, cmp.Or(crash.age, unknownAge))
		}
	}
	return min(max(longest+longest/2+trialMargin, minTrial), maxTrial)
}

// clearTime returns for how long a run on trial has to work until its task is cleared. If its
// task crashes its minions, it does so at about the shortest age of a crash. A task that lasts may
// be followed by all others of its step, so that an age that a takeover has hidden does not count.
func (planner *Planner) clearTime(run *run) time.Duration {
	var ages []time.Duration
	for _, crash := range run.task().history().crashes {
		if !crash.cleared && (crash.age > 0 || !run.step.spec.LongRunning) {
			ages = append(ages, crash.age)
		}
	}
	if len(ages) == 0 {
		return minTrial // no age is known, or it is a member of a gang with a suspect one
	}
	clearTime := min(max(slices.Min(ages)+trialMargin, minTrial), maxTrial)
	if run.step.passedTrials > 0 || planner.awaitedTrials[run.minion.report.Service] {
		clearTime = min(clearTime, laterPassTime)
	}
	return clearTime
}

// passTime returns for how long a run on trial has to work until it passes, so that others of its
// step may be tried. Tasks that last can't wait longer for that than the rule allows, unless the
// next crash may be the one after which the task is given up.
func (planner *Planner) passTime(run *run) time.Duration {
	clearTime := planner.clearTime(run)
	if run.step.spec.LongRunning && len(run.task().history().crashes) < maxCrashes-1 {
		return min(clearTime, maxLastingPassTime)
	}
	return clearTime
}

// trialWidth returns how many tasks of the step may be on trial at a time. It is one after a
// crash, so that the next one is certainly due to that task, and grows with those that pass.
// After a single crash it is not limited if another step is more likely the reason, nor once a
// task that lasts has passed: the others are copies of it, and must not wait for long. What they
// can cost is limited by the number of minions, see trialMinions.
func (step *step) trialWidth() int {
	if step.mostCrashes() == 1 && !step.isLikelyCause {
		return len(step.tasks)
	}
	if step.spec.LongRunning && step.passedTrials > 0 {
		return len(step.tasks)
	}
	return max(1, trialGrowth*step.passedTrials)
}

// trialMinions returns on how many more minions the step may have tasks on trial, as far as the
// tasks themselves decide it. A minion is lost at most once, however many of them it has, so that
// a step whose tasks last shares few minions in place of trying few tasks. Once one has passed, the
// others may cost as many minions as they have cost before.
func (step *step) trialMinions() int {
	switch {
	case step.passedTrials == 0:
		return 1
	case step.spec.LongRunning:
		return max(trialGrowth*step.passedMinions, step.countCrashedMinions()) - step.countUnpassedMinions()
	}
	return len(step.tasks)
}

// countCrashedMinions returns the number of minions that crashed and make tasks of the step
// suspect, each life of a minion by itself.
func (step *step) countCrashedMinions() int {
	crashed := make(map[placement]bool)
	for crash := range step.crashes() {
		if !crash.cleared {
			crashed[crash.crashed()] = true
		}
	}
	return len(crashed)
}

// countUnpassedMinions returns the number of minions with a run of the step on trial that has
// not passed.
func (step *step) countUnpassedMinions() int {
	unpassed := make(map[*minion]bool)
	for _, index := range step.crashedTasks {
		if run := step.tasks[index].run; run != nil && run.onTrial && !run.hasPassed {
			unpassed[run.minion] = true
		}
	}
	return len(unpassed)
}

// updateLikelyCauses notes which of the steps had the youngest run on a minion that crashed.
func updateLikelyCauses(steps []*waitingStep) {
	youngest := make(map[placement]time.Duration)
	for _, waitingStep := range steps {
		for crash := range waitingStep.step.crashes() {
			if age, isKnown := youngest[crash.crashed()]; !isKnown || crash.age < age {
				youngest[crash.crashed()] = crash.age
			}
		}
	}
	for _, waitingStep := range steps {
		step := waitingStep.step
		step.isLikelyCause = false
		for crash := range step.crashes() {
			step.isLikelyCause = step.isLikelyCause || crash.age <= youngest[crash.crashed()]
		}
	}
}

// crashed returns the incarnation that has crashed, as a placement without a run.
func (crash crash) crashed() placement {
	return placement{minion: crash.minion, incarnation: crash.incarnation}
}

// crashes yields the crashes under tasks of the step.
func (step *step) crashes() iter.Seq[crash] {
	return func(yield func(crash) bool) {
		for _, index := range step.crashedTasks {
			for _, crash := range step.tasks[index].history().crashes {
				if !yield(crash) {
					return
				}
			}
		}
	}
}

// countUnpassedRuns returns the number of runs of the step on trial that have not passed. One
// whose minion has fallen silent counts until it is certain what has become of the minion.
func (step *step) countUnpassedRuns() int {
	count := 0
	for _, index := range step.crashedTasks {
		if run := step.tasks[index].run; run != nil && run.onTrial && !run.hasPassed {
			count++
		}
	}
	return count
}

// isAloneOnTrial reports whether a run is on trial and its minion has no other run that could
// be the reason for a crash: one that is on trial too, or has started later.
func (run *run) isAloneOnTrial() bool {
	if !run.onTrial {
		return false
	}
	for _, other := range append(run.minion.sortedRuns(), run.minion.lostRuns...) {
		isSameGang := run.step.spec.Gang && other.step == run.step && other.number == run.number
		if other != run && !isSameGang && (other.onTrial || other.startedAt.After(run.startedAt)) {
			return false
		}
	}
	return true
}

// isPlacedAlone reports whether no other task of the step is placed on the same minion, as far
// as it is recorded.
func (step *step) isPlacedAlone(index int) bool {
	if step.spec.Gang {
		return true
	}
	placed := step.tasks[index].history().placement
	for other := range step.tasks {
		task := &step.tasks[other]
		isThere := task.history().placement.minion == placed.minion && task.history().placement.incarnation == placed.incarnation
		if other != index && isThere && !task.done && task.history().placement.run >= task.latestRun {
			return false
		}
	}
	return true
}

// releaseSuspects lets the suspect tasks of a step start without a trial. One crash alone is
// weak evidence, and must not keep a job waiting behind the trials of others.
func (planner *Planner) releaseSuspects(now time.Time, step *step) {
	for _, index := range step.crashedTasks {
		planner.clear(step, &step.tasks[index])
	}
	planner.emit(messenger.Count{Counter: messenger.Crashes, Reason: countReleased})
	planner.emitDecision(string(step.occurrence.job.spec.ID), "suspects-released", "no minion was free for a trial",
		fmt.Sprintf("step=%d tasks=%d", step.number, len(step.crashedTasks)), now.Sub(step.trialWantedSince))
	step.trialWantedSince = time.Time{}
	planner.passNeeded = true
}

// clear ends the suspicion of a task. Its crashes still count until it is established.
func (planner *Planner) clear(step *step, task *task) {
	for index := range task.history().crashes {
		task.history().crashes[index].cleared = true
	}
	planner.recording.markCrashesDirty(step)
}

// clearIfPassed clears a suspect task of which a run has worked for long enough. If the task has
// crashed a minion on trial, that is the whole trial time.
func (planner *Planner) clearIfPassed(now time.Time, run *run) {
	task, worked := run.task(), now.Sub(run.startConfirmedAt)
	if run.state != running || !(run.onTrial || task.isSuspect()) {
		return
	}
	if !run.hasPassed {
		if worked < planner.passTime(run) {
			return
		}
		run.clearTime = planner.clearTime(run) // its own pass would make it shorter
		planner.passTrial(run)
	}
	isOver := !now.Before(run.trialEndsAt)
	run.onTrial = run.onTrial && !isOver
	if worked < run.clearTime || task.countCrashes(crash.isUncleared) == 0 || (task.countCrashes(crash.isOnTrial) > 0 && !isOver) {
		return
	}
	planner.clear(run.step, task)
	planner.passNeeded = true
	planner.emit(messenger.Count{Counter: messenger.Crashes, Reason: countCleared})
	planner.emitDecision(run.id.String(), "task-cleared", "its run has passed its trial",
		fmt.Sprintf("run=%d minion=%s crashes=%d", run.number, run.minion.report.Minion, len(task.history().crashes)), worked)
}

// passTrial notes that a run has worked for long enough to let others of its step be tried.
func (planner *Planner) passTrial(run *run) {
	if run.onTrial {
		run.step.passedTrials++
	}
	if run.onTrial && !run.minion.hasPassedTrialOf(run.step) {
		run.step.passedMinions++
	}
	run.hasPassed, run.trialEndsAt = true, run.startConfirmedAt.Add(run.task().trialTime())
	planner.passNeeded = true
}

// hasPassedTrialOf reports whether a run of the step has passed on the minion.
func (minion *minion) hasPassedTrialOf(step *step) bool {
	for _, run := range minion.runs {
		if run.step == step && run.hasPassed {
			return true
		}
	}
	return false
}

// awaitsTrial reports whether a suspect task of the step has no run that has passed. The other
// tasks are not started meanwhile: they may crash their minions too.
func (step *step) awaitsTrial() bool {
	for _, index := range step.crashedTasks {
		task := &step.tasks[index]
		if task.isSuspect() && (task.run == nil || !task.run.hasPassed) {
			return true
		}
	}
	return false
}
