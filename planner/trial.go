package planner

import (
	"cmp"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// The suspect tasks of a step run on trial: on minions of their own, or beside runs that
// have worked for a while, and nothing else starts there until they have passed. Whether
// the minion crashes again then says something about them, and costs others little. A trial
// is recorded with its minion before it starts, so that the next holder can conclude the same.
// How many tasks are tried at a time is decided in trialwidth.go.

const (
	// minTrial is the shortest time for which a run on trial has to work.
	minTrial = time.Second
	// maxTrial is the longest one. It exceeds what a crash soon after the start takes.
	maxTrial = 30 * time.Second
	// trialMargin is the time that a run on trial has to work beyond the age at which
	// earlier ones may have crashed their minions.
	trialMargin = 500 * time.Millisecond
	// trialPollWait is how long a poll of a minion with a trial waits for an end.
	trialPollWait = 250 * time.Millisecond
	// idleMinionWait is how long a trial waits for a minion without runs.
	idleMinionWait = time.Second
	// maxTrialWait is how long a step of which no task has more than one crash waits for its
	// trial. Its tasks then start as if they had passed.
	maxTrialWait = 3 * time.Second
	// A service may have a minion with a trial, or one that is down after it, for each
	// trialShare of its minions, or for each undisputedTrialShare while no other step waits for
	// a minion, or for each idleTrialShare of those without other runs if that is more.
	trialShare           = 4
	undisputedTrialShare = 2
	idleTrialShare       = 2
)

// trial is a planned trial whose starts wait for their record.
type trial struct {
	starts []plannedStart
	// plannedAt is when the minions were chosen. They must have answered since, so that none
	// that is out of reach gets a suspect task.
	plannedAt time.Time
}

type plannedStart struct {
	index  int
	number uint64
	minion *minion
}

// indexes returns the indexes of the tasks of the trial.
func (trial *trial) indexes() []int {
	indexes := make([]int, len(trial.starts))
	for position, start := range trial.starts {
		indexes[position] = start.index
	}
	return indexes
}

// runTrials plans and starts the trials of the suspect tasks whose turn has come.
func (planner *Planner) runTrials(now time.Time, suspects []*waitingStep, pools map[identifier.Service]*pool) {
	updateLikelyCauses(suspects)
	planner.awaitedTrials = make(map[identifier.Service]bool)
	for _, waitingStep := range suspects {
		pool := pools[waitingStep.queue.Service]
		if pool == nil {
			waitingStep.step.passResult = waitsForMinions
			continue
		}
		if reason, outdated := planner.outdatedReading(now, waitingStep.queue.Service); outdated {
			waitingStep.step.passResult = reason
			continue
		}
		if planned := waitingStep.step.trial; planned != nil {
			planner.startTrial(now, waitingStep.step, planned)
		} else {
			planner.planTrial(now, waitingStep, pool)
		}
	}
}

// mostCrashes returns the number of crashes of the task of the step that has most, of those
// that are not done.
func (step *step) mostCrashes() int {
	most := 0
	for _, index := range step.crashedTasks {
		if task := &step.tasks[index]; !task.done {
			most = max(most, len(task.history().crashes))
		}
	}
	return most
}

// mostCrashesOnTrial returns the number of crashes on trial of the task of the step that
// has most.
func (step *step) mostCrashesOnTrial() int {
	most := 0
	for _, index := range step.crashedTasks {
		most = max(most, step.tasks[index].countCrashes(crash.isOnTrial))
	}
	return most
}

// suspectSteps returns the due steps with suspect tasks, those with fewest crashes on trial
// and then with fewest crashes first. A task that has crashed one minion after the other
// must not hold up the trials of others.
func (planner *Planner) suspectSteps(now time.Time) []*waitingStep {
	var steps []*waitingStep
	for _, job := range planner.openJobs {
		queue := planner.queue(job)
		if !job.hasCrashes || queue == nil {
			continue
		}
		for step := range job.dueSteps(now) {
			if step.hasSuspect() && step.isReady() {
				steps = append(steps, &waitingStep{step: step, queue: queue})
			}
		}
	}
	slices.SortFunc(steps, func(one, other *waitingStep) int {
		return cmp.Or(
			cmp.Compare(one.step.mostCrashesOnTrial(), other.step.mostCrashesOnTrial()),
			cmp.Compare(one.step.mostCrashes(), other.step.mostCrashes()),
			compareArrival(one.step, other.step),
		)
	})
	return steps
}

// tasksForTrial returns the tasks that the next trial of the step is to run, those with most
// crashes first: all members of a gang, or as many suspects as the width allows. A task that
// may be given up after the next crash has its minion for itself.
func (step *step) tasksForTrial(now time.Time) []int {
	var indexes []int
	for index := range step.tasks {
		task := &step.tasks[index]
		switch {
		case step.spec.Gang && !task.isIdle(now):
			return nil
		case task.isIdle(now) && (step.spec.Gang || task.isSuspect()):
			indexes = append(indexes, index)
		}
	}
	if step.spec.Gang {
		return indexes
	}
	slices.SortStableFunc(indexes, func(one, other int) int {
		return cmp.Or(
			cmp.Compare(step.tasks[other].countCrashes(crash.isOnTrial), step.tasks[one].countCrashes(crash.isOnTrial)),
			cmp.Compare(len(step.tasks[other].history().crashes), len(step.tasks[one].history().crashes)),
		)
	})
	if step.trialWidth() == 1 && len(indexes) > 0 && step.awaitsRunEnd(len(step.tasks[indexes[0]].history().crashes)) {
		return nil // that task is tried first
	}
	if step.trialMinions() <= 0 {
		return nil
	}
	room := max(0, step.trialWidth()-step.countUnpassedRuns())
	if len(indexes) > 0 && len(step.tasks[indexes[0]].history().crashes) >= maxCrashes-1 {
		room = min(room, 1)
	}
	return indexes[:min(room, len(indexes))]
}

// awaitsRunEnd reports whether a suspect task with more than a number of crashes has a run that
// is being stopped.
func (step *step) awaitsRunEnd(crashes int) bool {
	for _, index := range step.crashedTasks {
		task := &step.tasks[index]
		isEnding := task.knownRuns > 0 && (task.run == nil || task.run.state == stopping)
		if isEnding && task.isSuspect() && len(task.history().crashes) > crashes {
			return true
		}
	}
	return false
}

// planTrial chooses minions for suspect tasks of a step, and plans their trial there.
func (planner *Planner) planTrial(now time.Time, waitingStep *waitingStep, pool *pool) {
	step := waitingStep.step
	waitingStep.taskIndexes = step.tasksForTrial(now)
	if len(waitingStep.taskIndexes) == 0 {
		step.trialWantedSince = time.Time{}
		return
	}
	if step.trialWantedSince.IsZero() {
		step.trialWantedSince = now
	}
	if step.isHeldBack(now, waitingStep.taskIndexes) {
		step.passResult = waitsForTrial
		planner.passNeeded = true
		return
	}
	waitingStep.taskCount = len(waitingStep.taskIndexes)
	planner.updateRestrictions(now, waitingStep)
	planner.updateTickets(now, waitingStep)
	chosen := planner.minionsForTrial(now, waitingStep, pool)
	if len(chosen) == 0 {
		step.passResult = waitsForTrial
		planner.awaitedTrials[waitingStep.queue.Service] = true
		if step.mostCrashes() == 1 && step.mostCrashesOnTrial() == 0 && now.Sub(step.trialWantedSince) >= maxTrialWait {
			planner.releaseSuspects(now, step)
		}
		return
	}
	if !planner.ensureTickets(now, waitingStep, chosen, pool.available) {
		step.passResult = waitsForAdvice
		return
	}
	planner.reserveTrial(now, waitingStep, chosen, pool)
	step.passResult = waitsForRecord
}

// reserveTrial closes the chosen minions for other runs, and records the trial.
func (planner *Planner) reserveTrial(now time.Time, waitingStep *waitingStep, chosen []*minion, pool *pool) {
	step := waitingStep.step
	step.trialWantedSince = time.Time{}
	step.trial = &trial{plannedAt: now}
	number := planner.nextRunNumber()
	for position, minion := range chosen {
		if position > 0 && !step.spec.Gang {
			number = planner.nextRunNumber()
		}
		index := waitingStep.taskIndexes[position]
		task := &step.tasks[index]
		task.ownRestart().reservedRun = number
		task.place(minion.placement(number), now)
		step.trial.starts = append(step.trial.starts, plannedStart{index, number, minion})
		minion.trial = step
		if !minion.polling {
			minion.schedulePoll(now)
		}
		pool.remove(minion)
		planner.recording.markTaskDirty(step, index)
	}
	planner.recording.markCrashesDirty(step)
}

// startTrial starts a trial once it is recorded, or gives it up if one of its minions can't be
// used any more, or a crash has become known since after which one of its tasks must not start.
func (planner *Planner) startTrial(now time.Time, step *step, trial *trial) {
	if step.isHeldBack(now, trial.indexes()) {
		step.cancelTrial()
		planner.passNeeded = true
		return
	}
	demands := make(map[*minion]specifier.Resources)
	for _, start := range trial.starts {
		demands[start.minion] = demands[start.minion].Add(requiredCapacity(step.spec))
	}
	for _, start := range trial.starts {
		minion, task := start.minion, &step.tasks[start.index]
		isUsable := planner.minions[minion.report.Minion] == minion && minion.availability(now) == onTrial &&
			planner.reservations.freeCapacity(step, minion).Holds(demands[minion])
		if !isUsable || !task.isIdle(now) || task.restart().reservedRun != start.number {
			step.cancelTrial()
			planner.passNeeded = true
			return
		}
		if task.restart().recordedRun < start.number {
			step.passResult = waitsForRecord
			return
		}
		if minion.answeredAt.Before(trial.plannedAt) {
			step.passResult = waitsForTrial
			return
		}
	}
	step.trial = nil
	for _, start := range trial.starts {
		step.tasks[start.index].ownRestart().reservedRun = 0
		planner.startRun(now, step, start.index, start.minion, start.number, step.ticket(start.minion))
	}
}

// isHeldBack reports whether a trial of tasks must not start, because one of them is given up or
// may be once more is known about its crashes. A gang waits for its first member only: if it waited
// for each, more gangs without a fault would be given up when whole racks crash.
func (step *step) isHeldBack(now time.Time, indexes []int) bool {
	if step.spec.Gang {
		indexes = indexes[:1]
	}
	return slices.ContainsFunc(indexes, func(index int) bool {
		task := &step.tasks[index]
		return task.isGivenUp() || task.awaitsEvidence(now)
	})
}

// cancelTrial gives up a trial that has not started.
func (step *step) cancelTrial() {
	for _, start := range step.trial.starts {
		if task := &step.tasks[start.index]; task.restart().reservedRun == start.number {
			task.ownRestart().reservedRun = 0
		}
		if start.minion.trial == step {
			start.minion.trial = nil
		}
	}
	step.trial = nil
}

// reopenMinions opens the minions for other runs whose trials have ended, or will not be
// held: the step may not be suspect any more, or its job may have ended.
func (planner *Planner) reopenMinions() {
	for _, minion := range planner.minions {
		step := minion.trial
		if step == nil {
			continue
		}
		job := step.occurrence.job
		isWanted := step.hasSuspect() && job.isOpen() && planner.queue(job) != nil
		if step.trial != nil && !isWanted {
			step.cancelTrial()
		}
		if step.trial == nil && !(step.hasSuspect() && minion.hasTrialRun()) {
			minion.trial = nil
		}
	}
}

// hasTrialRun reports whether the minion has a run on trial that has not passed, or whose task
// is not cleared.
func (minion *minion) hasTrialRun() bool {
	for _, run := range minion.runs {
		if run.onTrial && (!run.hasPassed || run.task().isSuspect()) {
			return true
		}
	}
	return false
}
