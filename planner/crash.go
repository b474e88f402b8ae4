package planner

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// A task may crash each minion that starts it. A crash is evidence against every run that
// the minion had, and proves nothing about any of them: the task that did it is found by
// running the suspect tasks apart from those of other jobs, see trial.go.

const (
	// recentStart is the time since its start up to which a run makes its task suspect
	// when its minion crashes. Other runs of the minion become suspect with the second crash.
	recentStart = 2 * time.Second
	// establishedAge is the time after which a run has shown that its task does not crash
	// the minions that start it.
	establishedAge = time.Minute
	// maxUnprovenAge is the age up to which a run that may have ended before its minion
	// counts as one during which the minion crashed.
	maxUnprovenAge = 6500 * time.Millisecond
	// A task with maxCrashes unproven crashes is started again after minUnprovenDelay, and after
	// twice the time with each further one, up to maxUnprovenDelay.
	minUnprovenDelay  = 2 * time.Second
	maxUnprovenDelay  = time.Minute
	maxDelayDoublings = 5
	// maxUndecidedTime is the time after the loss of a run until its minion, if it has crashed,
	// is back and listed.
	maxUndecidedTime = 3 * time.Second
	// unknownAge stands for the age of a run that had worked under a former holder, at least.
	unknownAge = 4 * time.Second
	// minSilentPeers is the number of other minions that fall silent at the same moment from
	// which on a crash has a cause that they have in common.
	minSilentPeers = 2
	// maxConclusiveCrashes is the number of conclusive crashes after which a task is not
	// started again. A single one could be the crash of a minion for another reason.
	maxConclusiveCrashes = 2
	// maxCrashes is the number of certain crashes after which a task is not started again
	// although they are not conclusive, if one of them was on trial: a neighbor of such a task
	// can be in as many. A takeover may have hidden one more.
	maxCrashes = 4
	// minMemberCrashes is the number of them that one member of a gang must have.
	minMemberCrashes = 2
)

// placement is the incarnation of a minion that was to start a run.
type placement struct {
	run         uint64
	minion      identifier.Minion
	incarnation identifier.Incarnation
	// address is the minion's, invalid if it is not known.
	address netip.AddrPort
}

// isSame reports whether two placements name the same run on the same incarnation.
func (placement placement) isSame(other placement) bool {
	placement.address = other.address
	return placement == other
}

// isFollowedBy reports whether a minion is a later life of the one that was to start the
// run, under its name or at its address.
func (placement placement) isFollowedBy(report *messenger.MinionReport) bool {
	isAtAddress := placement.address.IsValid() && placement.address == report.Address
	return (placement.minion == report.Minion || isAtAddress) && report.Incarnation > placement.incarnation
}

// crash is the end of an incarnation of a minion that had a run of a task.
type crash struct {
	placement
	// age is for how long the run had worked, at most.
	age time.Duration
	// onTrial means that the run was alone on trial on its minion.
	onTrial bool
	// cleared means that the crash does not make the task suspect any more.
	cleared bool
	// evidence is what shows that the minion crashed while it had the run.
	evidence specifier.CrashEvidence
	// next is the incarnation that showed it, zero if none has.
	next identifier.Incarnation
	// silentPeers is the number of other minions that fell silent at the same moment.
	silentPeers int
	// isIsolated means that hardly any minion without a trial came back at the same time, as far
	// as this holder knows.
	isIsolated bool
	// undecidedUntil is the time until which the next life of the minion may still show that
	// the crash is certain, zero for a crash that a former holder has noted.
	undecidedUntil time.Time
	// settledAt is when silentPeers can be final, zero for a crash that a former holder has
	// noted, and isSettled means that it is.
	settledAt time.Time
	isSettled bool
}

// isSuspect reports whether the task may have crashed a minion, so that its next run is
// on trial.
func (task *task) isSuspect() bool {
	return !task.done && (task.countCrashes(crash.isSoonAfterStart) > 0 || task.countCrashes(crash.isUncleared) > 1 ||
		task.countCrashes(crash.isCertain) >= maxCrashes-1)
}

// isGivenUp reports whether the task must not start again, because it crashes its minions.
func (task *task) isGivenUp() bool {
	return !task.done && (task.hasRepeatedCrashes(crash.isCertain) || task.countCrashes(crash.isConclusive) >= maxConclusiveCrashes)
}

// hasRepeatedCrashes reports whether a task has so many crashes that it must not start again,
// though they are not conclusive: maxCrashes that are certain, or one less and unproven ones. A
// takeover may hide a crash too, so that a task that waited for the last certain one would be
// started too often.
func (task *task) hasRepeatedCrashes(isCertain func(crash) bool) bool {
	certain := task.countCrashes(isCertain)
	onTrial := task.countCrashes(func(crash crash) bool { return isCertain(crash) && crash.onTrial })
	if certain != maxCrashes-1 {
		return certain >= maxCrashes && onTrial > 0
	}
	isolated := task.countCrashes(func(crash crash) bool { return isCertain(crash) && crash.onTrial && crash.isIsolated })
	unproven := len(task.history().crashes) - certain
	unprovenOnTrial := task.countCrashes(crash.isOnTrial) - onTrial
	return (isolated > 1 && unproven > 0) || (isolated > 0 && unprovenOnTrial > 1)
}

// isGangGivenUp reports whether the gang of the task must not start again: each of its runs may
// crash the minion of another member.
func (step *step) isGangGivenUp(task *task) bool {
	runs, isOnTrial := make(map[uint64]bool), false
	for _, index := range step.crashedTasks {
		for _, crash := range step.tasks[index].history().crashes {
			if crash.isCertain() {
				runs[crash.run] = true
				isOnTrial = isOnTrial || crash.onTrial
			}
		}
	}
	return !task.done && len(runs) >= maxCrashes && isOnTrial && task.countCrashes(crash.isCertain) >= minMemberCrashes
}

// awaitsEvidence reports whether the task would not be started again, but it is not known yet
// how many minions crashed together with its own, or whether its last one has crashed.
func (task *task) awaitsEvidence(now time.Time) bool {
	if task.isGivenUp() && task.countCrashes(func(crash crash) bool { return crash.isCertain() && now.Before(crash.settledAt) }) > 0 {
		return true
	}
	isUndecided := func(crash crash) bool { return !crash.isCertain() && now.Before(crash.undecidedUntil) }
	mayBeCertain := func(crash crash) bool { return crash.isCertain() || isUndecided(crash) }
	return task.countCrashes(isUndecided) > 0 && (task.countCrashes(mayBeCertain) >= maxCrashes || task.hasRepeatedCrashes(mayBeCertain))
}

// countCrashes returns the number of crashes that have a property.
func (task *task) countCrashes(has func(crash) bool) int {
	count := 0
	for _, crash := range task.history().crashes {
		if has(crash) {
			count++
		}
	}
	return count
}

// isSoonAfterStart reports whether the task may be the reason because it had just started.
func (crash crash) isSoonAfterStart() bool {
	return !crash.cleared && (crash.onTrial || crash.age <= recentStart)
}

// isUncleared reports whether the crash makes the task suspect together with another one.
func (crash crash) isUncleared() bool { return !crash.cleared }

// isCertain reports whether the minion has certainly ended.
func (crash crash) isCertain() bool { return crash.evidence >= specifier.Restarted }

// isOnTrial reports whether the run was on trial.
func (crash crash) isOnTrial() bool { return crash.onTrial }

// isConclusive reports whether the task is the likely reason for the end of the minion: it
// worked there, no other suspect did, and there is no sign of a cause that several minions
// have in common.
func (crash crash) isConclusive() bool {
	return crash.onTrial && crash.evidence == specifier.Proven && crash.silentPeers < minSilentPeers
}

// hasSuspect reports whether a task of the step is suspect. Its other tasks are not started
// meanwhile: they may do the same.
func (step *step) hasSuspect() bool {
	for _, index := range step.crashedTasks {
		if step.tasks[index].isSuspect() {
			return true
		}
	}
	return false
}

func (run *run) placement() placement { return run.minion.placement(run.number) }

// placement returns the placement of a run on the minion.
func (minion *minion) placement(run uint64) placement {
	return placement{run, minion.report.Minion, minion.report.Incarnation, minion.report.Address}
}

// forgetCrashes removes the crashes under the task of a run that has worked for long.
func (planner *Planner) forgetCrashes(run *run) {
	if task := run.task(); len(task.history().crashes) > 0 {
		task.ownHistory().crashes = nil
		planner.recording.markCrashesDirty(run.step)
	}
}

// addCrash adds a crash under a run of a task. A run counts once: if its start may still
// arrive at the minion's next incarnation, that says nothing about a crash of the next one.
func (planner *Planner) addCrash(now time.Time, step *step, index int, added crash) {
	task, job := &step.tasks[index], step.occurrence.job
	if task.done || !job.isOpen() || !step.addCrash(index, added) {
		return
	}
	task.ownHistory().lastFailedOn = added.minion
	task.delayUnproven(now)
	planner.recording.markCrashesDirty(step)
	planner.emit(messenger.Count{Counter: messenger.Crashes, Reason: countSuspected})
	planner.emitDecision(step.id(index).String(), "minion-crashed", "the minion of its run has crashed",
		fmt.Sprintf("run=%d minion=%s age-at-death=%s on-trial=%t crashes=%d suspect=%t evidence=%s incarnation=%d next=%d silent-peers=%d",
			added.run, added.minion, added.age.Round(time.Millisecond), added.onTrial, len(task.history().crashes), task.isSuspect(),
			added.evidence, added.incarnation, added.next, added.silentPeers), 0)
	planner.passNeeded = true
}

// delayUnproven delays the next start of a task with many unproven crashes: it can't be given
// up, and may cost a minion with each start.
func (task *task) delayUnproven(now time.Time) {
	excess := len(task.history().crashes) - task.countCrashes(crash.isCertain) - maxCrashes
	if excess < 0 {
		return
	}
	delay := min(minUnprovenDelay<<min(excess, maxDelayDoublings), maxUnprovenDelay)
	if until := now.Add(delay); until.After(task.history().notBefore) {
		task.ownHistory().notBefore = until
	}
}

// addCrash adds a crash, or better evidence of a known one. It reports whether anything is new.
func (step *step) addCrash(index int, added crash) bool {
	task := &step.tasks[index]
	for position := range task.history().crashes {
		known := &task.history().crashes[position]
		if known.run != added.run {
			continue
		}
		if !known.placement.isSame(added.placement) || known.evidence >= added.evidence {
			return false
		}
		known.evidence, known.next, known.silentPeers = added.evidence, added.next, max(known.silentPeers, added.silentPeers)
		known.settledAt, known.isSettled, known.isIsolated = added.settledAt, false, added.isIsolated
		return true
	}
	task.ownHistory().crashes = append(task.history().crashes, added)
	step.passedTrials, step.passedMinions = 0, 0
	if !slices.Contains(step.crashedTasks, index) {
		step.crashedTasks = append(step.crashedTasks, index)
	}
	step.occurrence.job.hasCrashes = true
	return true
}

// refuteCrash removes the crash under a run whose minion reports the run or its end, and so
// had only been out of reach.
func (planner *Planner) refuteCrash(step *step, index int, reported placement) {
	task := &step.tasks[index]
	kept := slices.DeleteFunc(task.history().crashes, func(known crash) bool { return known.placement.isSame(reported) })
	if len(kept) == len(task.history().crashes) {
		return
	}
	task.ownHistory().crashes = kept
	planner.recording.markCrashesDirty(step)
	planner.emit(messenger.Count{Counter: messenger.Crashes, Reason: countRefuted})
	planner.passNeeded = true
}

// judgeFormerRun concludes what has become of the run of an inherited task that neither
// runs nor has ended anywhere, from where the former holder has placed it.
func (planner *Planner) judgeFormerRun(now time.Time, step *step, index int) {
	task := &step.tasks[index]
	placement := task.history().placement
	if !task.unresolved || placement.run == 0 || placement.run < task.latestRun {
		return
	}
	if minion, isListed := planner.minions[placement.minion]; isListed && minion.report.Incarnation <= placement.incarnation {
		return // the start has not arrived
	}
	added := crash{placement: placement}
	if next := planner.laterLife(placement); next != nil && task.isEarlyLife(next) {
		added.evidence, added.next = specifier.Restarted, next.report.Incarnation
		added.onTrial = task.isSuspect() && step.isPlacedAlone(index)
		added.silentPeers = planner.countContemporaries(step, next)
		if planner.isMassSilence(added.silentPeers) {
			added.evidence = specifier.Unproven
		}
	}
	planner.addCrash(now, step, index, added)
}

// countContemporaries returns the number of other minions that began at the same time as one,
// but for later lives of minions that had runs of the step.
func (planner *Planner) countContemporaries(step *step, one *minion) int {
	placedAt := make(map[netip.AddrPort]bool, len(step.tasks))
	for index := range step.tasks {
		placedAt[step.tasks[index].history().placement.address] = true
	}
	count, begun := 0, time.UnixMilli(int64(one.report.Incarnation))
	for _, other := range planner.minions {
		isConcurrent := time.UnixMilli(int64(other.report.Incarnation)).Sub(begun).Abs() <= maxBirthSpread
		if other != one && isConcurrent && !placedAt[other.report.Address] {
			count++
		}
	}
	return count
}

// isEarlyLife reports whether a minion has begun so soon after the placement of the task's run
// that the earlier one may have crashed soon after its start. Otherwise it may have been out
// of reach first.
func (task *task) isEarlyLife(next *minion) bool {
	born := time.UnixMilli(int64(next.report.Incarnation))
	return task.history().placedAt.IsZero() || born.Sub(task.history().placedAt) <= unknownAge+maxPollWait+maxDownTime
}

// laterLife returns a minion that is a later life of the one that was to start a run, nil if
// none is known.
func (planner *Planner) laterLife(placement placement) *minion {
	for _, minion := range []*minion{planner.minions[placement.minion], planner.minionsAt[placement.address]} {
		if minion != nil && placement.isFollowedBy(&minion.report) {
			return minion
		}
	}
	return nil
}
