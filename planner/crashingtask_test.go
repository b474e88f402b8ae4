package planner_test

import (
	"fmt"
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// crashingTasks are the tasks that crash the minions that start them.
type crashingTasks struct {
	// contains reports whether a task is one of them. It is nil if there are none.
	contains func(task specifier.Task) bool
	// delay is the time from the start of a run to the crash, zero for a minion that
	// crashes before it answers the order.
	delay time.Duration
	// downTime is how long a minion is down after the crash.
	downTime time.Duration
	// renames means that the minion comes back under another name.
	renames bool
	// refuses means that connections to a crashed minion are refused.
	refuses bool
	// crashes counts the crashes, innocentRuns the runs of other tasks that ended with them.
	crashes, innocentRuns int
}

// maxStartsAfterCrashes is the number of starts of a task that are allowed after
// crashesBeforeLimit minions have crashed under it (BUDGET).
const (
	crashesBeforeLimit    = 3
	maxStartsAfterCrashes = 2
)

// crashDownTime is how long a minion is down after a crash.
const crashDownTime = 3 * time.Second

// jobsCrash makes all tasks of jobs with a prefix crash their minions.
func (simulation *simulation) jobsCrash(prefix string, delay time.Duration) {
	simulation.crashing.delay, simulation.crashing.downTime = delay, crashDownTime
	simulation.crashing.contains = func(task specifier.Task) bool {
		return len(task.Job) >= len(prefix) && string(task.Job[:len(prefix)]) == prefix
	}
}

// crashMinionOf crashes the minion of a run that has just started if its task is one
// that does so.
func (simulation *simulation) crashMinionOf(run *fakeRun) {
	crashing := &simulation.crashing
	if crashing.contains == nil || !crashing.contains(run.task) {
		return
	}
	if crashing.delay == 0 {
		simulation.crashUnder(run)
		return
	}
	simulation.schedule(crashing.delay, func() {
		if !run.ended {
			simulation.crashUnder(run)
		}
	})
}

// crashUnder crashes the minion of a run. The connections to it break.
func (simulation *simulation) crashUnder(cause *fakeRun) {
	crashing, minion := &simulation.crashing, cause.minion
	crashing.crashes++
	for _, run := range minion.sortedRuns() {
		if crashing.contains(run.task) {
			simulation.taskState(run.task).crashes++
		} else {
			crashing.innocentRuns++
		}
	}
	simulation.noteFault("minion-crash of %s under %s run=%d", minion.name, cause.task, cause.number)
	waiters := minion.waiters
	minion.crash()
	minion.faults.refusesConnections = crashing.refuses
	for _, wake := range waiters {
		wake()
	}
	simulation.schedule(crashing.downTime, func() { simulation.bringBack(minion) })
}

// bringBack starts a crashed minion again, under its name or another one.
func (simulation *simulation) bringBack(minion *fakeMinion) {
	if minion.alive || minion.replacedBy != nil {
		return
	}
	minion.faults.refusesConnections = false
	if !simulation.crashing.renames {
		simulation.restart(minion)
		return
	}
	minion.lives++
	next := newFakeMinion(simulation, identifier.Minion(fmt.Sprintf("%s-%d", minion.name[:3], minion.lives)), minion.rack)
	next.lives, next.kind, next.capacity, next.address = minion.lives, minion.kind, minion.capacity, minion.address
	minion.replacedBy = next
	simulation.minions[next.name] = next
	simulation.deliverAllReports()
}

// checkCrashBudget checks that a task does not start too often after minions have
// crashed under it.
func (simulation *simulation) checkCrashBudget(run *fakeRun) {
	state := simulation.taskState(run.task)
	if state.crashes < crashesBeforeLimit {
		return
	}
	state.startsAfterCrashes++
	if state.startsAfterCrashes == maxStartsAfterCrashes+1 { // reported once
		simulation.reportViolation("%s: run %d is start %d after %d minions have crashed under it",
			run.task, run.number, state.startsAfterCrashes, crashesBeforeLimit)
	}
}
