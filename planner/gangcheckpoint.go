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

// noteGangCheckpoint notes a checkpoint of a run that a poll lists or that was in its end.
func (planner *Planner) noteGangCheckpoint(step *step, checkpoint gangCheckpoint) {
	known := &step.gangCheckpoint
	if planner.stops == nil || !step.spec.Gang || checkpoint.checkpoint == "" || checkpoint.run < known.run {
		return
	}
	if checkpoint.run == known.run && (known.atStop || (!checkpoint.atStop && checkpoint.at.Before(known.at))) {
		return
	}
	*known = checkpoint
}

// noteGangEnd notes the checkpoint in the end of a member, before the run has it. The run is nil
// if it is not known.
func (planner *Planner) noteGangEnd(now time.Time, step *step, run *run, end messenger.RunEnd) {
	if run == nil || end.Checkpoint != run.checkpoint {
		planner.noteGangCheckpoint(step, gangCheckpoint{end.Run, end.Checkpoint, end.Kind == messenger.EndStopped, now})
	}
}

// shareGangCheckpoint lets all members of a gang resume from its newest checkpoint. Without
// one of this holder's time, that is the first one in the progress: a former holder may have
// recorded one for some members only.
func (planner *Planner) shareGangCheckpoint(step *step) {
	if planner.stops == nil || !step.spec.Gang || step.isComplete() {
		return
	}
	shared := step.gangCheckpoint.checkpoint
	for index := range step.tasks {
		if shared == "" {
			shared = step.tasks[index].checkpoint
		}
	}
	for index := range step.tasks {
		planner.updateCheckpoint(step, index, shared)
	}
}
