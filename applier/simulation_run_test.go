package applier

import (
	"testing"

	"pgregory.net/rapid"
)

// TestNodesAgreeUnderFaults guards against nodes that reach different states from the
// same log, go back to an earlier state, answer a command twice or never, accept two
// publications on one base, or let two requests run with one key. The schedules
// contain concurrent commands, lost, duplicate and late appends, log outages,
// restarts, expired appends, snapshots, and requests between peers.
func TestNodesAgreeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t, rapid.IntRange(1, 3).Draw(t, "nodes"))
		for _, node := range simulation.nodes {
			simulation.readAll(node)
		}
		// Several rounds make the schedules long enough for appends to expire.
		for range 4 {
			t.Repeat(simulation.actions())
		}
		simulation.recoverAndCheck()
	})
}
