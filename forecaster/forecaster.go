// Package forecaster forecasts when runs end and when minions have capacity for more tasks. The
// caller fills a table of minions and of the runs on them. The forecasts are independent of how
// tasks are placed: a forecast knows neither an order of demands nor reservations.
package forecaster

import (
	"cmp"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// Minion is a minion that accepts runs.
type Minion struct {
	Rack identifier.Rack
	// Capacity is the minion's whole capacity, Free what is free now. Fields of Free may be
	// negative.
	Capacity, Free specifier.Resources
}

// Forecaster forecasts when minions have free capacity, as of one time. Once its table is filled, it
// answers any number of questions. It is for one goroutine.
type Forecaster struct {
	now     time.Time
	minions []Minion
	// racks are the indexes of the minions' racks, in the order of first use.
	racks     []int
	rackIndex map[identifier.Rack]int
	runs      []run
	// ends are the expected ends of the runs, earliest first if isSorted. They are small, because
	// sorting them is most of the cost of a forecast.
	ends     []end
	isSorted bool
	weight   int
}

// run is the capacity that a run frees on a minion when it ends.
type run struct {
	minion int
	frees  specifier.Resources
}

// end is the expected end of the run with an index, as the time from now on.
type end struct {
	after time.Duration
	run   int
}

// Demand is what a step needs to start.
type Demand struct {
	// Tasks is how many tasks start together.
	Tasks   int
	Request specifier.Resources
	// MaxPerMinion is the limit on tasks per minion.
	MaxPerMinion int
	// IsOnOneRack means that all tasks must run on one rack, on Rack if that is not empty.
	IsOnOneRack bool
	Rack        identifier.Rack
	// CanRunOn reports whether the step may run on the minion with an index. Nil stands for all.
	CanRunOn func(minion int) bool
	// ReservedOn returns the capacity that a minion has for the step alone, beside what is free.
	// Nil stands for none.
	ReservedOn func(minion int) specifier.Resources
}

// New returns a forecaster without minions as of a time.
func New(now time.Time) *Forecaster {
	return &Forecaster{now: now, rackIndex: make(map[identifier.Rack]int)}
}

// AddMinion adds a minion to the table, and returns its index. Indexes count from zero.
func (forecaster *Forecaster) AddMinion(minion Minion) int {
	rack, isKnown := forecaster.rackIndex[minion.Rack]
	if !isKnown {
		rack = len(forecaster.rackIndex)
		forecaster.rackIndex[minion.Rack] = rack
	}
	forecaster.minions, forecaster.racks = append(forecaster.minions, minion), append(forecaster.racks, rack)
	forecaster.weight += minion.Capacity.Weight()
	return len(forecaster.minions) - 1
}

// AddRun adds a run on a minion to the table, with the capacity that its end frees.
func (forecaster *Forecaster) AddRun(minion int, known Run, frees specifier.Resources) {
	if at, ok := known.CautiousEnd(forecaster.now); ok {
		forecaster.ends = append(forecaster.ends, end{after: at.Sub(forecaster.now), run: len(forecaster.runs)})
		forecaster.runs = append(forecaster.runs, run{minion: minion, frees: frees})
		forecaster.isSorted = false
	}
}

// TimeFor returns how long the minions need for a number of core-seconds, with an accelerator as
// specifier.AcceleratorWeight, if they do nothing else. It returns zero without minions.
func (forecaster *Forecaster) TimeFor(coreSeconds float64) time.Duration {
	if forecaster.weight == 0 {
		return 0
	}
	return time.Duration(coreSeconds * specifier.MilliPerCore / float64(forecaster.weight) * float64(time.Second))
}

// RoomAt returns when there is capacity for a demand, false if the runs that end do not free
// enough. Other demands are not considered.
func (forecaster *Forecaster) RoomAt(demand *Demand) (time.Time, bool) {
	room := forecaster.newRoom(demand)
	for minion := range forecaster.minions {
		if room.open(minion) {
			return forecaster.now, true
		}
	}
	forecaster.sortEnds()
	for _, end := range forecaster.ends {
		if room.add(forecaster.runs[end.run]) {
			return forecaster.now.Add(end.after), true
		}
	}
	return time.Time{}, false
}

func (forecaster *Forecaster) sortEnds() {
	if !forecaster.isSorted {
		slices.SortFunc(forecaster.ends, func(one, other end) int { return cmp.Compare(one.after, other.after) })
		forecaster.isSorted = true
	}
}
