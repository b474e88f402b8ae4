package applier

import (
	"testing"

	"pgregory.net/rapid"
)

// TestNodesAgreeUnderEveryDisturbance guards against nodes that fold the same
// log to different states, go back, answer a command twice or never, let two
// publications win on one base, or let two requests run with one key. The
// schedules hold racing commands, lost, doubled and late appends, log outages,
// restarts, retention, snapshots, and peers that help each other.
func TestNodesAgreeUnderEveryDisturbance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t, rapid.IntRange(1, 3).Draw(t, "nodes"))
		for _, node := range world.nodes {
			world.readAll(node)
		}
		// Several rounds make schedules that are long enough for retention to pass.
		for range 4 {
			t.Repeat(world.actions())
		}
		world.settle()
	})
}
