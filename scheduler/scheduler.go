// Package scheduler decides where and when jobs run.
package scheduler

import (
	"math/rand/v2"
	"time"

	"corianderroad/messenger"
	"corianderroad/querier"
)

// Parameters are the parameters of a Scheduler. The zero value is useful.
type Parameters struct{}

// Scheduler is the machine that decides where and when jobs run.
type Scheduler struct {
	identity messenger.Identity
	random   *rand.Rand
}

// New returns a Scheduler with the given source of randomness.
func New(identity messenger.Identity, _ Parameters, random *rand.Rand) *Scheduler {
	return &Scheduler{identity: identity, random: random}
}

// Step implements decider.Machine.
func (scheduler *Scheduler) Step(_ time.Time, _ messenger.Event) []messenger.Action { return nil }

// Next implements decider.Machine.
func (scheduler *Scheduler) Next() time.Time { return time.Time{} }

// View implements decider.Machine.
func (scheduler *Scheduler) View(_ time.Time, _ querier.Query) querier.Answer {
	return querier.Answer{}
}
