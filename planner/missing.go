package planner

import (
	"slices"
	"time"

	"corianderroad/messenger"
)

// missingMinion is a minion that was removed because it was neither listed nor reachable.
type missingMinion struct {
	minion *minion
	since  time.Time
}

// missingMinions are those of the last time. The next life of one shows that it has ended.
type missingMinions []missingMinion

// add adds a minion that is removed.
func (missing *missingMinions) add(now time.Time, minion *minion) {
	*missing = slices.DeleteFunc(*missing, func(known missingMinion) bool { return now.Sub(known.since) > silenceRetention })
	if len(minion.lostRuns) > 0 {
		*missing = append(*missing, missingMinion{minion, now})
	}
}

// find returns the minion of which a report shows a later life, nil if there is none.
func (missing *missingMinions) find(report *messenger.MinionReport) *minion {
	for _, known := range *missing {
		if known.minion.placement(0).isFollowedBy(report) {
			return known.minion
		}
	}
	return nil
}

// take removes the minion that a report shows again, by its name or at its address. It returns
// the minion if the report is that of a later life, nil otherwise.
func (missing *missingMinions) take(report *messenger.MinionReport) *minion {
	index := slices.IndexFunc(*missing, func(known missingMinion) bool {
		former := &known.minion.report
		return former.Minion == report.Minion || former.Address == report.Address
	})
	if index < 0 {
		return nil
	}
	found := (*missing)[index].minion
	*missing = slices.Delete(*missing, index, index+1)
	if !found.placement(0).isFollowedBy(report) {
		return nil
	}
	return found
}
