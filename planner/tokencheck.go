package planner

import "time"

// tokenCheckInterval is the time between two polls by which a holder without a confirmed
// claim finds out whether a minion has a newer token.
const tokenCheckInterval = 100 * time.Millisecond

// tokenCheck polls the minions in turn while the claim is not confirmed. A holder that
// can't reach the store renews leases, so that an outage ends no runs. If another node
// has claimed, the first of the minions that it has polled refuses the token.
type tokenCheck struct {
	nextAt time.Time
	// lastIndex is the index in the order of names of the minion that was polled last.
	lastIndex int
}

// checkToken polls the next minion for which no poll is pending.
func (planner *Planner) checkToken(now time.Time) {
	check := &planner.tokenCheck
	if planner.holder.isClaimValid(now) || now.Before(check.nextAt) {
		return
	}
	check.nextAt = now.Add(tokenCheckInterval)
	minions := planner.sortedMinions()
	for range minions {
		check.lastIndex = (check.lastIndex + 1) % len(minions)
		if minion := minions[check.lastIndex]; !minion.polling {
			planner.pollRuns(now, minion)
			return
		}
	}
}
