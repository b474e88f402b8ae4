// Package limiter counts the slots and connections of one minion.
package limiter

import "corianderroad/estimator"

// Limits are the bounds of one minion.
type Limits struct {
	// Slots is the number of requests that the minion runs at the same time.
	Slots int
	// LongSlots is how many of them long requests may take. The rest is
	// reserved for short requests.
	LongSlots int
	// Connections is the number of connections that one owner may hold open.
	Connections int
}

// Limiter holds the busy slots of one minion as its owner knows them. The zero
// value admits nothing. It is not safe for concurrent use.
type Limiter struct {
	limits  Limits
	running [estimator.Classes]int
	// foreign is the number of slots that are busy with requests that the owner
	// did not dispatch or whose end it can no longer observe.
	foreign int
}

// New returns a Limiter without busy slots.
func New(limits Limits) Limiter { return Limiter{limits: limits} }

// SetLimits changes the bounds. Requests above a lower bound run on.
func (limiter *Limiter) SetLimits(limits Limits) { limiter.limits = limits }

// Admits says whether a request of the class may start now.
func (limiter *Limiter) Admits(class estimator.Class) bool {
	if limiter.Open() >= limiter.limits.Connections || limiter.Free() <= 0 {
		return false
	}
	// The class of foreign requests is not known. Counting them as long keeps
	// the reservation whole after a takeover.
	return class == estimator.Short || limiter.running[estimator.Long]+limiter.foreign < limiter.limits.LongSlots
}

// Take occupies a slot.
func (limiter *Limiter) Take(class estimator.Class) { limiter.running[class]++ }

// Release frees a slot that Take occupied.
func (limiter *Limiter) Release(class estimator.Class) { limiter.running[class]-- }

// Reclassify counts a running short request as long, after it has run longer
// than the bound of its class.
func (limiter *Limiter) Reclassify() {
	limiter.running[estimator.Short]--
	limiter.running[estimator.Long]++
}

// MarkForeign counts the slot of a request as foreign whose end the owner can no
// longer observe.
func (limiter *Limiter) MarkForeign(class estimator.Class) {
	limiter.Release(class)
	limiter.foreign++
}

// SetForeign sets the number of slots that others keep busy.
func (limiter *Limiter) SetForeign(foreign int) { limiter.foreign = max(0, foreign) }

// Foreign returns the number of slots that others keep busy.
func (limiter *Limiter) Foreign() int { return limiter.foreign }

// Open returns the number of requests of this owner that run.
func (limiter *Limiter) Open() int {
	return limiter.running[estimator.Short] + limiter.running[estimator.Long]
}

// Busy returns the number of busy slots.
func (limiter *Limiter) Busy() int { return limiter.Open() + limiter.foreign }

// Free returns the number of slots for short requests.
func (limiter *Limiter) Free() int { return max(0, limiter.limits.Slots-limiter.Busy()) }

// Slots returns the bound on slots.
func (limiter *Limiter) Slots() int { return limiter.limits.Slots }
