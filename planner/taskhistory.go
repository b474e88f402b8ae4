package planner

import (
	"time"

	"corianderroad/identifier"
)

// taskHistory is the state of a task that has failed, was refused, has been under a crash, or may
// run again. Most tasks have none.
type taskHistory struct {
	// reservedRun is the number of the next run, zero if none is reserved. A run after
	// the first starts only once the journal has its number.
	reservedRun uint64
	// recordedRun is the newest number in the journal of a run after the first, zero
	// if there is none.
	recordedRun uint64
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

// noHistory stands for the history of all tasks without one. It is only read.
var noHistory taskHistory

// history returns the task's history, which must not be changed.
func (task *task) history() *taskHistory {
	if task.past == nil {
		return &noHistory
	}
	return task.past
}

// ownHistory returns the task's history for changes.
func (task *task) ownHistory() *taskHistory {
	if task.past == nil {
		task.past = &taskHistory{}
	}
	return task.past
}

// place notes where the newest run after the first is placed.
func (task *task) place(placement placement, at time.Time) {
	history := task.ownHistory()
	history.placement, history.placedAt = placement, at
}
