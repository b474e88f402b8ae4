package planner

import (
	"slices"
	"time"

	"corianderroad/identifier"
)

// silence is the time in which a minion has stopped answering: after its last answer, and
// before the first order without one failed.
type silence struct {
	minion identifier.Minion
	after  time.Time
	before time.Time
	// steps are those of the runs that it had.
	steps []*step
	// isExplained means that a task may be the reason.
	isExplained bool
}

const (
	// silenceRetention is how long silences are kept. A minion that has crashed is back
	// earlier.
	silenceRetention = 30 * time.Second
	// maxSilences bounds the silences that are kept.
	maxSilences = 512
	// A crash proves nothing against a task if at least minMassSilence other minions fall silent
	// at the same moment, and at least one of massSilenceShare of those that are known.
	minMassSilence   = 4
	massSilenceShare = 16
)

// noteSilence notes that a minion has not answered an order for the first time.
func (planner *Planner) noteSilence(now time.Time, minion *minion) {
	added := silence{minion: minion.report.Minion, after: minion.answeredAt, before: now, isExplained: minion.mayHaveCrashedUnderTask()}
	for _, run := range minion.runs {
		if !slices.Contains(added.steps, run.step) {
			added.steps = append(added.steps, run.step)
		}
	}
	planner.silences = slices.DeleteFunc(planner.silences, func(known silence) bool { return now.Sub(known.before) > silenceRetention })
	planner.silences = append(planner.silences, added)
	planner.silences = planner.silences[max(0, len(planner.silences)-maxSilences):]
}

// countSilentPeers returns the number of other minions that may have fallen silent at the
// same moment as one that had a run of the step, for no reason that their tasks explain. If
// there are several, the cause is one that they have in common.
func (planner *Planner) countSilentPeers(now time.Time, minion *minion, step *step) int {
	after, before := minion.answeredAt, now
	if minion.unresponsive {
		before = minion.unresponsiveSince
	}
	peers := make(map[identifier.Minion]bool)
	for _, silence := range planner.silences {
		isConcurrent := !silence.before.Before(after) && !silence.after.After(before)
		if isConcurrent && silence.minion != minion.report.Minion && !silence.isExplained && !slices.Contains(silence.steps, step) {
			peers[silence.minion] = true
		}
	}
	return len(peers)
}
