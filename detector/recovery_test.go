package detector_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
)

// TestSupersededNodeReturns guards against a node that stays excluded as departing
// because a newer process used its name and ended, and every node that knew of this
// has been restarted since.
func TestSupersededNodeReturns(t *testing.T) {
	for seed := range uint64(10) {
		cluster := newCluster(4, 1, seed)
		cluster.run(10 * time.Second)
		older := cluster.nodes[3]
		newer := &process{identity: older.identity}
		newer.identity.Address = addressOf(500)
		cluster.nodes = append(cluster.nodes, newer)
		older.pausedTo = cluster.now.Add(10 * time.Second)
		cluster.start(newer)
		cluster.run(40 * time.Second)
		quicktest.Assert(t, older.memberOf(older).State, quicktest.Equals, messenger.Departing)

		cluster.kill(newer, false)
		for _, node := range cluster.nodes[:3] {
			cluster.start(node)
		}
		cluster.run(2 * time.Minute)
		for _, node := range cluster.nodes[:4] {
			quicktest.Assert(t, node.memberOf(older).State, quicktest.Equals, messenger.Alive, quicktest.Commentf("seed %d", seed))
		}
	}
}
