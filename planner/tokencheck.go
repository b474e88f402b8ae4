package planner

import (
	"slices"
	"time"
)

const (
	// tokenCheckInterval is the time between two polls by which a holder without a
	// confirmed claim finds out whether a minion has a newer token.
	tokenCheckInterval = 100 * time.Millisecond
	// maxCheckedMinions and minCheckedMinions bound the number of minions, the last ones in
	// turn, from whose answers such a holder concludes whether it is cut off.
	maxCheckedMinions = 16
	minCheckedMinions = 3
	// checkStride is the distance between two minions that are checked one after the other,
	// in the order of names. Neighbours often share a rack, and with it its failures.
	checkStride = 7
)

// tokenCheck polls the minions in turn while the claim is not confirmed. A holder that
// can't reach the store renews leases, so that an outage ends no runs. If another node
// has claimed, the first of the minions that it has polled refuses the token. A holder
// that is cut off from most minions as well may never hear of it, and renews no leases.
type tokenCheck struct {
	nextAt time.Time
	// lastIndex is the index in the order of names of the minion that was checked last.
	lastIndex int
	// checked are the minions that were checked last, and when.
	checked []checkedMinion
	// isCutOff means that half of the checked minions, or more, brought no answer. It
	// holds until only a quarter of them brings none, or the claim is confirmed.
	isCutOff bool
}

type checkedMinion struct {
	minion *minion
	at     time.Time
}

// checkToken checks the next minion. It polls it unless a poll is pending.
func (planner *Planner) checkToken(now time.Time) {
	check := &planner.tokenCheck
	if planner.holder.isClaimValid(now) {
		check.checked, check.isCutOff = nil, false
		return
	}
	if now.Before(check.nextAt) || len(planner.minions) == 0 {
		return
	}
	check.nextAt = now.Add(tokenCheckInterval)
	minions := planner.sortedMinions()
	stride := checkStride
	if len(minions)%checkStride == 0 {
		stride = 1 // the other one would leave minions out
	}
	check.lastIndex = (check.lastIndex + stride) % len(minions)
	next := minions[check.lastIndex]
	check.checked = append(check.checked, checkedMinion{next, now})
	check.conclude(now, len(minions))
	if !next.polling {
		planner.pollRuns(now, next)
	}
}

// conclude updates whether the holder is cut off, from those of the checked minions that
// have had the time to answer. No minion counts twice.
func (check *tokenCheck) conclude(now time.Time, minions int) {
	due := slices.IndexFunc(check.checked, func(checked checkedMinion) bool { return now.Sub(checked.at) < answerTimeout })
	if due < 0 {
		due = len(check.checked)
	}
	counted := min(due, maxCheckedMinions, minions)
	check.checked = check.checked[due-counted:]
	if counted < minCheckedMinions {
		return
	}
	silent := 0
	for _, checked := range check.checked[:counted] {
		if checked.minion.unresponsive {
			silent++
		}
	}
	check.isCutOff = 2*silent >= counted || (check.isCutOff && 4*silent > counted)
}
