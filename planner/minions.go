package planner

import (
	"fmt"
	"slices"
	"time"

	"corianderroad/accountant"
	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// handleMinionReports applies reports from the store. Another start time under
// the same name is another incarnation, and all runs of the earlier one have
// ended.
func (planner *Planner) handleMinionReports(now time.Time, event messenger.MinionsRead) {
	if planner.holder.token == 0 {
		return
	}
	if planner.readings.note(now, event.SentAt) {
		planner.passNeeded = true
	}
	if !event.Complete && len(event.Reports)+len(event.Removed) == 0 {
		return
	}
	if event.Complete {
		for _, minion := range planner.minions {
			minion.registered = false
		}
	}
	for _, report := range event.Reports {
		planner.handleMinionReport(now, report)
	}
	for _, name := range event.Removed {
		if minion, ok := planner.minions[name]; ok {
			minion.registered = false
		}
	}
	planner.noteDepartures(now)
	planner.passNeeded = true
}

func (planner *Planner) handleMinionReport(now time.Time, report messenger.MinionReport) {
	existing, ok := planner.minions[report.Minion]
	if ok && existing.report.Incarnation == report.Incarnation {
		startsDraining := report.Draining && !existing.report.Draining
		existing.update(report, now)
		if startsDraining {
			planner.emitDecision(string(report.Minion), "minion-draining", "its report announces it", "", report.Remaining)
		}
		return
	}
	if ok && report.Incarnation < existing.report.Incarnation {
		// Either an answer has shown already that this incarnation has ended, or the
		// minion has restarted after its wall clock was set back. Its answer tells.
		existing.registered, existing.listedIncarnation, existing.olderEntry = true, report.Incarnation, &report
		if !existing.polling {
			existing.schedulePoll(now)
		}
		return
	}
	planner.addMinion(now, existing, report)
}

// addMinion adds the minion of a report in place of its earlier incarnation, which is
// nil if there is none.
func (planner *Planner) addMinion(now time.Time, earlier *minion, report messenger.MinionReport) *minion {
	planner.noteBirth(now, &report)
	added := newMinion(report, now, planner.bounds.MaxLease, &planner.polls, planner.evacuations)
	if added.strayToken = planner.sentTokens.stray(now, report.Minion); added.strayToken > 0 {
		added.leaseLimit.expectStrays(now)
	}
	if planner.holder.active {
		added.schedulePoll(now)
	}
	if earlier != nil {
		planner.replaceIncarnation(now, earlier, added)
	} else if missing := planner.missing.take(&report); missing != nil {
		planner.noteDeath(now, newDeath(now, missing, report.Incarnation, countReturned, "its next incarnation is listed"))
	}
	planner.setMinion(added)
	planner.emitDecision(string(report.Minion), "minion-registered", "its report was read",
		fmt.Sprintf("address=%s domain=%s", report.Address, report.FailureDomain), 0)
	return added
}

// replaceIncarnation replaces an incarnation with the next one under the same
// name. The runs of the earlier one have ended. Runs with an attempt to start them that the
// earlier one has not answered move to the next one, because that order may still reach it, and
// are stopped there: it may be of another kind, or have less capacity. So do runs that no list of the
// earlier one has shown, because the answer to another order may have confirmed them.
func (planner *Planner) replaceIncarnation(now time.Time, earlier, next *minion) {
	planner.noteDeath(now, newDeath(now, earlier, next.report.Incarnation, countRestarted, "it has restarted"))
	for _, run := range earlier.sortedRuns() {
		if run.isListed() && !run.mayHaveArrived {
			planner.markRunLost(now, run, accountant.EndMinionGone, "its minion has restarted", describeNextLife(earlier, next.report.Incarnation))
			continue
		}
		earlier.removeRun(run)
		run.minion, run.mayHaveArrived, run.isOfEarlierLife, run.onTrial, run.isAnsweredByOther = next, true, true, false, false
		run.startConfirmedAt, run.startConfirmedClock = time.Time{}, 0
		run.stopAcknowledgedAt, run.stopAcknowledgedClock = time.Time{}, 0
		next.addRun(run)
		if run.state == stopping {
			planner.sendStop(now, run)
		} else {
			planner.stopRun(now, run, accountant.StopForRestart, "its minion has restarted")
		}
	}
}

// removeDeadMinion marks all runs of an incarnation that has ended as lost and
// removes the minion.
func (planner *Planner) removeDeadMinion(now time.Time, minion *minion, next identifier.Incarnation, reason string) {
	planner.noteDeath(now, newDeath(now, minion, next, countReplaced, reason))
	for _, run := range minion.sortedRuns() {
		planner.markRunLost(now, run, accountant.EndMinionGone, reason, describeNextLife(minion, next))
	}
	planner.removeMinion(minion)
}

// pollMinions sends the polls that are due and marks runs as lost when the
// leases on their minion have expired.
func (planner *Planner) pollMinions(now time.Time) {
	for _, minion := range slices.Clone(planner.silentMinions) {
		if len(minion.runs) > 0 && minion.leasesExpired(now) {
			planner.markExpiredRunsLost(now, minion)
		}
		if planner.stops != nil && planner.hasLeft(now, minion) {
			planner.markLeftRunsLost(now, minion)
		}
		isAwaited := !planner.holder.reconciled && planner.mayHaveFormerRuns(now, minion)
		if !minion.registered && len(minion.runs) == 0 && !isAwaited {
			planner.removeMinion(minion)
			planner.noteAbsence(now, minion)
		}
	}
	planner.sendDuePolls(now)
	planner.reconcile(now)
}

// noteAbsence notes that a minion is neither listed nor reachable. That alone does not show
// that it has ended.
func (planner *Planner) noteAbsence(now time.Time, minion *minion) {
	if later := planner.laterLife(minion.placement(0)); later != nil {
		planner.noteDeath(now, newDeath(later.seenAt, minion, later.report.Incarnation, countReplaced, "another minion is listed at its address"))
		return
	}
	planner.missing.add(now, minion)
	planner.noteDeath(now, &death{minion: minion, at: now, counted: countUnreachable, reason: "neither registered nor reachable"})
}

// markExpiredRunsLost marks the runs of a silent minion as lost whose leases have expired.
// A run that may have ended before keeps its task from another start while the minion is
// listed in the store, and so is alive: it will list the end. So does one that a later life may
// have.
func (planner *Planner) markExpiredRunsLost(now time.Time, minion *minion) {
	isAlive := minion.registered && now.Sub(minion.clockAt) < maxSilence
	for _, run := range minion.sortedRuns() {
		if (run.step.spec.LongRunning || !isAlive) && !planner.mayStartLate(now, run) {
			planner.markRunLost(now, run, accountant.EndLeasesExpired, "the lease has expired", minion.describeSilence(now))
			minion.lostRuns = append(minion.lostRuns, run)
		}
	}
}

func (planner *Planner) pollRuns(now time.Time, minion *minion) {
	poll := messenger.PollRuns{AcknowledgedEnd: minion.endToAcknowledge()}
	mayRenew := planner.suspension.endedBefore(planner.holder.confirmedAt) && !planner.tokenCheck.isCutOff
	if len(minion.runs) > 0 && minion.clock > 0 && mayRenew && minion.mayRenewLease(now) {
		poll.LeaseUntil = minion.renewLease(now)
	}
	if minion.polled && !minion.unresponsive && len(minion.runs) > 0 && minion.recordedEnd == minion.processedEnd && !minion.hasUnrecordableEnd() {
		poll.Wait = minion.pollWait(now)
		if !mayRenew {
			poll.Wait = min(poll.Wait, pollRetryDelay)
		}
	}
	if planner.holder.polledAt.IsZero() {
		planner.holder.polledAt = now
	}
	minion.polling = true
	minion.nextPollAt, minion.isIdlePoll = time.Time{}, false
	planner.sendOrder(now, minion, poll, answerTimeout+poll.Wait, nil)
}

// sendOrder sends an order and stores the run that it concerns, if any.
func (planner *Planner) sendOrder(now time.Time, minion *minion, order messenger.Order, timeout time.Duration, run *run) {
	planner.lastOrderID++
	expires := now.Add(orderLifetime)
	if _, isStart := order.(messenger.StartRun); isStart {
		expires = planner.startExpiry(now)
	}
	if run != nil {
		planner.pendingOrders[planner.lastOrderID] = run
	}
	planner.emit(messenger.OrderMinion{
		ID: planner.lastOrderID, Minion: minion.report.Minion, Incarnation: minion.report.Incarnation,
		Address: minion.report.Address, Token: planner.orderToken(now, minion),
		Expires: expires, Timeout: timeout, MinClock: minion.clockLowerBound(now), Order: order,
	})
}

// handleOrderAnswer handles the answer to any order.
func (planner *Planner) handleOrderAnswer(now time.Time, event messenger.OrderAnswered) {
	run := planner.pendingOrders[event.Sent.ID]
	delete(planner.pendingOrders, event.Sent.ID)
	if !planner.holder.active || event.Sent.Token < planner.holder.token {
		return
	}
	planner.noteOutcome(now, &event)
	minion, ok := planner.minions[event.Sent.Minion]
	if !ok || event.Sent.Incarnation != minion.report.Incarnation {
		return // the order was addressed to an incarnation that has ended
	}
	if event.Err != nil && event.Err.Code == classifier.StaleTerm && !minion.isOutdatedToken(&event) {
		planner.emit(messenger.HolderFenced{Token: planner.holder.token})
		planner.stepDown()
		return
	}
	if event.Incarnation != 0 && event.Incarnation < minion.report.Incarnation && event.Incarnation != minion.listedIncarnation {
		event = withoutAnswer(event)
	}
	_, isPoll := event.Sent.Order.(messenger.PollRuns)
	if isPoll {
		minion.polling = false
	}
	if planner.answeredByOtherIncarnation(now, minion, run, event) {
		return
	}
	if !isPoll && isFromLaterLife(&event) {
		planner.handleAnswerOfLaterLife(now, minion, run, event)
		return
	}
	if event.IsRepeat || isRejected(&event) {
		planner.noteResentOrder(&event, run)
	}
	planner.updateResponsiveness(now, minion, event)
	if event.Clock > 0 && !minion.polled {
		// Orders of former holders and to earlier lives may have arrived before this answer.
		minion.leaseLimit.addForeign(event.Clock, planner.longestForeignLease(minion))
	}
	if isPoll {
		planner.handlePollAnswer(now, minion, event)
		planner.updateUnknownRuns(now, minion, event)
	} else if run != nil {
		planner.handleRunOrderAnswer(now, run, event)
	}
	planner.passNeeded = true
}

// updateUnknownRuns notes whether an answer to a poll lists runs of unknown tasks, and
// polls the minion again until it does not.
func (planner *Planner) updateUnknownRuns(now time.Time, minion *minion, event messenger.OrderAnswered) {
	if event.Err != nil {
		return
	}
	minion.hasUnknownRuns = false
	for _, report := range event.Running {
		_, task := planner.findTask(report.Task)
		minion.hasUnknownRuns = minion.hasUnknownRuns || task == nil
	}
	if minion.hasUnknownRuns && (minion.nextPollAt.IsZero() || minion.isIdlePoll) {
		minion.schedulePoll(now.Add(pollRetryDelay))
	}
}

// withoutAnswer returns the event for an order that the addressed incarnation has
// not answered. An earlier one did, which says nothing about the addressed one.
func withoutAnswer(event messenger.OrderAnswered) messenger.OrderAnswered {
	return messenger.OrderAnswered{
		Sent: event.Sent, SentAt: event.SentAt,
		Err: classifier.New(classifier.OutcomeUnknown, "answered by the earlier incarnation %d", event.Incarnation),
	}
}

// answeredByOtherIncarnation reports whether the answer is from the next
// incarnation or another minion. The addressed incarnation has then ended and is
// replaced or removed.
func (planner *Planner) answeredByOtherIncarnation(now time.Time, minion *minion, run *run, event messenger.OrderAnswered) bool {
	unknownNode := event.Err != nil && event.Err.Code == classifier.UnknownNode
	if !unknownNode && (event.Incarnation == 0 || event.Incarnation == minion.report.Incarnation) {
		return false
	}
	if _, isStart := event.Sent.Order.(messenger.StartRun); isStart && run != nil && run.startAttempts == 1 {
		run.isAnsweredByOther = true
	}
	if unknownNode {
		planner.removeDeadMinion(now, minion, event.Incarnation, "another minion answered at its address")
		return true
	}
	report := minion.report // until the entry of that incarnation is read
	if entry := minion.olderEntry; entry != nil && entry.Incarnation == event.Incarnation {
		report = *entry
	}
	report.Incarnation, report.Clock = event.Incarnation, event.Clock
	next := planner.addMinion(now, minion, report) // an answer does not list the minion
	next.registered, next.listedIncarnation = minion.registered, minion.listedIncarnation
	return true
}

// updateResponsiveness records whether the minion answers.
func (planner *Planner) updateResponsiveness(now time.Time, minion *minion, event messenger.OrderAnswered) {
	noAnswer := event.Err != nil && event.Clock == 0 && event.Err.Code != classifier.MinionBusy && event.Err.Code != classifier.BadRequest
	if noAnswer && event.Err.Code == classifier.RingFull {
		return
	}
	if !noAnswer {
		if minion.unresponsive {
			planner.emitDecision(string(minion.report.Minion), "minion-regained", "it answers again", "", now.Sub(minion.unresponsiveSince))
		}
		minion.unresponsive, minion.lostRuns = false, nil
		planner.silentMinions.remove(minion)
		minion.answeredAt, minion.refusedAt, minion.hasEnded = now, time.Time{}, false
		minion.answersUnlisted = minion.answersUnlisted || !minion.registered
		if event.Clock > 0 {
			minion.updateClock(event.Clock, now)
		}
		if event.Clock > 0 && event.Err == nil {
			minion.lease.update(event.Clock, event.SentAt, leaseOf(event.Sent.Order))
		}
		return
	}
	if event.ConnectionRefused {
		minion.noteRefusedConnection(now)
	} else if event.SentAt.After(minion.lastRefusedAt) {
		minion.refusedAt, minion.hasEnded = time.Time{}, false // a later life may be there, or the minion itself
	}
	if !minion.unresponsive {
		minion.unresponsive, minion.unresponsiveSince, minion.idleRetryDelay = true, now, pollRetryDelay
		planner.silentMinions.add(minion)
		planner.noteSilence(now, minion)
		planner.emitDecision(string(minion.report.Minion), "minion-lost", event.Err.Code.Name(), event.Err.Message+" "+minion.leaseDetail(now), now.Sub(minion.clockAt))
		if !minion.polling {
			minion.schedulePoll(now)
		}
	}
}
