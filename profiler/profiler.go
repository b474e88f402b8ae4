// Package profiler judges minions by how they carry out work: how fast in comparison with the
// same kind of work elsewhere, whether runs fail, and whether they make progress.
//
// It answers two loads: minions on which runs stop working although the minion answers, so that
// tasks and whole gangs are late until it recovers, and minions that work several times slower
// than others.
//
// It is pure: the time and the reports are arguments, and nothing is moved here. The types are not
// safe for concurrent use.
package profiler

import (
	"math"
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// Kind identifies work whose speeds are comparable.
type Kind struct {
	Queue identifier.Queue
	// Step is the number of the step within its job, Request what a task occupies.
	Step    int
	Request specifier.Resources
	Gang    bool
}

// Condition is a judgement of a minion.
type Condition uint8

// Values of Condition.
const (
	// Sound means that nothing speaks against the minion.
	Sound Condition = iota
	// Slow means that it works much more slowly than others do the same kind of work.
	Slow
	// Stalling means that runs on it make no progress.
	Stalling
	// Failing means that many of its runs fail.
	Failing
	// Conditions is the number of values.
	Conditions
)

// String returns the name of the value in log lines and metrics.
func (condition Condition) String() string {
	return [Conditions]string{"sound", "slow", "stalling", "failing"}[condition]
}

const (
	// halfLife is the time in which the weight of an observation halves.
	halfLife = 30 * time.Second
	// maxKinds bounds the kinds of work whose speed is remembered.
	maxKinds = 1024
	// fullPercent is the progress of a run that is done.
	fullPercent = 100
)

// Profiler knows the usual speed of each kind of work on all minions.
type Profiler struct {
	kinds map[Kind]*average
}

// New returns a Profiler that knows no kind of work.
func New() *Profiler { return &Profiler{kinds: make(map[Kind]*average)} }

// usualSpeed returns the average of a kind of work.
func (profiler *Profiler) usualSpeed(kind Kind) *average {
	usual := profiler.kinds[kind]
	if usual == nil {
		if len(profiler.kinds) >= maxKinds {
			clear(profiler.kinds) // the kinds in use return with the next reports
		}
		usual = &average{}
		profiler.kinds[kind] = usual
	}
	return usual
}

// average is a weighted mean whose observations lose weight as time passes.
type average struct {
	sum, weight float64
	updatedAt   time.Time
}

func (average *average) add(now time.Time, value, weight float64) {
	average.decay(now)
	average.sum += value * weight
	average.weight += weight
}

func (average *average) decay(now time.Time) {
	if average.weight > 0 && now.After(average.updatedAt) {
		factor := math.Exp2(-now.Sub(average.updatedAt).Seconds() / halfLife.Seconds())
		average.sum *= factor
		average.weight *= factor
	}
	average.updatedAt = now
}

// addBounded adds a value and keeps the weight within a limit, so that new observations soon displace
// those from before the minion changed.
func (average *average) addBounded(now time.Time, value, weight, limit float64) {
	average.decay(now)
	if rest := max(limit-weight, 0); average.weight > rest {
		average.sum *= rest / average.weight
		average.weight = rest
	}
	average.add(now, value, weight)
}

// mean returns the mean and its weight.
func (average average) mean(now time.Time) (mean, weight float64) {
	average.decay(now)
	if average.weight <= 0 {
		return 0, 0
	}
	return average.sum / average.weight, average.weight
}
