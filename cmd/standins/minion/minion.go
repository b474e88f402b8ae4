// Package minion is the stand-in of a back-end server of a service.
package minion

import (
	"math/rand/v2"
)

// Mode is how a minion responds to requests.
type Mode string

// Modes of a minion.
const (
	// Healthy serves requests.
	Healthy Mode = "healthy"
	// Dead aborts every connection.
	Dead Mode = "dead"
	// Unresponsive accepts requests and never responds.
	Unresponsive Mode = "silent"
	// Leaving finishes open requests and refuses new ones.
	Leaving Mode = "leaving"
	// Failing executes every request and responds with an error.
	Failing Mode = "failing"
)

// Faults are the faults of a minion. The zero value means none.
type Faults struct {
	Mode Mode
	// Truncated is the fraction of answers, 0 to 1, that are truncated.
	Truncated float64
	// Crossed is the fraction of answers, 0 to 1, that are replaced by the answer
	// to an earlier request.
	Crossed float64
	// LostAnswers is the fraction of calls, 0 to 1, whose connection is aborted
	// after the execution, without an answer.
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

// Counts holds the counters of a minion.
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

// BeginCall occupies a slot. It returns false if all slots are busy or the minion
// is leaving.
func (minion *Minion) BeginCall() bool {
	if minion.busy >= minion.slots || minion.faults.Mode == Leaving {
		minion.counts.RefusedBusy++
		return false
	}
	minion.busy++
	minion.counts.PeakBusy = max(minion.counts.PeakBusy, minion.busy)
	return true
}

// Damage is the fault that is applied to one answer.
type Damage uint8

// Damages of an answer.
const (
	Intact Damage = iota
	Truncated
	Crossed
	Lost
)

// EndCall frees the slot and draws the damage of the answer. It returns the answer
// to send, which may be the answer to an earlier request.
func (minion *Minion) EndCall(answer Answer) (Answer, Damage) {
	minion.busy--
	minion.counts.Served++
	previous := minion.previous
	minion.previous = &answer
	switch {
	case minion.random.Float64() < minion.faults.LostAnswers:
		minion.counts.LostAnswers++
		return answer, Lost
	case minion.random.Float64() < minion.faults.Truncated:
		minion.counts.Truncated++
		return answer, Truncated
	case previous != nil && minion.random.Float64() < minion.faults.Crossed:
		minion.counts.Crossed++
		return *previous, Crossed
	}
	return answer, Intact
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
