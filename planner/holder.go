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
type holding struct {
	token       identifier.Term
	confirmedAt time.Time
	// began is when the claim was taken.
	began time.Time
	// fenceAt is when the journal is fenced again, zero if a fence is under way or done.
	fenceAt time.Time
	// fenceEnd is the offset that must be read before the holder is active, zero
	// before the journal is fenced.
	fenceEnd identifier.Offset
	isFenced bool
	// active means that all that former holders recorded is known.
	active bool
	// unaccounted counts the tasks that a former holder may have started on a
	// minion that has not been heard of.
	unaccounted int
	// confirmed means that all registered minions have answered once.
	confirmed bool
	// accounted means that the ends that they listed then are taken.
	accounted bool
	// settled means that there are no such tasks, or their leases have lapsed.
	settled bool
}

// sure reports whether no other node can have claimed yet.
func (hold *holding) sure(now time.Time) bool {
	return hold.active && now.Sub(hold.confirmedAt) <= sureFor
}

func (planner *Planner) changeHolder(now time.Time, event messenger.HolderChanged) {
	switch {
	case event.Token == 0 && planner.hold.token != 0:
		planner.resign()
	case event.Token == 0:
	case event.Token == planner.hold.token:
		planner.hold.confirmedAt = event.ConfirmedAt
	default:
		if planner.hold.token != 0 {
			planner.resign()
		}
		planner.hold = holding{token: event.Token, confirmedAt: event.ConfirmedAt, began: now}
		planner.emit(messenger.FenceJournal{Token: event.Token})
		planner.emit(messenger.FollowMinions{Enabled: true})
	}
}

// resign forgets all that only the holder knows, also ends that it has not
// recorded: the next holder is told of them by the minions.
func (planner *Planner) resign() {
	planner.hold = holding{}
	planner.minions, planner.byName = make(map[identifier.Minion]*minion), nil
	planner.orders = make(map[uint64]*run)
	planner.recording = newRecording()
	planner.advising = advising{}
	planner.reservations = reservations{}
	planner.upkeep.resign()
	for _, known := range planner.jobs {
		known.reset()
		planner.attach(known)
	}
	planner.emit(messenger.FollowMinions{Enabled: false})
}

func (planner *Planner) fenced(now time.Time, event messenger.JournalFenced) {
	if event.Token != planner.hold.token {
		return
	}
	if event.Err == nil {
		planner.hold.isFenced, planner.hold.fenceEnd = true, event.End
		planner.begin(now)
		return
	}
	if event.Err.Code == classifier.StaleTerm {
		planner.emit(messenger.HolderFenced{Token: event.Token})
		planner.resign()
		return
	}
	planner.emit(messenger.Count{Counter: messenger.Retries, Reason: "fence-journal"})
	planner.emit(messenger.FenceJournal{Token: event.Token})
}

// begin makes the holder active once it has read all that former holders
// recorded.
func (planner *Planner) begin(now time.Time) {
	if planner.hold.active || !planner.hold.isFenced || planner.journalEnd < planner.hold.fenceEnd {
		return
	}
	planner.hold.active = true
	planner.lastRun = uint64(planner.hold.token) << runBits
	for _, id := range slices.Sorted(maps.Keys(planner.jobs)) {
		known := planner.jobs[id]
		planner.attach(known)
		if known.open() && known.begun {
			planner.hold.unaccounted += known.inherit()
		}
		if known.submitted && known.withdrawn && !known.state.IsFinal() {
			planner.cancel(now, known)
		}
	}
	planner.hold.settled = planner.hold.unaccounted == 0
	planner.hold.confirmed, planner.hold.accounted = planner.hold.settled, planner.hold.settled
	planner.decide(string(planner.node), "holder-active", "the journal is read",
		fmt.Sprintf("unaccounted-tasks=%d journal-end=%d", planner.hold.unaccounted, planner.journalEnd), now.Sub(planner.hold.began))
	for _, minion := range planner.minions {
		minion.lookAt = now
	}
	planner.changed = true
}

// leaseBarrier is how long after a claim a lease of the former holder may last
// on a minion whose clock is slow.
const leaseBarrier = time.Duration(float64(leaseTime)*slowestClock) + lapseMargin

// lastEnds is the time for the looks that bring the ends which were postponed.
const lastEnds = 3 * lookAgain

// runBits leaves room for the runs of one claim below its token, so that the
// numbers of runs rise from one holder to the next without a record.
const runBits = 20

// inherit marks the tasks of a job that a former holder may have started, and
// returns their number.
func (job *job) inherit() int {
	count := 0
	for _, occurrence := range job.occurrences {
		for _, step := range occurrence.steps {
			for index := range step.tasks {
				if !step.tasks[index].done {
					step.tasks[index].unaccounted = true
					count++
				}
			}
		}
	}
	return count
}

// account notes that it is known where a task runs or how it ended.
func (planner *Planner) account(task *task) {
	if task.unaccounted {
		task.unaccounted = false
		planner.hold.unaccounted--
	}
}

// confirm notes that all registered minions have told what they run. The ends
// that they listed are taken only then, and only then count as the last ones of
// their tasks: the former holder may have started such a task again elsewhere.
func (planner *Planner) confirm(now time.Time) {
	if planner.hold.accounted || len(planner.minions) == 0 {
		return
	}
	late := !now.Before(planner.hold.began.Add(leaseBarrier))
	answered, taken := true, true
	for _, minion := range planner.minions {
		answered = answered && (minion.confirmed || !minion.listed || late)
		taken = taken && !minion.postponed
	}
	if answered && !planner.hold.confirmed {
		planner.hold.confirmed = true
		for _, minion := range planner.minions {
			if minion.postponed && !minion.looking {
				minion.lookAt = now
			}
		}
	}
	if !planner.hold.confirmed || !taken {
		return
	}
	planner.hold.accounted = true
	planner.eachLiveTask(func(task *task) {
		if task.heard {
			planner.account(task)
		}
	})
	planner.changed = true
}

// settle ends the time in which runs of a former holder may be unknown. The
// list of minions can't end it sooner: entries run out while the store is away
// or a minion is cut off from it, and the minion works on.
func (planner *Planner) settle(now time.Time) {
	if planner.hold.settled {
		return
	}
	planner.confirm(now)
	if planner.hold.unaccounted > 0 && now.Before(planner.hold.began.Add(leaseBarrier+lastEnds)) {
		return
	}
	planner.hold.settled = true
	planner.changed = true
	planner.decide(string(planner.node), "holder-settled", "the leases of the former holder have lapsed",
		fmt.Sprintf("unaccounted-tasks=%d", planner.hold.unaccounted), now.Sub(planner.hold.began))
	planner.eachLiveTask(planner.account)
}

func (planner *Planner) eachLiveTask(visit func(*task)) {
	for _, known := range planner.live {
		for _, occurrence := range known.occurrences {
			for _, step := range occurrence.steps {
				for index := range step.tasks {
					visit(&step.tasks[index])
				}
			}
		}
	}
}
