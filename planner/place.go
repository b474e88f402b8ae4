package planner

import "time"

// placeStep starts as many tasks of a step as there is free capacity for, a
// gang completely or not at all. It reports whether the step needs no further
// capacity in this pass.
func (planner *Planner) placeStep(now time.Time, waitingStep *waitingStep, pool *pool) bool {
	step := waitingStep.step
	if step.spec.Gang && waitingStep.taskCount < len(step.tasks)-step.done {
		return true
	}
	if !planner.allowance.limitTasks(waitingStep) {
		step.passResult = waitsForRunLimit
		return true // stopped runs would make no room: it waits for ends
	}
	planner.updateRestrictions(now, waitingStep)
	planner.updateTickets(now, waitingStep)
	chosen := planner.findMinions(now, waitingStep, pool)
	if len(chosen) == 0 && (!pool.crowded || step.spec.LongRunning) && now.Sub(step.waitingSince) >= quarantineWait {
		// Failures may be the fault of another job. Idle minions are better than none.
		pool = planner.extended(now, pool)
		chosen = planner.findMinions(now, waitingStep, pool)
	}
	if len(chosen) == 0 {
		step.passResult = waitsForCapacity
		return false
	}
	if !planner.ensureTickets(now, waitingStep, chosen, pool.available) {
		step.passResult = waitsForAdvice
		return true // waits for advice, not for capacity
	}
	if job := step.occurrence.job; !job.mayHaveStarted {
		if !job.startRequested {
			job.startRequested = true
			planner.recording.markDirty(job)
		}
		step.passResult, planner.hasUnrecordedStarts = waitsForRecord, true
		return true // the tasks start once the record is durable
	}
	planner.shareGangCheckpoint(step)
	var number uint64
	for index, minion := range chosen {
		taskIndex := waitingStep.taskIndexes[index]
		if taskNumber := planner.takeRunNumber(&step.tasks[taskIndex]); index == 0 || !step.spec.Gang {
			number = taskNumber
		}
		planner.startRun(now, step, taskIndex, minion, number, step.ticket(minion))
		pool.addUsage(minion, requiredCapacity(step.spec))
		planner.noteStartBesideReservations(step, minion)
	}
	planner.allowance.take(step.occurrence.job.spec.Workspace, len(chosen))
	planner.releaseReservation(waitingStep, chosen)
	planner.meetReservation(now, waitingStep)
	planner.aging.noteStart(waitingStep, len(chosen))
	return len(chosen) == waitingStep.taskCount
}

// findMinions returns minions as chooseMinions does, but none if all tasks must
// start together and do not fit.
func (planner *Planner) findMinions(now time.Time, waitingStep *waitingStep, pool *pool) []*minion {
	step := waitingStep.step
	rackRequired := step.requiresRack(now, waitingStep, pool)
	demand, tasks := step.demand(rackRequired), 1
	if step.startsTogether(rackRequired, pool) {
		tasks = waitingStep.taskCount
	}
	cacheable := step.isCacheable() && !planner.reservations.has(step)
	if cacheable && pool.isInfeasible(demand, tasks) {
		return nil
	}
	startable := step.startableTasks(now)
	waitingStep.taskIndexes = startable[:min(waitingStep.taskCount, len(startable))]
	chosen := planner.chooseMinions(waitingStep, pool, rackRequired)
	if len(chosen) < tasks {
		if cacheable {
			pool.markInfeasible(demand, tasks)
		}
		return nil
	}
	return chosen
}

// startsTogether reports whether the step starts all its tasks at once or none.
func (step *step) startsTogether(rackRequired bool, pool *pool) bool {
	return step.spec.Gang || (step.spec.SameRack && !step.hasRuns() && (rackRequired || pool.crowded))
}

func (planner *Planner) nextRunNumber() uint64 {
	planner.lastRunNumber++
	return planner.lastRunNumber
}

func (step *step) hasRuns() bool {
	for index := range step.tasks {
		if step.tasks[index].run != nil {
			return true
		}
	}
	return false
}
