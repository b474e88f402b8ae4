package planner

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// holderState is the node's state as the holder.
type holderState struct {
	token       identifier.Term
	confirmedAt time.Time
	// fence is the newest fence of the claim.
	fence identifier.Term
	// claimedAt is when this node received its claim.
	claimedAt time.Time
	// nextFenceAt is when the journal is fenced again, zero if a fence is pending
	// or complete. fenceRetryDelay is the time to the attempt after that.
	nextFenceAt     time.Time
	fenceRetryDelay time.Duration
	// fenceOffset and progressFenceOffset are the offsets of the journal and of the
	// progress that must be read before the holder is active, zero before they are fenced.
	fenceOffset, progressFenceOffset identifier.Offset
	isFenced                         bool
	// formerProgress is what former holders have recorded, until this one is active.
	formerProgress formerProgress
	// active means that the node has read all that former holders recorded.
	active bool
	// polledAt is when this holder sent its first polls, zero before.
	polledAt time.Time
	// polledMinions counts the minions that have answered a poll, and fencedAt is when
	// half of those that it knows had, zero before. They refuse the former holder since.
	polledMinions int
	fencedAt      time.Time
	// unresolvedTasks counts the inherited tasks that a former holder may have
	// started on a minion that has not reported them.
	unresolvedTasks int
	// reconciled means that no unresolved tasks are left, or that the leases of
	// the former holder have expired.
	reconciled bool
}

// isClaimValid reports whether it is certain that no other node has claimed.
func (holderState *holderState) isClaimValid(now time.Time) bool {
	return holderState.active && now.Sub(holderState.confirmedAt) <= claimValidity
}

// isFirst reports whether there has been no former holder.
func (holderState *holderState) isFirst() bool { return holderState.token == firstToken }

// formerRenewalsEnd returns when a former holder has certainly sent its last order, zero before
// this one has polled.
func (holderState *holderState) formerRenewalsEnd() time.Time {
	switch {
	case holderState.polledAt.IsZero():
		return time.Time{}
	case holderState.fencedAt.IsZero():
		return holderState.polledAt.Add(maxFencingTime + formerRenewalTime)
	}
	return holderState.fencedAt.Add(formerRenewalTime)
}

// formerLeasesExpired reports whether every lease of a former holder has expired, also
// on minions that this holder does not know. A former holder that is alive hears of this
// one from the minions that both have polled. Orders that are carried out late, by a life that
// does not answer, are left out: to wait for them would hold up all tasks of the former holder.
func (planner *Planner) formerLeasesExpired(now time.Time) bool {
	lastOrderAt := planner.holder.formerRenewalsEnd()
	if lastOrderAt.IsZero() || now.Before(lastOrderAt.Add(longestTime(leaseDuration))) {
		return false
	}
	if !now.Before(lastOrderAt.Add(longestTime(planner.bounds.MaxLease))) {
		return true
	}
	for _, minion := range planner.minions {
		if planner.mayHaveFormerRuns(now, minion) {
			return false
		}
	}
	return true
}

// mayHaveFormerRuns reports whether a minion that has not answered may run tasks of a former
// holder with a longer lease than holders send, because it took orders to its earlier life.
func (planner *Planner) mayHaveFormerRuns(now time.Time, minion *minion) bool {
	if minion.polled || !planner.mayGetFormerStrays(minion) {
		return false
	}
	hasEnded := minion.hasOnlyRefused() || planner.isRemovedAsAnnounced(now, minion) || planner.laterLife(minion.placement(0)) != nil
	return !hasEnded
}

// noteFencedMinion notes that a minion has answered the first poll of this holder.
func (planner *Planner) noteFencedMinion(now time.Time) {
	holder := &planner.holder
	holder.polledMinions++
	if holder.fencedAt.IsZero() && 2*holder.polledMinions >= len(planner.minions) {
		holder.fencedAt = now
	}
}

func (planner *Planner) handleHolderChange(now time.Time, event messenger.HolderChanged) {
	switch {
	case event.Token == 0 && planner.holder.token != 0:
		planner.stepDown()
	case event.Token == 0:
	case event.Token == planner.holder.token:
		planner.holder.fence = max(planner.holder.fence, event.Fence)
		if !planner.holder.isClaimValid(now) {
			planner.lastPassAt = time.Time{} // a pass may be due
		}
		planner.holder.confirmedAt = event.ConfirmedAt
	default:
		if planner.holder.token != 0 {
			planner.stepDown()
		}
		planner.holder = holderState{
			token: event.Token, fence: max(event.Token, event.Fence), confirmedAt: event.ConfirmedAt, claimedAt: now, fenceRetryDelay: minFenceRetryDelay,
		}
		planner.emit(messenger.FollowProgress{Enabled: true})
		planner.emit(messenger.FenceJournal{Token: event.Token})
		planner.emit(messenger.FollowMinions{Enabled: true})
	}
}

// stepDown discards the state that only the holder has, including ends that it
// has not recorded. The minions list them again to the next holder.
func (planner *Planner) stepDown() {
	planner.holder = holderState{}
	planner.minions, planner.minionsByName = make(map[identifier.Minion]*minion), nil
	planner.minionsAt = make(map[netip.AddrPort]*minion)
	planner.polls, planner.silentMinions, planner.missing, planner.headroom = pollSchedule{}, nil, nil, headroom{}
	planner.silences, planner.births, planner.sentTokens = nil, nil, make(sentTokens)
	planner.outstandingStarts = make(outstandingStarts)
	planner.pendingOrders, planner.stopRetries = make(map[uint64]*run), nil
	planner.recording = newRecording()
	planner.adviceRequest = adviceRequest{}
	planner.reservations, planner.gangReservations, planner.aging = reservations{}, gangReservations{}, aging{}
	planner.waiting, planner.profiles = waiting{}, newProfiles(planner.features)
	if planner.queueWaits != nil {
		planner.queueWaits = newQueueWaits()
	}
	planner.maintenance.reset()
	for _, job := range planner.jobs {
		job.reset()
		planner.updateOpenJobs(job)
	}
	planner.emit(messenger.FollowMinions{Enabled: false})
	planner.emit(messenger.FollowProgress{Enabled: false})
}

func (planner *Planner) handleJournalFenced(now time.Time, event messenger.JournalFenced) {
	if event.Token != planner.holder.token {
		return
	}
	if event.Err == nil {
		planner.holder.isFenced, planner.holder.fenceOffset, planner.holder.progressFenceOffset = true, event.End, event.ProgressEnd
		planner.activateIfReady(now)
		return
	}
	if event.Err.Code == classifier.StaleTerm {
		planner.emit(messenger.HolderFenced{Token: event.Token})
		planner.stepDown()
		return
	}
	planner.emit(messenger.Count{Counter: messenger.Retries, Reason: "fence-journal"})
	planner.holder.nextFenceAt = now.Add(planner.holder.fenceRetryDelay)
	planner.holder.fenceRetryDelay = min(2*planner.holder.fenceRetryDelay, maxFenceRetryDelay)
}

// repeatFence fences the journal again when it is due after a failure.
func (planner *Planner) repeatFence(now time.Time) {
	if planner.holder.nextFenceAt.IsZero() || now.Before(planner.holder.nextFenceAt) {
		return
	}
	planner.holder.nextFenceAt = time.Time{}
	planner.emit(messenger.FenceJournal{Token: planner.holder.token})
}

// activateIfReady makes the holder active once it has read all that former
// holders recorded.
func (planner *Planner) activateIfReady(now time.Time) {
	if planner.holder.active || !planner.holder.isFenced || planner.journalEnd < planner.holder.fenceOffset ||
		!planner.holder.formerProgress.isReadUpTo(planner.holder.progressFenceOffset) {
		return
	}
	planner.holder.active = true
	planner.emit(messenger.FollowProgress{Enabled: false})
	planner.lastRunNumber = uint64(planner.holder.token) << runNumberBits
	for _, id := range slices.Sorted(maps.Keys(planner.jobs)) {
		job := planner.jobs[id]
		planner.takeOver(job)
		if job.submitted && job.withdrawn && !job.state.IsFinal() {
			planner.cancelJob(now, job)
		}
	}
	planner.holder.reconciled = planner.holder.unresolvedTasks == 0
	planner.emitDecision(string(planner.node), "holder-active", "the journal is read up to its fence",
		fmt.Sprintf("unaccounted-tasks=%d journal-end=%d", planner.holder.unresolvedTasks, planner.journalEnd), now.Sub(planner.holder.claimedAt))
	for _, minion := range planner.minions {
		minion.schedulePoll(now)
	}
	planner.passNeeded = true
}

const (
	// formerRenewalTime is how long a former holder may go on renewing leases after half
	// of the minions have answered this one. The next of its own polls that reaches one
	// of them is refused, and it renews nothing while most of them do not answer it.
	formerRenewalTime = maxPollWait
	// maxFencingTime limits the wait for half of the minions: the first poll of each gets
	// no answer, and neither does the second.
	maxFencingTime = 2*answerTimeout + pollRetryDelay
)

// firstToken is the token of the first claim that was ever made.
const firstToken identifier.Term = 1

// runNumberBits is the number of low bits of a run number that count the runs
// of one claim. The bits above hold the claim's token, so that run numbers
// increase from one holder to the next without being recorded.
const runNumberBits = 20

// markInheritedTasks marks the tasks of a job that a former holder may have
// started as unresolved and returns their number.
func (job *job) markInheritedTasks() int {
	count := 0
	for step := range job.steps() {
		for index := range step.tasks {
			if !step.tasks[index].done {
				step.tasks[index].inherited, step.tasks[index].unresolved = true, true
				count++
			}
		}
	}
	return count
}

// markResolved marks an inherited task as resolved, once its run or its end has
// been found or the leases of the former holder have expired.
func (planner *Planner) markResolved(task *task) {
	if task.unresolved {
		task.unresolved = false
		planner.holder.unresolvedTasks--
	}
}

// reconcile completes the takeover once no run of a former holder can be
// unknown any more. A minion that is missing from the store's list does not
// count as stopped: its entry expires while the store is unavailable or the
// minion can't reach it, although the minion still runs tasks.
func (planner *Planner) reconcile(now time.Time) {
	if planner.holder.reconciled {
		return
	}
	if planner.holder.unresolvedTasks > 0 && !planner.formerLeasesExpired(now) {
		return
	}
	planner.holder.reconciled = true
	planner.passNeeded = true
	planner.emitDecision(string(planner.node), "holder-settled", "the leases of the former holder have expired",
		fmt.Sprintf("unaccounted-tasks=%d", planner.holder.unresolvedTasks), now.Sub(planner.holder.claimedAt))
	for _, job := range planner.openJobs {
		for step := range job.steps() {
			for index := range step.tasks {
				planner.judgeFormerRun(now, step, index)
				planner.markResolved(&step.tasks[index])
			}
		}
	}
}
