// Package limiter bounds the requests that run on one minion by its slots and
// connections.
package limiter

import "corianderroad/estimator"

// Limits are the bounds of one minion.
type Limits struct {
	// Slots is the number of requests that the minion runs at the same time.
	Slots int
	// LongSlots is the number of slots that long requests may occupy. The rest is
	// reserved for short requests.
	LongSlots int
	// Connections is the number of connections that one owner may hold open.
	Connections int
}

// Limiter counts the busy slots of one minion from the view of its owner. The
// zero value admits nothing. It is not safe for concurrent use.
type Limiter struct {
	limits  Limits
	running [estimator.ClassCount]int
	// foreign is the number of slots that are busy with requests that the owner
	// did not dispatch or whose end it can no longer observe.
	foreign int
}

// New returns a Limiter without busy slots.
func New(limits Limits) Limiter { return Limiter{limits: limits} }

// SetLimits changes the bounds. Running requests that exceed a lowered bound
// continue.
func (limiter *Limiter) SetLimits(limits Limits) { limiter.limits = limits }

// Admits reports whether a request of the class may start now.
func (limiter *Limiter) Admits(class estimator.Class) bool {
	if limiter.Running() >= limiter.limits.Connections || limiter.Free() <= 0 {
		return false
	}
	// The class of foreign requests is not known. They count as long, so that a
	// takeover does not use up the slots reserved for short requests.
	return class == estimator.Short || limiter.running[estimator.Long]+limiter.foreign < limiter.limits.LongSlots
}

// Occupy occupies a slot.
func (limiter *Limiter) Occupy(class estimator.Class) { limiter.running[class]++ }

// Release frees a slot that Occupy occupied.
func (limiter *Limiter) Release(class estimator.Class) { limiter.running[class]-- }

// Reclassify counts a running short request as long after it has exceeded the
// run time of its class.
func (limiter *Limiter) Reclassify() {
	limiter.running[estimator.Short]--
	limiter.running[estimator.Long]++
}

// MarkForeign counts the slot of a request as foreign once the owner can no
// longer observe the request's end.
func (limiter *Limiter) MarkForeign(class estimator.Class) {
	limiter.Release(class)
	limiter.foreign++
}

// SetForeign sets the number of foreign slots.
func (limiter *Limiter) SetForeign(foreign int) { limiter.foreign = max(0, foreign) }

// Foreign returns the number of foreign slots.
func (limiter *Limiter) Foreign() int { return limiter.foreign }

// Running returns the number of running requests of this owner.
func (limiter *Limiter) Running() int {
	return limiter.running[estimator.Short] + limiter.running[estimator.Long]
}

// Busy returns the number of busy slots.
func (limiter *Limiter) Busy() int { return limiter.Running() + limiter.foreign }

// Free returns the number of free slots, which short requests can use.
func (limiter *Limiter) Free() int { return max(0, limiter.limits.Slots-limiter.Busy()) }

// Slots returns the maximum number of busy slots.
func (limiter *Limiter) Slots() int { return limiter.limits.Slots }
