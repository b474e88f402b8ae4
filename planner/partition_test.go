package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/specifier"
)

// partition separates the holder and some of the minions from the store, the other nodes
// and the other minions.
func (simulation *simulation) partition(holder *node, isWithHolder func(*fakeMinion) bool) {
	simulation.store.unreachableFrom[holder] = true
	for _, minion := range simulation.sortedMinions() {
		isTogether := isWithHolder(minion)
		minion.unregistered = minion.unregistered || isTogether // its entry lapses
		for _, node := range simulation.nodes {
			minion.unreachableFrom[node] = (node == holder) != isTogether
		}
	}
}

// heal ends all partitions.
func (simulation *simulation) heal() {
	clear(simulation.store.unreachableFrom)
	for _, minion := range simulation.sortedMinions() {
		clear(minion.unreachableFrom)
		minion.unregistered = false
	}
	simulation.deliverAllReports()
}

// TestHolderInAMinorityEndsItsLeases guards against two runs of a task at the same time: a
// former holder that is cut off from the store, together with a few minions, renews their
// leases, while the new one, which reaches none of them, starts their tasks elsewhere.
func TestHolderInAMinorityEndsItsLeases(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 8)
	first, second := simulation.nodes[0], simulation.nodes[1]
	simulation.makeHolder(first)
	simulation.advance(500 * time.Millisecond)
	simulation.submit(jobOf("a", wholeMinions(6, 2*time.Minute)))
	simulation.advance(time.Second)
	first.token = 0
	simulation.partition(first, func(minion *fakeMinion) bool { return minion.name <= "m02" })
	simulation.advance(claimTimeout)
	simulation.makeHolder(second)
	simulation.advance(20 * time.Second)
	simulation.heal()
	simulation.notify(first)
	simulation.advance(10 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	for index := range 6 {
		c.Assert(simulation.taskState(specifier.Task{Job: "a", Index: index}).running, quicktest.HasLen, 1)
	}
}

// TestInvariantsUnderPartitions guards against two runs of a task at the same time while
// holders are cut off from the store with fewer than half of the minions.
func TestInvariantsUnderPartitions(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		simulation := newLivenessSimulation(rapid.Uint64().Draw(t, "seed"))
		endFaults := drawOutageFaults(t, simulation)
		simulation.makeHolder(simulation.nodes[0])
		submitOutageJobs(t, simulation, 8)
		share := rapid.SampledFrom([]float64{0.1, 0.3, 0.45}).Draw(t, "share")
		simulation.schedule(drawMilliseconds(t, "partition-at", 500, 8000), func() {
			former := simulation.holder()
			former.token = 0
			minority := int(share * float64(len(simulation.minions)))
			isWithHolder := make(map[*fakeMinion]bool)
			for _, index := range simulation.random.Perm(len(simulation.minions))[:minority] {
				isWithHolder[simulation.sortedMinions()[index]] = true
			}
			simulation.partition(former, func(minion *fakeMinion) bool { return isWithHolder[minion] })
			simulation.claim(1, func() {})
			simulation.schedule(drawMilliseconds(t, "partition-for", 3000, 15000), func() {
				simulation.heal()
				simulation.notify(former)
			})
		})
		simulation.finishOutage(t, endFaults)
	})
}
