package planner

import (
	"fmt"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
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
	// maxCrashesOnTrial is the number of crashes on trial after which a task is not started
	// again. A single one could be the crash of a minion for another reason.
	maxCrashesOnTrial = 2
	// maxCrashes is the number of crashes after which a task is not started again even if
	// other jobs were on each of the minions. A takeover may have hidden one more.
	maxCrashes = 4
)

// Reasons of messenger.Crashes.
const (
	countRestarted   = "minion-restarted"
	countReplaced    = "minion-replaced"
	countUnreachable = "minion-unreachable"
	countSuspected   = "task-suspected"
	countCleared     = "task-cleared"
	countRefuted     = "crash-refuted"
	countGivenUp     = "job-given-up"
)

// placement is the incarnation of a minion that was to start a run.
type placement struct {
	run         uint64
	minion      identifier.Minion
	incarnation identifier.Incarnation
}

// crash is the end of an incarnation of a minion that had a run of a task.
type crash struct {
	placement
	// age is for how long the run had worked, at most.
	age time.Duration
	// onTrial means that the run was on trial and had certainly started.
	onTrial bool
	// cleared means that a later run has passed its trial.
	cleared bool
}

// isSuspect reports whether the task may have crashed a minion, so that its next run is
// on trial.
func (task *task) isSuspect() bool {
	for _, crash := range task.crashes {
		if !crash.cleared && (crash.onTrial || crash.age <= recentStart || len(task.crashes) > 1) {
			return !task.done
		}
	}
	return false
}

// isGivenUp reports whether the task must not start again, because it crashes its minions.
func (task *task) isGivenUp() bool {
	onTrial := 0
	for _, crash := range task.crashes {
		if crash.onTrial && !crash.cleared {
			onTrial++
		}
	}
	return onTrial >= maxCrashesOnTrial || len(task.crashes) >= maxCrashes
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

// noteRestart notes the start of the next incarnation under the minion's name. This one has
// ended before.
func (minion *minion) noteRestart(now time.Time, next identifier.Incarnation) {
	minion.endedBy = now
	if born := time.UnixMilli(int64(next)); born.Before(now) {
		minion.endedBy = born
	}
}

// lastSignOfLife returns until when the minion may have worked, as far as the holder
// knows: until the first order without an answer, or the start of its next incarnation.
func (minion *minion) lastSignOfLife(now time.Time) time.Time {
	last := now
	if minion.unresponsive {
		last = minion.unresponsiveSince
	}
	if !minion.endedBy.IsZero() && minion.endedBy.Before(last) {
		last = minion.endedBy
	}
	return last
}

// mayHaveRun reports whether the minion may have had the run before it died. A start that
// was sent later has reached the next incarnation, if any.
func (run *run) mayHaveRun() bool {
	endedBy := run.minion.endedBy
	return !run.isAnsweredByOther && (endedBy.IsZero() || !run.startedAt.After(endedBy))
}

func (run *run) placement() placement { return run.minion.placement(run.number) }

// placement returns the placement of a run on the minion.
func (minion *minion) placement(run uint64) placement {
	return placement{run, minion.report.Minion, minion.report.Incarnation}
}

// ageAtDeath returns for how long a run has worked when its minion died, at most.
func (run *run) ageAtDeath(now time.Time) time.Duration {
	begun := run.startConfirmedAt
	if begun.IsZero() {
		begun = run.startedAt
	}
	return max(run.minion.lastSignOfLife(now).Sub(begun), 0)
}

// noteDeath notes the death of an incarnation of a minion with the runs that it had, and
// those that it may have had when it fell silent.
func (planner *Planner) noteDeath(now time.Time, minion *minion, counted, reason string) {
	runs := append(minion.sortedRuns(), minion.lostRuns...)
	planner.reportDeath(now, minion, runs, counted, reason)
	if minion.report.Draining || minion.closedForMaintenance {
		return // it has left as announced
	}
	for _, run := range runs {
		if run.mayHaveRun() {
			planner.noteCrash(now, run)
		}
	}
}

// reportDeath logs and counts the death of a minion with the youngest run that it had. A
// task that crashes its minions shows as the youngest run again and again.
func (planner *Planner) reportDeath(now time.Time, minion *minion, runs []*run, counted, reason string) {
	detail := fmt.Sprintf("runs=%d", len(runs))
	var youngest *run
	for _, run := range runs {
		if youngest == nil || run.ageAtDeath(now) < youngest.ageAtDeath(now) {
			youngest = run
		}
	}
	if youngest != nil {
		detail += fmt.Sprintf(" youngest-run=%s age-at-death=%s", youngest.id, youngest.ageAtDeath(now).Round(time.Millisecond))
	}
	planner.emit(messenger.Count{Counter: messenger.Crashes, Reason: counted})
	planner.emitDecision(string(minion.report.Minion), "minion-gone", reason, detail, now.Sub(minion.clockAt))
}

// noteCrash notes that the minion of a run has crashed. A run that had worked for long
// shows that its task is not the reason.
func (planner *Planner) noteCrash(now time.Time, run *run) {
	age := run.ageAtDeath(now)
	if age < establishedAge {
		planner.addCrash(run.step, run.id.Index, crash{placement: run.placement(), age: age, onTrial: run.onTrial && run.hasCertainlyRun()})
		return
	}
	planner.forgetCrashes(run)
}

// forgetCrashes removes the crashes under the task of a run that has worked for long.
func (planner *Planner) forgetCrashes(run *run) {
	if task := run.task(); len(task.crashes) > 0 {
		task.crashes = nil
		planner.recording.markCrashesDirty(run.step)
	}
}

// hasCertainlyRun reports whether a run on trial has started on its minion, now that the
// minion has crashed: its start is confirmed, or no other one on trial could be the reason.
func (run *run) hasCertainlyRun() bool {
	if !run.startConfirmedAt.IsZero() {
		return true
	}
	if !run.mayHaveArrived {
		return false
	}
	for _, other := range run.minion.runs {
		if other != run && other.onTrial && !run.step.spec.Gang {
			return false
		}
	}
	return true
}

// addCrash adds a crash under a run of a task. A run counts once: if its start may still
// arrive at the minion's next incarnation, that says nothing about a crash of the next one.
func (planner *Planner) addCrash(step *step, index int, added crash) {
	task, job := &step.tasks[index], step.occurrence.job
	isKnown := slices.ContainsFunc(task.crashes, func(known crash) bool { return known.run == added.run })
	if isKnown || task.done || !job.isOpen() {
		return
	}
	step.addCrash(index, added)
	task.lastFailedOn = added.minion
	planner.recording.markCrashesDirty(step)
	planner.emit(messenger.Count{Counter: messenger.Crashes, Reason: countSuspected})
	planner.emitDecision(step.id(index).String(), "minion-crashed", "the minion of its run has crashed",
		fmt.Sprintf("run=%d minion=%s age-at-death=%s on-trial=%t crashes=%d suspect=%t", added.run, added.minion,
			added.age.Round(time.Millisecond), added.onTrial, len(task.crashes), task.isSuspect()), 0)
	planner.passNeeded = true
}

func (step *step) addCrash(index int, added crash) {
	step.tasks[index].crashes = append(step.tasks[index].crashes, added)
	if !slices.Contains(step.crashedTasks, index) {
		step.crashedTasks = append(step.crashedTasks, index)
	}
	step.occurrence.job.hasCrashes = true
}

// refuteCrash removes the crash under a run whose minion reports the run or its end, and so
// had only been out of reach.
func (planner *Planner) refuteCrash(step *step, index int, reported placement) {
	task := &step.tasks[index]
	kept := slices.DeleteFunc(task.crashes, func(known crash) bool { return known.placement == reported })
	if len(kept) == len(task.crashes) {
		return
	}
	task.crashes = kept
	planner.recording.markCrashesDirty(step)
	planner.emit(messenger.Count{Counter: messenger.Crashes, Reason: countRefuted})
	planner.passNeeded = true
}

// judgeFormerRun concludes what has become of the run of an inherited task that neither
// runs nor has ended anywhere, from where the former holder has placed it.
func (planner *Planner) judgeFormerRun(step *step, index int) {
	task := &step.tasks[index]
	placement := task.placement
	if !task.unresolved || placement.run == 0 || placement.run < task.latestRun {
		return
	}
	minion, isKnown := planner.minions[placement.minion]
	if isKnown && minion.report.Incarnation <= placement.incarnation {
		return // the start has not arrived
	}
	planner.addCrash(step, index, crash{placement: placement, onTrial: isKnown && task.isSuspect()})
}
