// Package profiler judges minions by what they did with earlier runs: whether the runs failed,
// and how fast they worked in comparison with the same kind of work on other minions.
//
// It answers two loads. When some minions fail all that they start, each failure frees capacity
// at once and attracts the next task, which may use up its attempts there. When some minions are
// slow, gangs wait for their slowest member.
//
// All functions get the time as an argument. The types are not safe for concurrent use.
package profiler

import "time"

// Reliability is a judgement of the runs of one minion. Higher values are worse.
type Reliability uint8

// Values of Reliability.
const (
	// Reliable means that no failure speaks against the minion.
	Reliable Reliability = iota
	// Doubtful means that one run has failed since the last proof that the minion works.
	// The failure may be the task's own fault.
	Doubtful
	// Unreliable means that several runs have failed since then.
	Unreliable
)

// String returns the name of the value in log lines.
func (reliability Reliability) String() string {
	return [...]string{"reliable", "doubtful", "unreliable"}[reliability]
}

const (
	// unreliableFailures is the number of failures from which on a minion is unreliable.
	unreliableFailures = 2
	// doubtDuration is how long a failure counts. A minion that gets no work can't prove
	// itself, so that it is tried again afterwards.
	doubtDuration = 10 * time.Second
)

// Profile is what is known of one life of a minion. The zero value knows nothing.
type Profile struct {
	// failures counts the failed runs since the last proof that the minion works.
	failures int
	failedAt time.Time
	pace     pace
}

// AddFailure adds a run that has failed.
func (profile *Profile) AddFailure(now time.Time) {
	if profile.isForgotten(now) {
		profile.failures = 0
	}
	profile.failures++
	profile.failedAt = now
}

// AddSuccess adds a run that is done. It proves that the minion works only if the run started
// after the last failure: one that started before may have done its work while the minion was
// still sound.
func (profile *Profile) AddSuccess(startedAt time.Time) {
	if startedAt.After(profile.failedAt) {
		profile.failures = 0
	}
}

// Reliability returns the judgement at a time.
func (profile *Profile) Reliability(now time.Time) Reliability {
	switch {
	case profile.failures == 0 || profile.isForgotten(now):
		return Reliable
	case profile.failures < unreliableFailures:
		return Doubtful
	}
	return Unreliable
}

func (profile *Profile) isForgotten(now time.Time) bool {
	return now.Sub(profile.failedAt) >= doubtDuration
}
