// Package accountant accounts for work that is lost: why a run ended, how much of its work was
// not saved, and why a gang broke. It holds a value for each run and for each gang; who stops
// runs, and when, is decided elsewhere.
package accountant

import (
	"time"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// Run is the account of one run. The zero value is that of a run that has not started.
type Run struct {
	// SavedAt is when the newest checkpoint was first seen, or else the start of the run was
	// confirmed; zero before. The work since then is lost if the run ends early.
	SavedAt time.Time
	// StoppedAt is when the run was first ordered to stop, zero before, and Rule the rule by
	// which it was.
	StoppedAt time.Time
	Rule      Rule
}

// NoteStart notes that a minion has the run, whose work begins.
func (run *Run) NoteStart(now time.Time) {
	if run.SavedAt.IsZero() {
		run.SavedAt = now
	}
}

// NoteCheckpoint notes a checkpoint that a minion lists for the run for the first time. The one
// from which the run resumed saves none of its own work.
func (run *Run) NoteCheckpoint(now time.Time, checkpoint, resumedFrom string) {
	if checkpoint != "" && checkpoint != resumedFrom {
		run.SavedAt = now
	}
}

// NoteStop notes the first order to stop the run.
func (run *Run) NoteStop(now time.Time, rule Rule) {
	run.StoppedAt, run.Rule = now, rule
}

// UnsavedTime returns how long the run has worked since its newest checkpoint.
func (run Run) UnsavedTime(now time.Time) time.Duration {
	if run.SavedAt.IsZero() {
		return 0
	}
	return now.Sub(run.SavedAt)
}

// Cause returns why the run ended, given how it ended. A rule that stopped it comes first.
// Members that were stopped for a broken gang may have broken it themselves: the end of
// another member is often listed earlier.
func (run Run) Cause(end Cause) Cause {
	if run.StoppedAt.IsZero() {
		return end
	}
	isStop := end == EndStopped || end == EndUnreported || end.follows()
	if run.Rule == StopForBrokenGang && !isStop {
		return end
	}
	return Cause(run.Rule)
}

// Loss returns the work that is lost with a run that used an amount, false if there is none.
func (run Run) Loss(now time.Time, used specifier.Resources, cause Cause) (messenger.WorkLost, bool) {
	lost := used.CoreSeconds(run.UnsavedTime(now))
	return messenger.WorkLost{Rule: cause.String(), CoreSeconds: lost}, lost > 0
}
