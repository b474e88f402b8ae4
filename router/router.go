// Package router decides where service requests run.
package router

import (
	"math/rand/v2"
	"time"

	"corianderroad/messenger"
	"corianderroad/querier"
)

// Parameters are the parameters of a Router. The zero value is useful.
type Parameters struct{}

// Router is the machine that decides where service requests run.
type Router struct {
	identity messenger.Identity
	random   *rand.Rand
}

// New returns a Router with the given source of randomness.
func New(identity messenger.Identity, _ Parameters, random *rand.Rand) *Router {
	return &Router{identity: identity, random: random}
}

// Step implements decider.Machine.
func (router *Router) Step(_ time.Time, _ messenger.Event) []messenger.Action { return nil }

// Next implements decider.Machine.
func (router *Router) Next() time.Time { return time.Time{} }

// View implements decider.Machine.
func (router *Router) View(_ time.Time, _ querier.Query) querier.Answer { return querier.Answer{} }
