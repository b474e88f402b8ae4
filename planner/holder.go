package planner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// holding is the node's role as the holder.
type holderState struct {
	token       identifier.Term
	confirmedAt time.Time
	// began is when the claim was taken.
	claimedAt time.Time
	// fenceAt is when the journal is fenced again, zero if a fence is under way or done.
	nextFenceAt time.Time
	// fenceEnd is the offset that must be read before the holder is active, zero
	// before the journal is fenced.
	fenceOffset identifier.Offset
	isFenced    bool
	// active means that all that former holders recorded is known.
	active bool
	// unaccounted counts the tasks that a former holder may have started on a
	// minion that has not been heard of.
	unresolvedTasks int
	// confirmed means that all registered minions have answered once.
	allPolled bool
	// accounted means that the ends that they listed then are taken.
	allEndsProcessed bool
	// settled means that there are no such tasks, or their leases have lapsed.
	reconciled bool
}

// sure reports whether no other node can have claimed yet.
func (holderState *holderState) isClaimValid(now time.Time) bool {
	return holderState.active && now.Sub(holderState.confirmedAt) <= claimValidity
}

func (planner *Planner) handleHolderChange(now time.Time, event messenger.HolderChanged) {
	switch {
	case event.Token == 0 && planner.holder.token != 0:
		planner.stepDown()
	case event.Token == 0:
	case event.Token == planner.holder.token:
		planner.holder.confirmedAt = event.ConfirmedAt
	default:
		if planner.holder.token != 0 {
			planner.stepDown()
		}
		planner.holder = holderState{token: event.Token, confirmedAt: event.ConfirmedAt, claimedAt: now}
		planner.emit(messenger.FenceJournal{Token: event.Token})
		planner.emit(messenger.FollowMinions{Enabled: true})
	}
}

// resign forgets all that only the holder knows, also ends that it has not
// recorded: the next holder is told of them by the minions.
func (planner *Planner) stepDown() {
	planner.holder = holderState{}
	planner.minions, planner.minionsByName = make(map[identifier.Minion]*minion), nil
	planner.pendingOrders = make(map[uint64]*run)
	planner.recording = newRecording()
	planner.adviceRequest = adviceRequest{}
	planner.reservations = reservations{}
	planner.maintenance.reset()
	for _, job := range planner.jobs {
		job.reset()
		planner.updateOpenJobs(job)
	}
	planner.emit(messenger.FollowMinions{Enabled: false})
}

func (planner *Planner) handleJournalFenced(now time.Time, event messenger.JournalFenced) {
	if event.Token != planner.holder.token {
		return
	}
	if event.Err == nil {
		planner.holder.isFenced, planner.holder.fenceOffset = true, event.End
		planner.activateIfReady(now)
		return
	}
	if event.Err.Code == classifier.StaleTerm {
		planner.emit(messenger.HolderFenced{Token: event.Token})
		planner.stepDown()
		return
	}
	planner.emit(messenger.Count{Counter: messenger.Retries, Reason: "fence-journal"})
	planner.emit(messenger.FenceJournal{Token: event.Token})
}

// begin makes the holder active once it has read all that former holders
// recorded.
func (planner *Planner) activateIfReady(now time.Time) {
	if planner.holder.active || !planner.holder.isFenced || planner.journalEnd < planner.holder.fenceOffset {
		return
	}
	planner.holder.active = true
	planner.lastRunNumber = uint64(planner.holder.token) << runNumberBits
	for _, id := range slices.Sorted(maps.Keys(planner.jobs)) {
		job := planner.jobs[id]
		planner.updateOpenJobs(job)
		if job.isOpen() && job.mayHaveStarted {
			planner.holder.unresolvedTasks += job.markInheritedTasks()
		}
		if job.submitted && job.withdrawn && !job.state.IsFinal() {
			planner.cancelJob(now, job)
		}
	}
	planner.holder.reconciled = planner.holder.unresolvedTasks == 0
	planner.holder.allPolled, planner.holder.allEndsProcessed = planner.holder.reconciled, planner.holder.reconciled
	planner.emitDecision(string(planner.node), "holder-active", "the journal is read",
		fmt.Sprintf("unaccounted-tasks=%d journal-end=%d", planner.holder.unresolvedTasks, planner.journalEnd), now.Sub(planner.holder.claimedAt))
	for _, minion := range planner.minions {
		minion.nextPollAt = now
	}
	planner.passNeeded = true
}

// leaseBarrier is how long after a claim a lease of the former holder may last
// on a minion whose clock is slow.
const formerLeaseLimit = time.Duration(float64(leaseDuration)*slowClockFactor) + leaseExpiryMargin

// lastEnds is the time for the looks that bring the ends which were postponed.
const postponedEndsTime = 3 * pollRetryDelay

// runBits leaves room for the runs of one claim below its token, so that the
// numbers of runs rise from one holder to the next without a record.
const runNumberBits = 20

// inherit marks the tasks of a job that a former holder may have started, and
// returns their number.
func (job *job) markInheritedTasks() int {
	count := 0
	for _, occurrence := range job.occurrences {
		for _, step := range occurrence.steps {
			for index := range step.tasks {
				if !step.tasks[index].done {
					step.tasks[index].unresolved = true
					count++
				}
			}
		}
	}
	return count
}

// account notes that it is known where a task runs or how it ended.
func (planner *Planner) markResolved(task *task) {
	if task.unresolved {
		task.unresolved = false
		planner.holder.unresolvedTasks--
	}
}

// confirm notes that all registered minions have told what they run. The ends
// that they listed are taken only then, and only then count as the last ones of
// their tasks: the former holder may have started such a task again elsewhere.
func (planner *Planner) updatePolled(now time.Time) {
	if planner.holder.allEndsProcessed || len(planner.minions) == 0 {
		return
	}
	deadlinePassed := !now.Before(planner.holder.claimedAt.Add(formerLeaseLimit))
	polled, processed := true, true
	for _, minion := range planner.minions {
		polled = polled && (minion.polled || !minion.registered || deadlinePassed)
		processed = processed && !minion.hasPostponedEnds
	}
	if polled && !planner.holder.allPolled {
		planner.holder.allPolled = true
		for _, minion := range planner.minions {
			if minion.hasPostponedEnds && !minion.polling {
				minion.nextPollAt = now
			}
		}
	}
	if !planner.holder.allPolled || !processed {
		return
	}
	planner.holder.allEndsProcessed = true
	planner.forEachOpenTask(func(task *task) {
		if task.endListed {
			planner.markResolved(task)
		}
	})
	planner.passNeeded = true
}

// settle ends the time in which runs of a former holder may be unknown. The
// list of minions can't end it sooner: entries run out while the store is away
// or a minion is cut off from it, and the minion works on.
func (planner *Planner) reconcile(now time.Time) {
	if planner.holder.reconciled {
		return
	}
	planner.updatePolled(now)
	if planner.holder.unresolvedTasks > 0 && now.Before(planner.holder.claimedAt.Add(formerLeaseLimit+postponedEndsTime)) {
		return
	}
	planner.holder.reconciled = true
	planner.passNeeded = true
	planner.emitDecision(string(planner.node), "holder-settled", "the leases of the former holder have lapsed",
		fmt.Sprintf("unaccounted-tasks=%d", planner.holder.unresolvedTasks), now.Sub(planner.holder.claimedAt))
	planner.forEachOpenTask(planner.markResolved)
}

func (planner *Planner) forEachOpenTask(visit func(*task)) {
	for _, job := range planner.openJobs {
		for _, occurrence := range job.occurrences {
			for _, step := range occurrence.steps {
				for index := range step.tasks {
					visit(&step.tasks[index])
				}
			}
		}
	}
}
