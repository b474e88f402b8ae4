package profiler

import (
	"math"
	"time"

	"corianderroad/identifier"
)

// Kind identifies work whose paces are comparable.
type Kind struct {
	Queue identifier.Queue
	Step  int
}

const (
	// halfLife is the time in which the weight of an observation halves.
	halfLife = 30 * time.Second
	// minEvidence is the observed time from which on a pace is known.
	minEvidence = 2 * time.Second
	// slowFactor is the ratio to the usual pace below which a minion is slow.
	slowFactor = 0.6
	// maxKinds bounds the kinds of work that a Baseline remembers.
	maxKinds = 1024
)

// pace is a mean whose observations lose weight as time passes.
type pace struct {
	// sum is the weighted sum of observations, weight the observed time in seconds.
	sum, weight float64
	updatedAt   time.Time
}

func (pace *pace) add(now time.Time, value float64, span time.Duration) {
	pace.decay(now)
	pace.sum += value * span.Seconds()
	pace.weight += span.Seconds()
}

func (pace *pace) decay(now time.Time) {
	if pace.weight > 0 && now.After(pace.updatedAt) {
		factor := math.Exp2(-now.Sub(pace.updatedAt).Seconds() / halfLife.Seconds())
		pace.sum *= factor
		pace.weight *= factor
	}
	pace.updatedAt = now
}

// mean returns the mean, and whether enough was observed for it.
func (pace pace) mean(now time.Time) (float64, bool) {
	pace.decay(now)
	if pace.weight < minEvidence.Seconds() {
		return 0, false
	}
	return pace.sum / pace.weight, true
}

// Baseline is the usual pace of each kind of work on all minions.
type Baseline struct {
	kinds map[Kind]*pace
}

// NewBaseline returns a Baseline that knows no kind of work.
func NewBaseline() *Baseline { return &Baseline{kinds: make(map[Kind]*pace)} }

// Observe adds what a run of a kind of work did in a span: the share of its declared work. It
// counts for the minion in comparison with the usual pace of that kind, so that a minion whose
// tasks are only larger than declared is not slow, and neither is any in a pool that is slow as
// a whole.
func (baseline *Baseline) Observe(now time.Time, profile *Profile, kind Kind, done time.Duration, span time.Duration) {
	if span <= 0 {
		return
	}
	usual := baseline.kinds[kind]
	if usual == nil {
		if len(baseline.kinds) >= maxKinds {
			clear(baseline.kinds) // the kinds in use return with the next observations
		}
		usual = &pace{}
		baseline.kinds[kind] = usual
	}
	observed := done.Seconds() / span.Seconds()
	if mean, known := usual.mean(now); known && mean > 0 {
		profile.pace.add(now, observed/mean, span)
	}
	usual.add(now, observed, span)
}

// IsSlow reports whether the minion works much more slowly than others do.
func (profile *Profile) IsSlow(now time.Time) bool {
	ratio, known := profile.pace.mean(now)
	return known && ratio < slowFactor
}
