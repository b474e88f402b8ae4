package router

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
)

// minionState returns the state of a minion at its owner.
func (simulation *simulation) minionState(name identifier.Minion) minionState {
	for _, node := range simulation.nodes {
		if minion := node.router.owned[name]; node.up && minion != nil && minion.state != released {
			return minion.state
		}
	}
	return released
}

// TestReplacedMinionIsUsedAfterFailedQuery guards against a minion that is never
// queried again because the query after its announced stop found its process down,
// although the next process under the same name and address serves.
func TestReplacedMinionIsUsedAfterFailedQuery(t *testing.T) {
	simulation, _ := singleOwner(0)
	minion := simulation.minions[0]
	name := identifier.Minion(minion.vm.Name)
	minion.leaving = true
	simulation.issueSwaps(1, 10*time.Millisecond, 10*time.Millisecond)
	simulation.runUntil(simulation.now.Add(time.Second))
	quicktest.Assert(t, simulation.minionState(name), quicktest.Equals, departing)
	minion.dead = true
	simulation.runUntil(simulation.now.Add(leavingInterval))
	minion.dead, minion.leaving = false, false
	simulation.runUntil(simulation.now.Add(2 * leavingInterval))
	quicktest.Assert(t, simulation.minionState(name), quicktest.Equals, serving)
}
