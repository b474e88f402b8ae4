// Package minion is the stand-in of a back end of a service.
package minion

import (
	"math/rand/v2"
)

// Mode is how a minion treats every request.
type Mode string

// Modes of a minion.
const (
	// Healthy serves.
	Healthy Mode = "healthy"
	// Dead breaks every connection.
	Dead Mode = "dead"
	// Silent accepts requests and never answers.
	Silent Mode = "silent"
	// Leaving finishes open requests and refuses new ones.
	Leaving Mode = "leaving"
	// Failing executes every request and answers that it failed.
	Failing Mode = "failing"
)

// Faults is what is wrong with a minion. The zero value is healthy.
type Faults struct {
	Mode Mode
	// Truncated is the part of answers, 0 to 1, that are cut.
	Truncated float64
	// Crossed is the part of answers, 0 to 1, in place of which the answer to
	// an earlier request is sent.
	Crossed float64
	// LostAnswers is the part of answers, 0 to 1, in place of which the
	// connection breaks after the execution.
	LostAnswers float64
}

// Minion is the state of a minion. It is not safe for concurrent use.
type Minion struct {
	slots    int
	busy     int
	faults   Faults
	random   *rand.Rand
	previous *Answer
	counts   Counts
}

// Counts is what a minion reports about itself.
type Counts struct {
	Served      uint64 `json:"served"`
	RefusedBusy uint64 `json:"refused-busy"`
	Busy        int    `json:"busy"`
	PeakBusy    int    `json:"peak-busy"`
	Truncated   uint64 `json:"truncated"`
	Crossed     uint64 `json:"crossed"`
	LostAnswers uint64 `json:"lost-answers"`
}

// NewMinion returns an idle minion with a number of slots.
func NewMinion(slots int, seed uint64) *Minion {
	return &Minion{slots: slots, random: rand.New(rand.NewPCG(seed, 1))}
}

// Inject replaces the faults.
func (minion *Minion) Inject(faults Faults) { minion.faults = faults }

// Counts returns the minion's counters.
func (minion *Minion) Counts() Counts {
	counts := minion.counts
	counts.Busy = minion.busy
	return counts
}

// Begin takes a slot. It returns false if all are busy or the minion leaves.
func (minion *Minion) Begin() bool {
	if minion.busy >= minion.slots || minion.faults.Mode == Leaving {
		minion.counts.RefusedBusy++
		return false
	}
	minion.busy++
	minion.counts.PeakBusy = max(minion.counts.PeakBusy, minion.busy)
	return true
}

// Damage is what happens to one answer.
type Damage uint8

// Damages of an answer.
const (
	Whole Damage = iota
	Truncated
	Crossed
	Lost
)

// End frees the slot and draws what happens to the answer. The answer that is
// sent may be that to an earlier request.
func (minion *Minion) End(own Answer) (Answer, Damage) {
	minion.busy--
	minion.counts.Served++
	previous := minion.previous
	minion.previous = &own
	switch {
	case minion.random.Float64() < minion.faults.LostAnswers:
		minion.counts.LostAnswers++
		return own, Lost
	case minion.random.Float64() < minion.faults.Truncated:
		minion.counts.Truncated++
		return own, Truncated
	case previous != nil && minion.random.Float64() < minion.faults.Crossed:
		minion.counts.Crossed++
		return *previous, Crossed
	}
	return own, Whole
}

// Add returns the sum of two counts; PeakBusy is the higher of both.
func (counts Counts) Add(other Counts) Counts {
	return Counts{
		Served:      counts.Served + other.Served,
		RefusedBusy: counts.RefusedBusy + other.RefusedBusy,
		Busy:        counts.Busy + other.Busy,
		PeakBusy:    max(counts.PeakBusy, other.PeakBusy),
		Truncated:   counts.Truncated + other.Truncated,
		Crossed:     counts.Crossed + other.Crossed,
		LostAnswers: counts.LostAnswers + other.LostAnswers,
	}
}
