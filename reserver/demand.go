package reserver

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// Step identifies a step of one execution of a job.
type Step struct {
	Job        identifier.Job
	Occurrence int
	Number     int
}

// Demand is what a step needs whose tasks start together.
type Demand struct {
	Step     Step
	Priority int
	// Yields means that the step ranks after the others of its priority.
	Yields bool
	// WaitingSince is the time since which the step has waited.
	WaitingSince time.Time
	Tasks        int
	Request      specifier.Resources
	// MaxPerMinion is the limit on tasks per minion.
	MaxPerMinion int
	// SameRack means that all tasks must run on one rack.
	SameRack bool
	// RunTime is the declared run time of a task.
	RunTime time.Duration
	// CanRunOn reports whether the step may run on the minion with an index.
	CanRunOn func(index int) bool
}

// compareRank orders demands by priority, then those that yield last, then by age.
func compareRank(one, other *Demand) int {
	return cmp.Or(
		cmp.Compare(one.Priority, other.Priority), compareYields(one, other), one.WaitingSince.Compare(other.WaitingSince),
		strings.Compare(string(one.Step.Job), string(other.Step.Job)),
		cmp.Compare(one.Step.Occurrence, other.Step.Occurrence), cmp.Compare(one.Step.Number, other.Step.Number),
	)
}

func compareYields(one, other *Demand) int {
	switch {
	case one.Yields == other.Yields:
		return 0
	case one.Yields:
		return 1
	default:
		return -1
	}
}

// slot is the time at which a minion has room for one more task of a demand.
type slot struct {
	at     time.Time
	minion int
}

func compareSlots(one, other slot) int {
	return cmp.Or(one.at.Compare(other.at), cmp.Compare(one.minion, other.minion))
}

// pool is the minions of one plan, with the indexes of all and of those on each rack.
type pool struct {
	minions []*Minion
	all     []int
	racks   [][]int
}

func newPool(minions []*Minion) *pool {
	pool := &pool{minions: minions, all: make([]int, len(minions))}
	rackIndexes := make(map[identifier.Rack]int)
	for index, minion := range minions {
		pool.all[index] = index
		rackIndex, isKnown := rackIndexes[minion.Rack]
		if !isKnown {
			rackIndex = len(pool.racks)
			rackIndexes[minion.Rack] = rackIndex
			pool.racks = append(pool.racks, nil)
		}
		pool.racks[rackIndex] = append(pool.racks[rackIndex], index)
	}
	return pool
}

// earliestSlots returns the slots of the earliest time at which all tasks of the demand have
// room, nil if they never have.
func (demand *Demand) earliestSlots(now time.Time, pool *pool) []slot {
	if !demand.SameRack {
		return demand.slotsOn(now, pool, pool.all)
	}
	var best []slot
	for _, rack := range pool.racks {
		slots := demand.slotsOn(now, pool, rack)
		if slots != nil && (best == nil || slots[len(slots)-1].at.Before(best[len(best)-1].at)) {
			best = slots
		}
	}
	return best
}

// keptSlotsFactor is how many slots are collected before the later ones are discarded, in
// multiples of the tasks.
const keptSlotsFactor = 4

// slotsOn returns the earliest slots on some of the minions, in the order of time, nil if
// there are fewer than tasks.
func (demand *Demand) slotsOn(now time.Time, pool *pool, indexes []int) []slot {
	slots := make([]slot, 0, (keptSlotsFactor+1)*demand.Tasks)
	var latest time.Time // slots at or after this time are not needed, zero while all are
	for _, index := range indexes {
		if !demand.CanRunOn(index) {
			continue
		}
		slots = demand.appendSlots(slots, now, index, pool.minions[index], latest)
		if len(slots) > keptSlotsFactor*demand.Tasks {
			slices.SortFunc(slots, compareSlots)
			slots = slots[:demand.Tasks]
			latest = slots[demand.Tasks-1].at
		}
	}
	if len(slots) < demand.Tasks {
		return nil
	}
	slices.SortFunc(slots, compareSlots)
	return slots[:demand.Tasks]
}

// appendSlots appends the slots on a minion before a time.
func (demand *Demand) appendSlots(slots []slot, now time.Time, index int, minion *Minion, latest time.Time) []slot {
	limit := min(demand.MaxPerMinion, demand.Tasks)
	free, at := minion.Free, now
	count := 0
	for next := 0; ; next++ {
		if !latest.IsZero() && !at.Before(latest) {
			return slots
		}
		for fitting := free.Fit(demand.Request, limit); count < fitting; count++ {
			slots = append(slots, slot{at: at, minion: index})
		}
		if count >= limit || next >= len(minion.Ends) {
			return slots
		}
		free, at = free.Add(minion.Ends[next].Frees), minion.Ends[next].At
	}
}
