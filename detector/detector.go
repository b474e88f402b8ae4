// Package detector detects which nodes are alive.
package detector

import (
	"math/rand/v2"
	"time"

	"corianderroad/messenger"
	"corianderroad/querier"
)

// Parameters are the parameters of a Detector. The zero value is useful.
type Parameters struct{}

// Detector is the machine that detects which nodes are alive.
type Detector struct {
	identity messenger.Identity
	random   *rand.Rand
}

// New returns a Detector with the given source of randomness.
func New(identity messenger.Identity, _ Parameters, random *rand.Rand) *Detector {
	return &Detector{identity: identity, random: random}
}

// Step implements decider.Machine.
func (detector *Detector) Step(_ time.Time, _ messenger.Event) []messenger.Action { return nil }

// Next implements decider.Machine.
func (detector *Detector) Next() time.Time { return time.Time{} }

// View implements decider.Machine.
func (detector *Detector) View(_ time.Time, _ querier.Query) querier.Answer { return querier.Answer{} }
