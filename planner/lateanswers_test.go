package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestFormerLeasesAreCountedFromTheAnswers guards against two runs of a task at the same
// time: a new holder counts the leases of the former one from its first polls, and these
// hang on connections that have gone silent. No minion refuses the former one meanwhile,
// and it renews its leases.
func TestFormerLeasesAreCountedFromTheAnswers(t *testing.T) {
	t.Parallel()
	const silence = 1900 * time.Millisecond
	for phase := time.Duration(0); phase < 1200*time.Millisecond; phase += 200 * time.Millisecond { // of the former one's polls
		t.Run(phase.String(), func(t *testing.T) { checkFormerLeases(t, phase, silence) })
	}
}

func checkFormerLeases(t *testing.T, phase, silence time.Duration) {
	c := quicktest.New(t)
	simulation, _, second, _ := newCutOffHolder(c, 4)
	simulation.advance(claimTimeout + phase)
	simulation.makeHolder(second)
	silentUntil := simulation.now.Add(silence)
	for _, minion := range simulation.sortedMinions() {
		minion.faults.losesFrom = func(node *node, _ messenger.Order) bool { return node == second && simulation.now.Before(silentUntil) }
	}
	simulation.advance(12 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).running, quicktest.HasLen, 1)
}
