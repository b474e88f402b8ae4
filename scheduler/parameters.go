package scheduler

import (
	"time"

	"corianderroad/leaser"
)

// Rule is a rule of placement that a measurement can switch off.
type Rule uint16

// Rules of placement.
const (
	BestFit Rule = 1 << iota
	FairOrder
	Guarantees
	Preemption
	Quarantine
	LargeHold
	Migration
)

// Parameters are the parameters of a Scheduler. The zero value is useful.
type Parameters struct {
	// Timing holds the durations of the gang protocol.
	Timing leaser.Timing
	// RenewEvery is the period of renewals, a third of the lease.
	RenewEvery time.Duration
	// PollEvery is the pause after which an idle worker is asked for its state.
	PollEvery time.Duration
	// PlanEvery is the least time between two passes over the waiting jobs. It
	// bounds the cost of a burst of submissions; urgent work starts within 1.9 s.
	PlanEvery time.Duration
	// ClaimAfter is how long a node must be a region's owner before it claims,
	// so that a short suspicion moves nothing.
	ClaimAfter time.Duration
	// ContestAfter is how long the owner leaves a region to an alive holder that
	// claimed it, so that nodes with different views do not claim in turns.
	ContestAfter time.Duration
	// PauseAfter is how late a step may come before the node verifies the state
	// of the regions that it holds.
	PauseAfter time.Duration
	// FailureSets is the number of sets of workers on which a job may fail.
	FailureSets int
	// FailureJobs is the number of jobs that may fail on a worker.
	FailureJobs int
	// QuarantineFor is the length of a worker's first quarantine. Each further
	// one is twice as long.
	QuarantineFor time.Duration
	// HoldAfter is how long a large gang waits before workers are kept for it.
	HoldAfter time.Duration
	// Without names rules that are off. It is for measurements.
	Without Rule
}

func (parameters Parameters) withDefaults() Parameters {
	set := func(value *time.Duration, standard time.Duration) {
		if *value == 0 {
			*value = standard
		}
	}
	set(&parameters.Timing.Lease, 15*time.Second)
	set(&parameters.Timing.AnswerTimeout, 5*time.Second)
	set(&parameters.Timing.Grace, 10*time.Second)
	set(&parameters.Timing.Retry, 500*time.Millisecond)
	set(&parameters.RenewEvery, 5*time.Second)
	set(&parameters.PollEvery, 30*time.Second)
	set(&parameters.PlanEvery, 100*time.Millisecond)
	set(&parameters.ClaimAfter, time.Second)
	set(&parameters.ContestAfter, 30*time.Second)
	set(&parameters.PauseAfter, 2*time.Second)
	set(&parameters.QuarantineFor, 10*time.Minute)
	set(&parameters.HoldAfter, time.Minute)
	if parameters.FailureSets == 0 {
		parameters.FailureSets = 3
	}
	if parameters.FailureJobs == 0 {
		parameters.FailureJobs = 3
	}
	return parameters
}

// uses says whether a rule is on.
func (parameters Parameters) uses(rule Rule) bool { return parameters.Without&rule == 0 }
