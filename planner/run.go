package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"corianderroad/accountant"
	"corianderroad/classifier"
	"corianderroad/messenger"
	"corianderroad/profiler"
	"corianderroad/specifier"
)

// runState is the state of a run as the holder sees it.
type runState uint8

const (
	starting runState = iota + 1 // start ordered, not yet answered
	running                      // the minion has the run
	stopping                     // stop ordered
)

// run is one run of a task, from its start order until it certainly does not run
// any more.
type run struct {
	id     specifier.Task
	number uint64
	// previousRun is the newest run of the task before this one, zero if there is none.
	previousRun uint64
	step        *step
	minion      *minion
	state       runState

	startedAt     time.Time
	startAttempts int
	// mayHaveArrived means that a start without an answer may still be carried out.
	mayHaveArrived bool
	// unansweredAt is when the newest attempt to start the run went without an answer, zero if
	// none did.
	unansweredAt time.Time
	// isOfEarlierLife means that the order to start the run was sent to an earlier life of the
	// minion.
	isOfEarlierLife bool
	// startLeaseUntil is the lease in the newest start order, on the minion's clock.
	// A start that arrives later is refused.
	startLeaseUntil time.Duration
	// ticket is the advice service's ticket for the run.
	ticket string
	// isAdopted means that a former holder has started the run.
	isAdopted bool
	// startConfirmedAt is when the holder first learned that the minion has the
	// run.
	startConfirmedAt time.Time
	// account has the order to stop the run, and how much of its work is saved.
	account accountant.Run
	// stopAcknowledgedAt is when the minion acknowledged the order to stop.
	stopAcknowledgedAt time.Time
	// startConfirmedClock and stopAcknowledgedClock are the minion's clock in the answers
	// that told so. Lists that were made before do not show it.
	startConfirmedClock, stopAcknowledgedClock time.Duration
	// nextStopAt is when a failed stop is repeated, zero if none has failed.
	nextStopAt time.Time

	// progressPercent is the run's progress at progressAt, when it last changed.
	progressPercent int
	progressAt      time.Time
	work            runWork
	profile         profiler.Run
	checkpoint      string
	load            float64
	// pacePercent is the share of its speed at which the run works, set at
	// paceSetAt.
	pacePercent int
	paceSetAt   time.Time
	// onTrial means that the run is on trial: a crash of its minion is evidence against its
	// task. hasPassed means that it has worked for long enough to pass, trialEndsAt is when
	// its trial then ends.
	onTrial, hasPassed bool
	trialEndsAt        time.Time
	// clearTime is for how long a run that has passed has to work until its task is cleared.
	clearTime time.Duration
	// isAnsweredByOther means that another incarnation or minion has answered the only order
	// to start the run.
	isAnsweredByOther bool
}

func (run *run) task() *task { return &run.step.tasks[run.id.Index] }

func (run *run) job() *job { return run.step.occurrence.job }

func (minion *minion) sortedRuns() []*run {
	runs := make([]*run, 0, len(minion.runs))
	for _, run := range minion.runs {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(one, other *run) int {
		return cmp.Or(cmp.Compare(one.number, other.number), cmp.Compare(one.id.Index, other.id.Index))
	})
	return runs
}

// startRun orders a minion to start a run of a task.
func (planner *Planner) startRun(now time.Time, step *step, index int, minion *minion, number uint64, ticket string) {
	run := &run{
		id: step.id(index), number: number, step: step, minion: minion, state: starting,
		startedAt: now, progressAt: now, ticket: ticket, pacePercent: fullPercent, onTrial: minion.trial == step,
	}
	step.tasks[index].run = run
	run.previousRun = step.tasks[index].latestRun
	minion.addRun(run)
	if task := &step.tasks[index]; run.previousRun > 0 || task.inherited {
		task.place(minion.placement(number), now)
		planner.recording.markCrashesDirty(step)
	}
	job := run.job()
	planner.emitDecision(run.id.String(), "start", "placed",
		fmt.Sprintf("run=%d minion=%s previous-run=%d", number, minion.report.Minion, run.previousRun), now.Sub(job.spec.AcceptedAt))
	planner.sendStart(now, run)
}

func (minion *minion) addRun(run *run) {
	task := run.task()
	task.knownRuns++
	task.latestRun = max(task.latestRun, run.number)
	minion.runs[runKey{run.id, run.number}] = run
	minion.used = minion.used.Add(requiredCapacity(run.step.spec))
}

func (minion *minion) removeRun(run *run) {
	run.task().knownRuns--
	delete(minion.runs, runKey{run.id, run.number})
	minion.used = minion.used.Sub(requiredCapacity(run.step.spec))
}

func (planner *Planner) sendStart(now time.Time, run *run) {
	run.startAttempts++
	run.startLeaseUntil = run.minion.startLease(now)
	planner.sendOrder(now, run.minion, messenger.StartRun{
		Task: run.id, Run: run.number, Payload: run.job().spec.Payload, Checkpoint: run.task().checkpoint, Ticket: run.ticket,
		LeaseUntil: run.startLeaseUntil,
	}, answerTimeout, run)
}

// stopRun orders the end of a run by a rule. Its capacity stays occupied until the end is
// certain.
func (planner *Planner) stopRun(now time.Time, run *run, rule accountant.Rule, reason string) {
	if run.state == stopping {
		return
	}
	run.state = stopping
	run.account.NoteStop(now, rule)
	planner.countStop(run)
	planner.noteBreakage(run, accountant.Cause(rule))
	planner.emitDecision(run.id.String(), "stop", reason,
		fmt.Sprintf("run=%d minion=%s percent=%d rule=%s %s", run.number, run.minion.report.Minion, run.progressPercent, rule, run.describeLoss(now)),
		now.Sub(run.startedAt))
	planner.sendStop(now, run)
}

func (planner *Planner) sendStop(now time.Time, run *run) {
	run.nextStopAt = time.Time{}
	planner.sendOrder(now, run.minion, messenger.StopRun{Task: run.id, Run: run.number, BarsStart: !run.isListed()}, answerTimeout, run)
}

// isListed reports whether a list of this life of its minion has had the run, so that no start of
// it can take effect any more.
func (run *run) isListed() bool { return run.work.isObserved && !run.isOfEarlierLife }

// handleRunOrderAnswer handles the answer to a start or a stop.
func (planner *Planner) handleRunOrderAnswer(now time.Time, run *run, event messenger.OrderAnswered) {
	minion := run.minion
	if minion.runs[runKey{run.id, run.number}] != run {
		return
	}
	switch event.Sent.Order.(type) {
	case messenger.PollRuns:
		planner.handleCheckAnswer(now, minion, event)
		return
	case messenger.StartRun:
		planner.handleStartAnswer(now, run, event)
	case messenger.StopRun:
		if event.Err == nil {
			run.stopAcknowledgedAt, run.stopAcknowledgedClock = now, event.Clock
			planner.checkBarredRun(now, run, event)
		} else {
			planner.scheduleStop(now, run)
		}
	}
	if !minion.polling && len(minion.runs) > 0 && (minion.nextPollAt.IsZero() || minion.isIdlePoll) {
		minion.schedulePoll(now)
	}
}

// markBegun notes that a minion has started a task of the job.
func (planner *Planner) markBegun(job *job) {
	if job.state == specifier.Queued {
		job.state = specifier.Running
		planner.recording.markDirty(job)
	}
}

func (planner *Planner) handleStartAnswer(now time.Time, run *run, event messenger.OrderAnswered) {
	if event.Err == nil {
		planner.markBegun(run.job())
		if run.state == starting {
			run.state = running
			run.minion.noCapacityDelay = 0
			run.startConfirmedAt, run.progressAt = now, now
			run.account.NoteStart(now)
			run.startConfirmedClock = event.Clock
		}
		return
	}
	if isOutstanding(&event) && run.state != running {
		run.unansweredAt = now
	}
	if run.state != starting {
		return
	}
	run.mayHaveArrived = run.mayHaveArrived || event.Err.MayHaveRun
	switch event.Err.Code {
	case classifier.MinionUnreachable, classifier.OutcomeUnknown, classifier.RingFull, classifier.CorruptAnswer, classifier.Internal:
		planner.handleUnansweredStart(now, run, event)
		return
	case classifier.SupersededRun:
		// The minion carried out an earlier attempt of this start, and the run has
		// ended since. The next poll lists its end, unless a poll has listed it
		// already.
		run.state, run.stopAcknowledgedAt, run.stopAcknowledgedClock = stopping, now, event.Clock
		return
	case classifier.NoCapacity:
		run.minion.closeForCapacity(now)
	case classifier.NoTicket:
		run.step.dropTicket(run.minion)
	default:
		planner.countFailedStart(now, run)
	}
	planner.emit(messenger.Count{Counter: messenger.Refusals, Reason: "start-" + event.Err.Code.Name()})
	run.task().ownHistory().notBefore = now.Add(refusedStartDelay)
	planner.abandonStart(now, run, "refused: "+event.Err.Code.Name(), describeAnswer(&event))
}

// handleUnansweredStart repeats a start without an answer, or gives it up after some
// attempts or without a valid claim, because another node may have claimed.
func (planner *Planner) handleUnansweredStart(now time.Time, run *run, event messenger.OrderAnswered) {
	code := event.Err.Code
	planner.emit(messenger.Count{Counter: messenger.Retries, Reason: "start-" + code.Name()})
	run.mayHaveArrived = run.mayHaveArrived || code.Execution() != classifier.NotRun
	isClaimValid := planner.holder.isClaimValid(now)
	_, outdated := planner.outdatedReading(now, run.minion.report.Service)
	isNeeded := run.job().isOpen() && !run.task().done
	mayRepeat := isNeeded && !run.onTrial && run.hasValidTicket(now) && !outdated && !run.minion.isEvacuated()
	if run.startAttempts < maxStartAttempts && isClaimValid && mayRepeat {
		planner.sendStart(now, run)
		return
	}
	if run.minion.isEvacuated() {
		planner.abandonEvacuatedStart(now, run, event)
		return
	}
	if isNeeded && code != classifier.RingFull && isClaimValid {
		planner.countFailedStart(now, run)
	}
	planner.abandonStart(now, run, "the start was not answered", describeAnswer(&event))
}

// countFailedStart counts a start that its minion did not carry out, so that the
// next start of the task goes elsewhere. Answers to polls alone do not show that the
// minion can be used.
func (planner *Planner) countFailedStart(now time.Time, run *run) {
	planner.countUnlimitedFailure(now, run.task(), run.minion)
}

// countUnlimitedFailure counts a failure that may repeat without limit. It counts against
// the minion unless the task has failed on another one before: the task is then at fault.
func (planner *Planner) countUnlimitedFailure(now time.Time, task *task, minion *minion) {
	if task.history().lastFailedOn == "" || task.history().lastFailedOn == minion.report.Minion {
		planner.countMinionFailure(now, minion, false)
	}
	task.ownHistory().lastFailedOn = minion.report.Minion
}

// abandonStart releases a run whose start certainly did not arrive. Otherwise it
// stops the run: an attempt without an answer may still be carried out, and the
// minion refuses it once it has the order to stop. The evidence is the answer, for the log.
func (planner *Planner) abandonStart(now time.Time, run *run, reason, evidence string) {
	if run.mayHaveArrived {
		planner.stopUnlistedRun(now, run, reason)
		return
	}
	run.withdraw()
	planner.markRunLost(now, run, accountant.Cause(accountant.StopForAbandonedStart), reason, evidence)
}

// stopUnlistedRun stops a run of which it is not known whether it is there. The other members of a gang stop at once:
// until it is known they would wait for it, and end alone after a few seconds.
func (planner *Planner) stopUnlistedRun(now time.Time, run *run, reason string) {
	planner.stopRun(now, run, accountant.StopForAbandonedStart, reason)
	if run.step.spec.Gang && run.task().run == run {
		planner.stopMembers(now, run, accountant.StopForBrokenGang, "the start of another member of its gang is given up")
	}
}

// withdraw undoes the start of a run that certainly did not arrive. A number that is in
// the journal can be used again, but for the members of a gang, which have a common one.
func (run *run) withdraw() {
	task := run.task()
	if task.latestRun != run.number {
		return
	}
	task.latestRun = run.previousRun
	if task.restart().recordedRun == run.number && !run.step.spec.Gang {
		task.ownRestart().reservedRun = run.number
	}
}

// markRunLost releases a run that certainly does not run although its minion
// has not listed its end. The evidence is what shows that, for the log.
func (planner *Planner) markRunLost(now time.Time, run *run, cause accountant.Cause, reason, evidence string) {
	if run.checkpoint != "" {
		planner.updateCheckpoint(run.step, run.id.Index, run.checkpoint)
		planner.shareGangCheckpoint(run.step)
	}
	cause = run.account.Cause(cause)
	planner.noteBreakage(run, cause)
	planner.emitDecision(run.id.String(), "run-lost", reason,
		fmt.Sprintf("run=%d minion=%s percent=%d attempts=%d %s %s", run.number, run.minion.report.Minion, run.progressPercent, run.startAttempts, evidence, run.describeLoss(now)),
		now.Sub(run.startedAt))
	planner.releaseRun(now, run, cause)
}

// releaseRun frees a run's capacity. The other members of a gang stop with it.
func (planner *Planner) releaseRun(now time.Time, run *run, cause accountant.Cause) {
	if run.minion.runs[runKey{run.id, run.number}] != run {
		return
	}
	planner.countLoss(now, run, cause)
	run.minion.removeRun(run)
	task := run.task()
	if task.run == run {
		task.run = nil
	}
	planner.releaseCopy(run)
	planner.passNeeded = true
	if !run.step.spec.Gang || run.step.isComplete() {
		return
	}
	hasMembers := planner.stopMembers(now, run, accountant.StopForBrokenGang, "another member of its gang has ended")
	if !hasMembers && run.step.breakage.NoteEnd(run.number) {
		planner.countBreakage(accountant.EndUnknown)
	}
}

// stopMembers stops the members of the gang to which a run belongs, and reports whether it has
// any.
func (planner *Planner) stopMembers(now time.Time, run *run, rule accountant.Rule, reason string) bool {
	hasMembers := false
	for index := range run.step.tasks {
		if member := run.step.tasks[index].run; member != nil && member.number == run.number {
			hasMembers = true
			planner.stopRun(now, member, rule, reason)
		}
	}
	return hasMembers
}

func (planner *Planner) countMinionFailure(now time.Time, minion *minion, isEarly bool) {
	if minion.health.addFailure(now, isEarly) {
		planner.emitDecision(string(minion.report.Minion), "minion-set-aside", "its runs fail", "", minion.health.quarantineDuration)
	}
}

// updateCheckpoint stores where the next run of a task resumes.
func (planner *Planner) updateCheckpoint(step *step, index int, checkpoint string) {
	task := &step.tasks[index]
	if task.checkpoint == checkpoint {
		return
	}
	task.checkpoint = checkpoint
	planner.recording.markTaskDirty(step, index)
}
