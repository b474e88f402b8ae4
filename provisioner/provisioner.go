// Package provisioner decides how much capacity of a pool stays free for urgent work, and on
// which minions.
//
// It answers this load: a full pool in which urgent jobs keep coming whose objective leaves them
// hardly more time than the stop of other runs takes. Without headroom each of them waits for
// such stops, and each stop loses work. The headroom holds what arrives in that time, as far as
// the newest arrivals tell, so that jobs take free capacity and others refill it as their runs end.
//
// All functions get the time as an argument. The types are not safe for concurrent use.
package provisioner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// rateTime is the time constant of the rate of arrivals. A burst of some seconds has to show
	// within its first second, and the gaps between single jobs must not.
	rateTime = 4 * time.Second
	// arrivalFactor covers jobs that arrive together, which the mean rate does not show.
	arrivalFactor = 2
	// maxShare bounds the headroom, so that a flood of urgent jobs leaves most of the pool to
	// the others.
	maxShare = 0.25
)

// Minion is a minion that accepts runs.
type Minion struct {
	// Weight is its whole capacity, Free what is free now.
	Weight, Free int
	// IsReserved means that a waiting step counts on its capacity.
	IsReserved bool
}

// Provisioner sizes the headroom of one pool.
type Provisioner struct {
	leadTime time.Duration
	// recent is the weight of the arrivals, each of which decays with rateTime.
	recent    float64
	updatedAt time.Time
}

// New returns a Provisioner for a pool in which it takes leadTime until a stop has freed capacity.
func New(leadTime time.Duration) *Provisioner { return &Provisioner{leadTime: leadTime} }

// AddArrival adds the weight of urgent work that has arrived.
func (provisioner *Provisioner) AddArrival(now time.Time, weight int) {
	provisioner.decay(now)
	provisioner.recent += float64(weight)
}

func (provisioner *Provisioner) decay(now time.Time) {
	if elapsed := now.Sub(provisioner.updatedAt); !provisioner.updatedAt.IsZero() && elapsed > 0 {
		provisioner.recent *= math.Exp(-elapsed.Seconds() / rateTime.Seconds())
	}
	provisioner.updatedAt = now
}

// Target returns the weight of the work that is expected to arrive while capacity is being freed.
func (provisioner *Provisioner) Target(now time.Time) float64 {
	provisioner.decay(now)
	return arrivalFactor * provisioner.recent * provisioner.leadTime.Seconds() / rateTime.Seconds()
}

// Choose returns the indexes of the minions on which only urgent work is started. They are whole
// minions, because urgent tasks may need a whole one, and those with the most free capacity, so that
// the same ones empty further from one call to the next.
func (provisioner *Provisioner) Choose(now time.Time, minions []Minion) []int {
	total := 0
	for _, minion := range minions {
		total += minion.Weight
	}
	target := provisioner.Target(now)
	if total == 0 || target < 1 {
		return nil
	}
	count := int(math.Ceil(target * float64(len(minions)) / float64(total)))
	count = min(count, int(maxShare*float64(len(minions))))
	indexes := make([]int, len(minions))
	for index := range indexes {
		indexes[index] = index
	}
	slices.SortFunc(indexes, func(one, other int) int {
		return cmp.Or(compareBool(minions[one].IsReserved, minions[other].IsReserved), cmp.Compare(minions[other].Free, minions[one].Free), cmp.Compare(one, other))
	})
	return indexes[:count]
}

func compareBool(one, other bool) int {
	switch {
	case one == other:
		return 0
	case other:
		return -1
	}
	return 1
}
