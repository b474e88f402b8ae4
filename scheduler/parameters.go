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
	LargeGangReservation
	Migration
)

// Parameters are the parameters of a Scheduler. Zero values select the defaults in
// parentheses.
type Parameters struct {
	// Timing holds the durations of the gang protocol (Lease 15 s, AnswerTimeout
	// 5 s, Grace 10 s, RetryDelay 500 ms).
	Timing leaser.Timing
	// RenewInterval is the period of renewals, a third of the lease (5 s).
	RenewInterval time.Duration
	// PollInterval is the interval after which the state of an idle worker is
	// read (30 s).
	PollInterval time.Duration
	// MinPlanInterval is the shortest time between two passes over the waiting
	// jobs. It bounds the cost of a burst of submissions; urgent work still
	// starts within 1.9 s (100 ms).
	MinPlanInterval time.Duration
	// ClaimDelay is how long a node must be a region's owner before it claims,
	// so that a short suspicion of another node moves no region (1 s).
	ClaimDelay time.Duration
	// ContestDelay is how long the owner waits before it claims a region from an
	// alive holder, so that nodes with different views of the members do not claim
	// alternately (30 s).
	ContestDelay time.Duration
	// PauseThreshold is the delay of a step from which on the node assumes that
	// its process was paused and verifies the state of the held regions (2 s).
	PauseThreshold time.Duration
	// FailedWorkerSetLimit is the number of different sets of workers on which a
	// job must have failed to end as failed (3).
	FailedWorkerSetLimit int
	// FailedJobLimit is the number of different jobs that must have failed on a
	// worker for it to be quarantined (3).
	FailedJobLimit int
	// QuarantineDuration is the length of a worker's first quarantine. Each
	// further one is twice as long (10 min).
	QuarantineDuration time.Duration
	// ReservationDelay is how long a gang waits before workers are reserved for
	// it (1 min).
	ReservationDelay time.Duration
	// DisabledRules is the set of disabled rules. It is used by benchmarks.
	DisabledRules Rule
}

func (parameters Parameters) withDefaults() Parameters {
	parameters.Timing.Lease = cmp.Or(parameters.Timing.Lease, 15*time.Second)
	parameters.Timing.AnswerTimeout = cmp.Or(parameters.Timing.AnswerTimeout, 5*time.Second)
	parameters.Timing.Grace = cmp.Or(parameters.Timing.Grace, 10*time.Second)
	parameters.Timing.RetryDelay = cmp.Or(parameters.Timing.RetryDelay, 500*time.Millisecond)
	parameters.RenewInterval = cmp.Or(parameters.RenewInterval, 5*time.Second)
	parameters.PollInterval = cmp.Or(parameters.PollInterval, 30*time.Second)
	parameters.MinPlanInterval = cmp.Or(parameters.MinPlanInterval, 100*time.Millisecond)
	parameters.ClaimDelay = cmp.Or(parameters.ClaimDelay, time.Second)
	parameters.ContestDelay = cmp.Or(parameters.ContestDelay, 30*time.Second)
	parameters.PauseThreshold = cmp.Or(parameters.PauseThreshold, 2*time.Second)
	parameters.QuarantineDuration = cmp.Or(parameters.QuarantineDuration, 10*time.Minute)
	parameters.ReservationDelay = cmp.Or(parameters.ReservationDelay, time.Minute)
	parameters.FailedWorkerSetLimit = cmp.Or(parameters.FailedWorkerSetLimit, 3)
	parameters.FailedJobLimit = cmp.Or(parameters.FailedJobLimit, 3)
	return parameters
}

// isEnabled reports whether a rule is enabled.
func (parameters Parameters) isEnabled(rule Rule) bool { return parameters.DisabledRules&rule == 0 }
