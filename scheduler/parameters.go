package scheduler

import (
	"cmp"
	"time"

	"corianderroad/leaser"
)

// Rule is a placement rule that benchmarks can disable.
type Rule uint16

// Placement rules.
const (
	BestFit Rule = 1 << iota
	FairOrder
	Guarantees
	Preemption
	Quarantine
	LargeHold
	Migration
)

// Parameters are the parameters of a Scheduler. Zero values select the defaults in
// parentheses.
type Parameters struct {
	// Timing holds the durations of the gang protocol (Lease 15 s, AnswerTimeout
	// 5 s, Grace 10 s, RetryDelay 500 ms).
	Timing leaser.Timing
	// RenewEvery is the period of renewals, a third of the lease (5 s).
	RenewEvery time.Duration
	// PollEvery is the interval after which the state of an idle worker is read (30 s).
	PollEvery time.Duration
	// PlanEvery is the shortest time between two passes over the waiting jobs. It
	// bounds the cost of a burst of submissions; urgent work still starts within 1.9 s
	// (100 ms).
	PlanEvery time.Duration
	// ClaimAfter is how long a node must be a region's owner before it claims,
	// so that a short suspicion of another node moves no region (1 s).
	ClaimAfter time.Duration
	// ContestAfter is how long the owner waits before it claims a region from an
	// alive holder, so that nodes with different views of the members do not claim
	// alternately (30 s).
	ContestAfter time.Duration
	// PauseAfter is the delay of a step from which on the node assumes that its
	// process was paused and verifies the state of the held regions (2 s).
	PauseAfter time.Duration
	// FailureSets is the number of different sets of workers on which a job must
	// have failed to end as failed (3).
	FailureSets int
	// FailureJobs is the number of different jobs that must have failed on a worker
	// for it to be quarantined (3).
	FailureJobs int
	// QuarantineFor is the length of a worker's first quarantine. Each further
	// one is twice as long (10 min).
	QuarantineFor time.Duration
	// HoldAfter is how long a gang waits before workers are reserved for it (1 min).
	HoldAfter time.Duration
	// Without is the set of disabled rules. It is used by benchmarks.
	Without Rule
}

func (parameters Parameters) withDefaults() Parameters {
	parameters.Timing.Lease = cmp.Or(parameters.Timing.Lease, 15*time.Second)
	parameters.Timing.AnswerTimeout = cmp.Or(parameters.Timing.AnswerTimeout, 5*time.Second)
	parameters.Timing.Grace = cmp.Or(parameters.Timing.Grace, 10*time.Second)
	parameters.Timing.RetryDelay = cmp.Or(parameters.Timing.RetryDelay, 500*time.Millisecond)
	parameters.RenewEvery = cmp.Or(parameters.RenewEvery, 5*time.Second)
	parameters.PollEvery = cmp.Or(parameters.PollEvery, 30*time.Second)
	parameters.PlanEvery = cmp.Or(parameters.PlanEvery, 100*time.Millisecond)
	parameters.ClaimAfter = cmp.Or(parameters.ClaimAfter, time.Second)
	parameters.ContestAfter = cmp.Or(parameters.ContestAfter, 30*time.Second)
	parameters.PauseAfter = cmp.Or(parameters.PauseAfter, 2*time.Second)
	parameters.QuarantineFor = cmp.Or(parameters.QuarantineFor, 10*time.Minute)
	parameters.HoldAfter = cmp.Or(parameters.HoldAfter, time.Minute)
	parameters.FailureSets = cmp.Or(parameters.FailureSets, 3)
	parameters.FailureJobs = cmp.Or(parameters.FailureJobs, 3)
	return parameters
}

// isEnabled reports whether a rule is enabled.
func (parameters Parameters) isEnabled(rule Rule) bool { return parameters.Without&rule == 0 }
