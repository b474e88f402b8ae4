package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestRunOfUnknownTaskOccupiesItsMinion guards against a start on a minion that still runs
// a task which the new holder does not know, because it could not read the job's record.
// A minion that does not guard its capacity would be over it.
func TestRunOfUnknownTaskOccupiesItsMinion(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 1)
	first, second := simulation.nodes[0], simulation.nodes[1]
	simulation.makeHolder(first)
	simulation.submit(jobOf("unread", wholeMinions(1, time.Minute)))
	second.entriesRead = len(simulation.journal) // an invalid record has replaced it
	simulation.advance(time.Second)
	c.Assert(simulation.minions["m00"].runs, quicktest.HasLen, 1)
	first.alive = false
	simulation.submit(jobOf("next", wholeMinions(1, time.Second)))
	simulation.makeHolder(second)
	simulation.advance(5 * time.Second)
	for _, line := range simulation.decisions {
		c.Assert(strings.Contains(line, "refused: "), quicktest.IsFalse, quicktest.Commentf("%s", line))
	}
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
