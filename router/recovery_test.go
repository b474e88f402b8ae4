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

// TestForeignSlotsAreReturnedUnderLoad guards against slots that count as busy with
// requests of an earlier owner long after these have ended, because each query for
// the slots finds young attempts that may not be in the minion's count.
func TestForeignSlotsAreReturnedUnderLoad(t *testing.T) {
	for seed := range uint64(5) {
		simulation := newSimulation(seed, faults{}, 2, 1, twoRegions[:1], nil)
		simulation.nodes[1].up = false
		minion := simulation.minions[0]
		minion.running = 5
		simulation.sendMembers(simulation.nodes[0])
		simulation.runUntil(epoch.Add(time.Second))
		simulation.issueSwaps(15_000, 10*time.Second, 15*time.Millisecond)
		simulation.after(time.Second, func() { minion.running -= 5 })
		simulation.runUntil(simulation.now.Add(8 * time.Second))
		limiter := &simulation.nodes[0].router.sortedMinions()[0].limiter
		quicktest.Assert(t, limiter.Running() > 0, quicktest.IsTrue)
		quicktest.Check(t, limiter.Foreign(), quicktest.Equals, 0, quicktest.Commentf("seed %d", seed))
	}
}
