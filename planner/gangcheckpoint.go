package planner

import (
	"time"

	"corianderroad/messenger"
)

// gangCheckpoint is the newest checkpoint of a gang, which holds for all members.
type gangCheckpoint struct {
	run        uint64
	checkpoint string
	// atStop means that a member gave it when it was stopped. Those of members that
	// ended because the gang broke are older.
	atStop bool
	at     time.Time
}

// noteGangCheckpoint notes a checkpoint that a poll lists or that a run had at its end.
func (planner *Planner) noteGangCheckpoint(run *run, checkpoint string, at time.Time, atStop bool) {
	known := &run.step.gangCheckpoint
	if planner.stops == nil || !run.step.spec.Gang || checkpoint == "" || run.number < known.run {
		return
	}
	if run.number == known.run && (known.atStop || (!atStop && at.Before(known.at))) {
		return
	}
	*known = gangCheckpoint{run: run.number, checkpoint: checkpoint, atStop: atStop, at: at}
}

// noteGangEnd notes the checkpoint in the end of a member and lets all members resume from
// the newest one.
func (planner *Planner) noteGangEnd(now time.Time, run *run, end messenger.RunEnd) {
	if end.Checkpoint != run.checkpoint {
		planner.noteGangCheckpoint(run, end.Checkpoint, now, end.Kind == messenger.EndStopped)
	}
	planner.shareGangCheckpoint(run.step)
}

// shareGangCheckpoint lets all members of a gang resume from its newest checkpoint.
func (planner *Planner) shareGangCheckpoint(step *step) {
	if planner.stops == nil || step.gangCheckpoint.checkpoint == "" || step.isComplete() {
		return
	}
	for index := range step.tasks {
		planner.updateCheckpoint(step, index, step.gangCheckpoint.checkpoint)
	}
}
