package planner

import (
	"fmt"
	"time"

	"corianderroad/messenger"
	"corianderroad/profiler"
)

// Runs without progress whose minion answers move to another one if there is free capacity that
// no waiting step can use, and if that is expected to end their task earlier.

// maxStalledMoves is the number of moved runs from which on no more moves are decided at a time.
const maxStalledMoves = 16

// movedTasks are the tasks of a step whose runs were moved because they made no progress.
type movedTasks struct {
	// stopped are the numbers of the runs that were stopped, by the index of the task.
	stopped map[int]uint64
	// stalledOn are the minions on which they made no progress.
	stalledOn map[*minion]bool
}

// avoids reports whether the step must not run on a minion, because one of its runs has stalled
// there and the minion's profile says that others would.
func (step *step) avoids(minion *minion) bool { return step.hasStalledOn(minion) && minion.isAvoided }

func (step *step) hasStalledOn(minion *minion) bool {
	return step.moved != nil && step.moved.stalledOn[minion]
}

// hasMoved reports whether the run of a task was moved before.
func (step *step) hasMoved(index int) bool { return step.moved != nil && step.moved.stopped[index] > 0 }

// moveStalledRuns moves the runs that have stalled, and copies the tasks that lag behind.
func (planner *Planner) moveStalledRuns(now time.Time) {
	profiles := &planner.profiles
	if profiles.profiler == nil || now.Before(profiles.nextMoveAt) {
		return
	}
	isPassDue := planner.passNeeded && planner.lastPassAt.Before(now)
	if isPassDue || planner.hasUnrecordedStarts {
		return // steps that wait come first
	}
	profiles.nextMoveAt = now.Add(moveInterval)
	planner.startCopies(now) // first, because a copy loses nothing
	moves, stalledOn := planner.stalledMoves(now)
	if len(moves) == 0 {
		return
	}
	pools := planner.newPools(now)
	for service, pool := range pools {
		pools[service] = pool.filtered(func(minion *minion) bool { return !minion.isAvoided && !stalledOn[minion] })
		if 2*len(pools[service].available) <= len(pool.available) {
			delete(pools, service) // the stall has a common cause
		}
	}
	count := 0
	for _, move := range moves {
		if count >= maxStalledMoves || len(planner.pendingOrders) >= maxPendingOrders {
			return
		}
		pool := pools[move.queue.Service]
		if pool == nil {
			continue
		}
		if stopped := planner.tryMove(now, move, move.poolElsewhere(pool, stalledOn)); len(stopped) > 0 {
			planner.noteStalledMove(now, move, stopped)
			count += len(stopped)
		}
	}
}

// poolElsewhere returns the pool without the minions on which a gang may have stalled. All its
// members wait for the slowest one, so that without other evidence it can be any of them.
func (move *move) poolElsewhere(pool *pool, stalledOn map[*minion]bool) *pool {
	if !move.step.spec.Gang {
		return pool
	}
	members := make(map[*minion]bool)
	for _, member := range runsEndingWith(move.runs[0]) {
		if stalledOn[member.minion] || member.minion.isAvoided {
			return pool
		}
		members[member.minion] = true
	}
	return pool.filtered(func(minion *minion) bool { return !members[minion] })
}

// stalledMoves returns the moves that are expected to pay, in the order of the minions' names, and
// the minions on which other runs than members of gangs have stalled.
func (planner *Planner) stalledMoves(now time.Time) ([]*move, map[*minion]bool) {
	var moves []*move
	stalledOn, byStep := make(map[*minion]bool), make(map[*step]*move)
	for _, minion := range planner.sortedMinions() {
		for _, run := range minion.sortedRuns() {
			if !run.profile.HasStalled() || run.state != running {
				continue
			}
			stalledOn[minion] = stalledOn[minion] || !run.step.spec.Gang
			queue := planner.queue(run.job())
			if queue == nil || !run.mayMoveForStall(now) || !stallOf(now, run).MovePays() {
				continue
			}
			known := byStep[run.step]
			if known == nil {
				known = &move{step: run.step, queue: queue, rule: stopForStall, reason: "it makes no progress and can continue elsewhere"}
				byStep[run.step], moves = known, append(moves, known)
			}
			known.runs = append(known.runs, run)
		}
	}
	return moves, stalledOn
}

// mayMoveForStall reports whether the run, with its gang, may be stopped because it has stalled.
func (run *run) mayMoveForStall(now time.Time) bool {
	if run.step.hasMoved(run.id.Index) || run.step.awaitsCopy(now, run.id.Index) || run.step.hasSuspect() || run.onTrial {
		return false
	}
	return run.task().run == run && run.task().knownRuns == 1 && run.canMove()
}

// stallOf returns how long a run, with its gang, has made no progress, and what a stop loses.
func stallOf(now time.Time, stalled *run) profiler.Stall {
	stall := profiler.Stall{For: stalled.profile.StalledFor()}
	for _, member := range runsEndingWith(stalled) {
		lost := member.lostTime(now) - now.Sub(member.profile.ChangedAt())
		if member.work.givesCheckpoints {
			lost = 0 // a stop gives a new one
		}
		stall.Lost = max(stall.Lost, lost)
	}
	return stall
}

// noteStalledMove notes that the runs of a move are being stopped.
func (planner *Planner) noteStalledMove(now time.Time, move *move, stopped []*run) {
	step, first := move.step, move.runs[0]
	if step.moved == nil {
		step.moved = &movedTasks{stopped: make(map[int]uint64), stalledOn: make(map[*minion]bool)}
	}
	for _, run := range stopped {
		step.moved.stopped[run.id.Index] = run.number
		if run.profile.HasStalled() {
			step.moved.stalledOn[run.minion] = true
		}
		planner.emit(messenger.Count{Counter: messenger.Moves, Reason: "ordered"})
	}
	planner.emitProfileLine(now, first.id.String(), "move", move.reason, fmt.Sprintf("run=%d minion=%s profile=%s runs=%d percent=%d",
		first.number, first.minion.report.Minion, first.minion.condition, len(stopped), first.progressPercent), first.profile.StalledFor())
}

// noteMoveOutcome counts the end of a task whose run was moved. The run that was to be stopped may
// have been done before.
func (planner *Planner) noteMoveOutcome(step *step, index int, number uint64) {
	if !step.hasMoved(index) {
		return
	}
	outcome := "moved-done"
	if step.moved.stopped[index] == number {
		outcome = "original-done"
	}
	planner.emit(messenger.Count{Counter: messenger.Moves, Reason: outcome})
}
