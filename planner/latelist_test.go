package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestFormerLeasesAreCountedFromThePolls guards against two runs of a task at the same
// time: a new holder counts the leases of the former one from its own activation, but reads
// the list of minions later than the journal and polls none of them before. A former
// holder that is cut off from the store renews leases until those polls.
func TestFormerLeasesAreCountedFromThePolls(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation, _, second, unlisted := newCutOffHolder(c, 4)
	for _, minion := range simulation.sortedMinions() {
		minion.unregistered = true
	}
	simulation.advance(claimTimeout)
	simulation.makeHolder(second)
	simulation.advance(2500 * time.Millisecond) // the list is read late
	for _, minion := range simulation.sortedMinions() {
		minion.unregistered = minion == unlisted
	}
	simulation.deliverReports(second)
	simulation.advance(10 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
}
