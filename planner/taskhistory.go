package planner

import (
	"time"

	"corianderroad/identifier"
)

// taskRestart is the state of a task that may run again, or has a history. Most tasks have none,
// but after a takeover all have one that a former holder may have started, so that it is small.
type taskRestart struct {
	// reservedRun is the number of the next run, zero if none is reserved. A run after
	// the first starts only once the journal has its number.
	reservedRun uint64
	// recordedRun is the newest number in the journal of a run after the first, zero
	// if there is none.
	recordedRun uint64
	// history is nil for a task without a history.
	history *taskHistory
}

// taskHistory is the state of a task that has failed, was refused, has been under a crash, or has
// run again.
type taskHistory struct {
	// failedRuns are the numbers of the runs that failed.
	failedRuns []uint64
	// notBefore is the earliest time of the next start.
	notBefore time.Time
	// lastFailedOn is the minion on which the task failed last.
	lastFailedOn identifier.Minion
	// crashes are the crashes of minions that had a run of the task, oldest first.
	crashes []crash
	// placement is that of the newest run after the first, if it is known, and placedAt when
	// it was chosen.
	placement placement
	placedAt  time.Time
}

// noRestart and noHistory stand for those of all tasks without one. They are only read.
var (
	noRestart taskRestart
	noHistory taskHistory
)

// restart returns the task's restart state, which must not be changed.
func (task *task) restart() *taskRestart {
	if task.restartState == nil {
		return &noRestart
	}
	return task.restartState
}

// ownRestart returns the task's restart state for changes.
func (task *task) ownRestart() *taskRestart {
	if task.restartState == nil {
		task.restartState = &taskRestart{}
	}
	return task.restartState
}

// history returns the task's history, which must not be changed.
func (task *task) history() *taskHistory {
	if history := task.restart().history; history != nil {
		return history
	}
	return &noHistory
}

// ownHistory returns the task's history for changes.
func (task *task) ownHistory() *taskHistory {
	restart := task.ownRestart()
	if restart.history == nil {
		restart.history = &taskHistory{}
	}
	return restart.history
}

// place notes where the newest run after the first is placed.
func (task *task) place(placement placement, at time.Time) {
	history := task.ownHistory()
	history.placement, history.placedAt = placement, at
}
