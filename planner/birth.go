package planner

import (
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// birth is the start of a later life of a minion. Minions that crash for a common reason come
// back at about the same time, also those without runs, whose silence nobody notices.
type birth struct {
	at time.Time
	// steps are those of the runs that the earlier life had.
	steps []*step
	// isExplained means that a task of the earlier life may be the reason for its end.
	isExplained bool
	// hadTrial means that the earlier life had runs on trial.
	hadTrial bool
}

const (
	// maxBirthSpread is the time within which minions come back that have crashed at the same
	// moment.
	maxBirthSpread = 500 * time.Millisecond
	// settlingTime is the time after the first sign of a later life in which those of minions
	// that crashed with it show themselves as well: the spread, and a reading of the entries.
	settlingTime = maxBirthSpread + 700*time.Millisecond
)

// noteBirth notes a minion that follows an earlier life of it.
func (planner *Planner) noteBirth(now time.Time, report *messenger.MinionReport) {
	at := time.UnixMilli(int64(report.Incarnation))
	earlier := planner.earlierLife(report)
	if earlier == nil || now.Sub(at) > silenceRetention {
		return
	}
	planner.births = slices.DeleteFunc(planner.births, func(known birth) bool { return now.Sub(known.at) > silenceRetention })
	added := birth{at: at, isExplained: earlier.mayHaveCrashedUnderTask(), hadTrial: earlier.trial != nil}
	for _, run := range append(earlier.sortedRuns(), earlier.lostRuns...) {
		added.hadTrial = added.hadTrial || run.onTrial
		if !slices.Contains(added.steps, run.step) {
			added.steps = append(added.steps, run.step)
		}
	}
	planner.births = append(planner.births, added)
	planner.births = planner.births[max(0, len(planner.births)-maxSilences):]
}

// earlierLife returns a minion of which a report shows a later life, nil if none is known.
func (planner *Planner) earlierLife(report *messenger.MinionReport) *minion {
	for _, minion := range []*minion{planner.minions[report.Minion], planner.minionsAt[report.Address]} {
		if minion != nil && minion.placement(0).isFollowedBy(report) {
			return minion
		}
	}
	return planner.missing.find(report)
}

// mayHaveCrashedUnderTask reports whether a task is a likely reason for the end of the minion:
// it had suspect ones, or a run had just started.
func (minion *minion) mayHaveCrashedUnderTask() bool {
	if minion.trial != nil {
		return true
	}
	for _, run := range append(minion.sortedRuns(), minion.lostRuns...) {
		if minion.answeredAt.Sub(run.startedAt) < recentStart {
			return true
		}
	}
	return false
}

// isIsolatedBirth reports whether fewer than minSilentPeers minions without a trial came back at
// the same time as one that had a trial, whether a task explains that or not.
func (planner *Planner) isIsolatedBirth(next identifier.Incarnation) bool {
	count, at := 0, time.UnixMilli(int64(next))
	for _, birth := range planner.births {
		if !birth.hadTrial && birth.at.Sub(at).Abs() <= maxBirthSpread {
			count++
		}
	}
	return next > 0 && count < minSilentPeers
}

// countBornPeers returns the number of other minions that came back at the same time as one
// that has crashed under a task of the step, and that no task explains.
func (planner *Planner) countBornPeers(step *step, next identifier.Incarnation) int {
	if next == 0 {
		return 0
	}
	count, at := 0, time.UnixMilli(int64(next))
	for _, birth := range planner.births {
		if !birth.isExplained && birth.at.Sub(at).Abs() <= maxBirthSpread && !slices.Contains(birth.steps, step) {
			count++
		}
	}
	return count
}

// settleCrashes counts for the recent crashes under tasks the minions that came back with the
// one that crashed. A crash that many others share proves nothing.
func (planner *Planner) settleCrashes(now time.Time) {
	var steps []*step
	for step := range planner.dueSteps(now) {
		if len(step.crashedTasks) > 0 {
			steps = append(steps, step)
		}
	}
	slices.SortFunc(steps, compareArrival)
	for _, step := range steps {
		for _, index := range step.crashedTasks {
			crashes := step.tasks[index].history().crashes
			for position := range crashes {
				if crash := &crashes[position]; !crash.isSettled && crash.isCertain() && !now.Before(crash.settledAt) {
					planner.settleCrash(step, crash)
				}
			}
		}
	}
}

func (planner *Planner) settleCrash(step *step, crash *crash) {
	crash.isSettled = true
	if crash.next == 0 {
		if later := planner.laterLife(crash.placement); later != nil {
			crash.next = later.report.Incarnation
		}
	}
	crash.silentPeers = max(crash.silentPeers, planner.countBornPeers(step, crash.next))
	crash.isIsolated = crash.isIsolated && planner.isIsolatedBirth(crash.next)
	if planner.isMassSilence(crash.silentPeers) {
		crash.evidence = specifier.Unproven
		planner.emit(messenger.Count{Counter: messenger.Crashes, Reason: countCommonCause})
		planner.recording.markCrashesDirty(step)
	}
}

// isMassSilence reports whether so many other minions ended together with one that the reason
// can't be a task.
func (planner *Planner) isMassSilence(peers int) bool {
	return peers >= max(minMassSilence, len(planner.minions)/massSilenceShare)
}
