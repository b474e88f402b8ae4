package planner

import (
	"fmt"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/profiler"
	"corianderroad/specifier"
)

// Copies of tasks that lag behind on a minion which is slow or stalls. Two runs of a task at the same
// time are allowed only for steps with Redundant. The number of a copy is in the journal before it
// starts, as that of a restart.

const (
	// minCopies and minionsPerCopy bound the copies at a time: one for each ten minions.
	minCopies      = 2
	minionsPerCopy = 10
	// maxCopyDelay is how long a copy waits for the record of its number before it is given up.
	maxCopyDelay = 2 * time.Second
)

// taskCopy is the copy of a task. A task has one at most.
type taskCopy struct {
	// run is the copy while it is a second run of its task, nil otherwise.
	run *run
	// number is that of the run, zero until it starts or is found.
	number    uint64
	plannedAt time.Time
	// isCounted means that the outcome is counted.
	isCounted bool
}

// allowsCopies reports whether two runs of a task of the step may exist at the same time.
func (planner *Planner) allowsCopies(step *step) bool {
	spec := step.spec
	return planner.profiles.profiler != nil && spec.Redundant && !spec.Gang && !spec.LongRunning
}

// awaitsCopy reports whether a copy of a task is planned or runs.
func (step *step) awaitsCopy(now time.Time, index int) bool {
	planned := step.copies[index]
	return planned != nil && (planned.run != nil || (planned.number == 0 && now.Sub(planned.plannedAt) < maxCopyDelay))
}

// startCopies starts the copies whose numbers are in the journal, and plans those of tasks that lag
// behind. The caller has made sure that no pass is due.
func (planner *Planner) startCopies(now time.Time) {
	candidates, count := planner.copyCandidates(now)
	if len(candidates) == 0 {
		return
	}
	var pools map[identifier.Service]*pool
	for _, original := range candidates {
		if count >= max(minCopies, len(planner.minions)/minionsPerCopy) || len(planner.pendingOrders) >= maxPendingOrders {
			return
		}
		if pools == nil {
			pools = planner.newPools(now)
			for service, pool := range pools {
				pools[service] = pool.filtered(func(minion *minion) bool { return minion.condition == profiler.Sound })
				if planner.hasWaitingStep(now, service) {
					delete(pools, service)
				}
			}
		}
		queue := planner.queue(original.job())
		if pool := pools[queue.Service]; pool != nil && planner.advanceCopy(now, original, queue, pool) {
			count++
		}
	}
}

// copyCandidates returns the runs whose tasks should have a copy, in the order of the minions'
// names, and the number of copies that run.
func (planner *Planner) copyCandidates(now time.Time) ([]*run, int) {
	var candidates []*run
	count := 0
	for _, minion := range planner.sortedMinions() {
		if len(minion.runs) == 0 {
			continue
		}
		for _, run := range minion.sortedRuns() {
			planned := run.step.copies[run.id.Index]
			if planned != nil && planned.run == run {
				count++
			}
			if run.task().run == run && planner.needsCopy(now, run, planned) {
				candidates = append(candidates, run)
			}
		}
	}
	return candidates, count
}

// needsCopy reports whether a copy of a run's task is allowed and expected to end clearly earlier. The
// run may fail yet, and the copy must not start after the last attempt that the task has.
func (planner *Planner) needsCopy(now time.Time, run *run, planned *taskCopy) bool {
	task, queue := run.task(), planner.queue(run.job())
	isLeft := planned == nil || (planned.number == 0 && now.Sub(planned.plannedAt) < maxCopyDelay)
	if !isLeft || queue == nil || !planner.allowsCopies(run.step) || run.step.advice != nil || !run.job().isOpen() {
		return false
	}
	if run.state != running || run.minion.unresponsive || task.knownRuns != 1 || task.done || task.unresolved || len(task.history().failedRuns)+2 > queue.Attempts {
		return false
	}
	if run.step.hasSuspect() || len(task.history().crashes) > 0 || run.isHeldBack() {
		return false
	}
	lag, isKnown := planner.profiles.profiler.Lag(now, &run.minion.profile, &run.profile, run.kind(), run.step.spec.EstimatedRunTime, run.checkpoint != "")
	return isKnown && lag.CopyPays()
}

// hasWaitingStep reports whether a step of a service could start tasks.
func (planner *Planner) hasWaitingStep(now time.Time, service identifier.Service) bool {
	for step, queue := range planner.dueSteps(now) {
		if queue.Service == service && step.urgency(now, queue) != nil {
			return true
		}
	}
	return false
}

// advanceCopy reserves the number of a copy, or starts it once the journal has the number, if there
// is capacity for it now. It reports whether the copy counts among those that run.
func (planner *Planner) advanceCopy(now time.Time, original *run, queue *specifier.Queue, pool *pool) bool {
	step, index := original.step, original.id.Index
	if _, outdated := planner.outdatedReading(now, queue.Service); outdated || planner.reservations.has(step) {
		return false
	}
	minion := planner.minionForCopy(now, original, queue, pool)
	if minion == nil {
		return false
	}
	task := &step.tasks[index]
	if step.copies[index] == nil {
		if step.copies == nil {
			step.copies = make(map[int]*taskCopy)
		}
		step.copies[index] = &taskCopy{plannedAt: now}
		if task.restart().reservedRun == 0 {
			task.ownRestart().reservedRun = planner.nextRunNumber()
			planner.recording.markTaskDirty(step, index)
		}
	}
	if !task.mayStart() {
		return true
	}
	planner.startCopy(now, original, minion)
	pool.addUsage(minion, requiredCapacity(step.spec))
	return true
}

// minionForCopy returns a minion with free capacity for a copy, nil if there is none.
func (planner *Planner) minionForCopy(now time.Time, original *run, queue *specifier.Queue, pool *pool) *minion {
	step := original.step
	waitingStep := &waitingStep{step: step, queue: queue, taskCount: 1, taskIndexes: []int{original.id.Index}, late: now.After(step.latestStart(queue))}
	planner.updateRestrictions(now, waitingStep)
	others := pool.filtered(func(minion *minion) bool { return minion != original.minion })
	chosen := planner.chooseMinions(waitingStep, others, step.wantsRack(waitingStep, others))
	if len(chosen) == 0 {
		return nil
	}
	return chosen[0]
}

// startCopy starts a copy from the newest checkpoint of the run that it copies.
func (planner *Planner) startCopy(now time.Time, original *run, minion *minion) {
	step, index := original.step, original.id.Index
	if original.checkpoint != "" {
		planner.updateCheckpoint(step, index, original.checkpoint)
	}
	task := &step.tasks[index]
	number := planner.takeRunNumber(task)
	planner.startRun(now, step, index, minion, number, "")
	copied := step.copies[index]
	copied.run, copied.number, task.run = task.run, number, original
	planner.noteStartBesideReservations(step, minion)
	planner.emit(messenger.Count{Counter: messenger.Copies, Reason: "started"})
	planner.emitProfileLine(now, original.id.String(), "copy", "its run lags behind others of its kind",
		fmt.Sprintf("run=%d minion=%s copied-run=%d slow-minion=%s profile=%s percent=%d", number, minion.report.Minion,
			original.number, original.minion.report.Minion, original.minion.condition, original.progressPercent), now.Sub(original.startedAt))
}
