package planner

import (
	"time"

	"corianderroad/accountant"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// Runs move out of evacuated domains if a stop loses little of their work and there is free
// capacity elsewhere that no waiting step can use. All others are left to end, because only new
// starts are forbidden there.

const (
	// moveInterval is the time between two searches for runs that can move.
	moveInterval = 500 * time.Millisecond
	// minMovedTime is the remaining time up to which a run with checkpoints is left to end.
	minMovedTime = 10 * time.Second
)

// move is a step with runs that are to continue on other minions, outside of their evacuated
// domain or because they have stalled: some of its tasks, or all members of its gang.
type move struct {
	step  *step
	queue *specifier.Queue
	runs  []*run
	// rule and reason are why the runs are stopped.
	rule   accountant.Rule
	reason string
}

// moveEvacuatedRuns stops runs in evacuated domains that can continue elsewhere.
func (planner *Planner) moveEvacuatedRuns(now time.Time) {
	evacuations := planner.evacuations
	if len(evacuations.requested) == 0 || now.Before(evacuations.nextMoveAt) {
		return
	}
	isPassDue := planner.passNeeded && planner.lastPassAt.Before(now)
	if isPassDue || planner.hasUnrecordedStarts {
		return // steps that wait come first
	}
	evacuations.nextMoveAt = now.Add(moveInterval)
	planner.reportEmptyDomains(now)
	moves := planner.evacuationMoves(now)
	if len(moves) == 0 {
		return
	}
	pools := planner.newPools(now)
	for _, move := range moves {
		if len(planner.pendingOrders) >= maxPendingOrders {
			return
		}
		planner.tryMove(now, move, pools[move.queue.Service])
	}
}

// evacuationMoves returns the moves that would be of use, in the order of the minions' names.
func (planner *Planner) evacuationMoves(now time.Time) []*move {
	var moves []*move
	byStep := make(map[*step]*move)
	for _, minion := range planner.sortedMinions() {
		if !minion.isEvacuated() {
			continue
		}
		for _, run := range minion.sortedRuns() {
			queue := planner.queue(run.job())
			if queue == nil || !run.canMove() || !run.shouldMove(now) {
				continue
			}
			known := byStep[run.step]
			if known == nil {
				known = &move{step: run.step, queue: queue, rule: accountant.StopForEvacuation, reason: "its failure domain is evacuated"}
				byStep[run.step], moves = known, append(moves, known)
			}
			known.runs = append(known.runs, run)
		}
	}
	return moves
}

// canMove reports whether the run works and its minion answers. On a silent minion it can't be
// stopped, and its task can't start again, before the lease has expired.
func (run *run) canMove() bool { return run.state == running && !run.minion.unresponsive }

// shouldMove reports whether little work is lost if the run is stopped, and more time than that
// is gained.
func (run *run) shouldMove(now time.Time) bool {
	spec := run.step.spec
	return !run.step.hasSuspect() && (spec.LongRunning || (spec.Checkpoints && run.known(0).ExtrapolatedEnd().Sub(now) > minMovedTime))
}

// tryMove stops the runs of a move for which there is capacity elsewhere, and reserves it. It
// returns the runs that are stopped.
func (planner *Planner) tryMove(now time.Time, move *move, pool *pool) []*run {
	step := move.step
	runs := move.runsToStop()
	if _, outdated := planner.outdatedReading(now, move.queue.Service); len(runs) == 0 || outdated || planner.reservations.has(step) {
		return nil
	}
	waitingStep := &waitingStep{step: step, queue: move.queue, taskCount: len(runs), late: now.After(step.latestStart(move.queue))}
	for _, run := range runs {
		waitingStep.taskIndexes = append(waitingStep.taskIndexes, run.id.Index)
	}
	planner.updateRestrictions(now, waitingStep)
	planner.updateTickets(now, waitingStep)
	chosen := planner.chooseMinionsElsewhere(waitingStep, pool, runs)
	if len(chosen) == 0 || (step.spec.Gang && len(chosen) < len(runs)) || !planner.ensureTickets(now, waitingStep, chosen, pool.available) {
		return nil
	}
	reserved := make(map[*minion]specifier.Resources)
	for _, minion := range chosen {
		reserved[minion] = reserved[minion].Add(requiredCapacity(step.spec))
	}
	planner.reservations.addForMove(step, reserved, now.Add(planner.bounds.StopTimeout+reservationSlack))
	runs = runs[:len(chosen)]
	for _, run := range runs {
		planner.stopRun(now, run, move.rule, move.reason)
	}
	return runs
}

// runsToStop returns the runs that may be stopped together: all members of a gang if all can move,
// and one long-running task while no more of its step are unavailable than allowed.
func (move *move) runsToStop() []*run {
	step := move.step
	if step.spec.Gang {
		return step.gangToMove()
	}
	if !step.spec.LongRunning {
		return move.runs
	}
	if step.unavailableTasks() >= max(1, step.spec.MaxUnavailable) {
		return nil
	}
	return move.runs[:1]
}

// gangToMove returns all members of a gang, none if one of them can't move or if the gang must
// not be unavailable as a whole.
func (step *step) gangToMove() []*run {
	if step.spec.LongRunning && step.spec.MaxUnavailable > 0 && len(step.tasks) > step.spec.MaxUnavailable {
		return nil
	}
	var members []*run
	for index := range step.tasks {
		member := step.tasks[index].run
		if member == nil || !member.canMove() {
			return nil
		}
		members = append(members, member)
	}
	return members
}

// chooseMinionsElsewhere returns minions with free capacity for the runs. The runs themselves do
// not count, neither for their capacity nor for the limit per minion, because they have ended by
// the start of the next ones. Their tasks begin to wait then, so that they would not use capacity
// outside of a rack that they want.
func (planner *Planner) chooseMinionsElsewhere(waitingStep *waitingStep, pool *pool, runs []*run) []*minion {
	step := waitingStep.step
	rackRequired := step.wantsRack(waitingStep, pool)
	// Gangs, and tasks that share a rack, need capacity for several tasks at once.
	cacheable := step.isCacheable() && !step.spec.Gang && !step.spec.SameRack
	demand := step.demand(rackRequired)
	if cacheable && pool.isInfeasible(demand, 1) {
		return nil
	}
	for _, run := range runs {
		run.minion.removeRun(run)
	}
	chosen := planner.chooseMinions(waitingStep, pool, rackRequired)
	for _, run := range runs {
		run.minion.addRun(run)
	}
	if cacheable && len(chosen) == 0 {
		pool.markInfeasible(demand, 1)
	}
	return chosen
}

// abandonEvacuatedStart gives up a start without an answer on a minion of an evacuated domain.
// The other members of its gang would wait for it in vain.
func (planner *Planner) abandonEvacuatedStart(now time.Time, run *run, event messenger.OrderAnswered) {
	planner.abandonStart(now, run, "the start in an evacuated domain was not answered", describeAnswer(&event))
	if run.step.spec.Gang {
		planner.stopMembers(now, run, accountant.StopForEvacuation, "a member in an evacuated domain has not started")
	}
}
