// Package applier folds the records of the platform's log, in offset order,
// into the configuration, the accepted jobs and the intents of keyed requests.
package applier

import (
	"time"

	"corianderroad/messenger"
	"corianderroad/querier"
)

// Parameters are the bounds of an Applier. The zero value is useful.
type Parameters struct{}

// Applier is the machine that owns what the log decides.
type Applier struct {
	identity messenger.Identity
}

// New returns an Applier that has applied nothing.
func New(identity messenger.Identity, _ Parameters) *Applier {
	return &Applier{identity: identity}
}

// Step implements decider.Machine.
func (applier *Applier) Step(_ time.Time, _ messenger.Event) []messenger.Action { return nil }

// Next implements decider.Machine.
func (applier *Applier) Next() time.Time { return time.Time{} }

// View implements decider.Machine.
func (applier *Applier) View(_ time.Time, _ querier.Query) querier.Answer { return querier.Answer{} }
