package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestFormerHolderMissesARefusal guards against two runs of a task at the same time: a new
// holder assumes that the former one, cut off from the store, soon learns of the newer token.
// The former one's next two polls of each minion that both know are lost.
func TestFormerHolderMissesTwoRefusals(t *testing.T) {
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 3)
	first, second := simulation.nodes[0], simulation.nodes[1]
	simulation.makeHolder(first)
	simulation.advance(500 * time.Millisecond)
	for _, id := range []string{"a", "b"} {
		simulation.submit(jobOf(id, wholeMinions(1, 2*time.Minute)))
	}
	simulation.advance(time.Second)
	unlisted := simulation.runningOn(specifier.Task{Job: "a"})
	c.Assert(unlisted, quicktest.IsNotNil)

	first.token = 0
	simulation.store.unreachableFrom[first] = true
	unlisted.unregistered = true
	simulation.advance(claimTimeout)
	simulation.makeHolder(second)
	simulation.advance(20 * time.Millisecond)
	for _, minion := range simulation.sortedMinions() {
		lost := 0
		minion.faults.losesFrom = func(node *node, order messenger.Order) bool {
			_, isPoll := order.(messenger.PollRuns)
			isLost := isPoll && node == first && minion != unlisted && lost < 2
			if isLost {
				lost++
			}
			return isLost
		}
	}
	simulation.advance(10 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
}
