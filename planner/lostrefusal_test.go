package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
)

// TestFormerHolderMissesARefusal guards against two runs of a task at the same time: a new
// holder assumes that the former one, cut off from the store, soon learns of the newer token.
// The former one's next two polls of each minion that both know are lost.
func TestFormerHolderMissesTwoRefusals(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation, first, second, unlisted := newCutOffHolder(c, 3)
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
