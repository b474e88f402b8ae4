package planner_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/querier"
	"corianderroad/specifier"
)

// TestStepDoesNotWaitForEvacuatedDataRack guards against a step that waits for the rack of its
// data while that rack is evacuated.
func TestStepDoesNotWaitForEvacuatedDataRack(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvacuationSimulation(1, 1, 8)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.evacuate("z0", true)
	simulation.advance(2 * latency)
	near := wholeMinions(2, 5*time.Second)
	near.DataRack = "r-0"
	simulation.submit(jobOf("near", near))
	simulation.advance(time.Second)
	c.Assert(simulation.runningIn("z1", "near"), quicktest.Equals, 2)
}

// TestStepLeavesEvacuatedRack guards against a task that waits to join the others of its step on
// a rack that is evacuated.
func TestStepLeavesEvacuatedRack(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvacuationSimulation(1, 1, 8)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.fails = func(run *fakeRun) bool { return run.minion.name == "m00" }
	simulation.workTime = func(run *fakeRun) time.Duration {
		if run.minion.name == "m00" {
			return 500 * time.Millisecond
		}
		return run.spec.EstimatedRunTime
	}
	step := wholeMinions(4, 20*time.Second)
	step.SameRack = true
	simulation.submit(jobOf("same", step))
	simulation.advance(300 * time.Millisecond)
	c.Assert(simulation.runningIn("z0", "same"), quicktest.Equals, 4)
	simulation.evacuate("z0", true)
	simulation.advance(time.Second)
	c.Assert(simulation.runningIn("z0", "same"), quicktest.Equals, 3)
	c.Assert(simulation.runningIn("z1", "same"), quicktest.Equals, 1)
}

// TestEvacuatedMinionsAreNoCapacity guards against a pool that counts as not crowded because of
// the minions of an evacuated domain: a step would run slowly away from its data.
func TestEvacuatedMinionsAreNoCapacity(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvacuationSimulation(1, 1, 12)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.evacuate("z1", true)
	simulation.occupy("z2", "busy", 20*time.Second) // half of what is left
	near := specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 10 * time.Second, DataRack: "r-2"}
	simulation.submit(jobOf("near", near))
	simulation.advance(4 * time.Second)
	c.Assert(simulation.runningIn("z0", "near")+simulation.runningIn("z1", "near"), quicktest.Equals, 0)
	simulation.evacuate("z1", false)
	simulation.advance(4 * time.Second)
	c.Assert(simulation.runningIn("z0", "near")+simulation.runningIn("z1", "near"), quicktest.Equals, 1)
}

// TestStepThatNeedsEvacuatedDomainWaits guards against a job that fails because only minions of
// an evacuated domain have the label that it needs, and against a report that does not say so.
func TestStepThatNeedsEvacuatedDomainWaits(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvacuationSimulation(1, 1, 8)
	for _, minion := range simulation.sortedMinions()[:4] {
		minion.kind = "b"
	}
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.evacuate("z0", true)
	labelled, large := wholeMinions(1, time.Second), wholeMinions(9, time.Second)
	labelled.Label, large.Gang = "b", true
	simulation.submit(jobOf("labelled", labelled))
	simulation.submit(jobOf("large", large))
	simulation.advance(10 * time.Second)
	log := strings.Join(simulation.decisions, "\n")
	c.Assert(log, quicktest.Contains, "labelled step-waits: domain-evacuated")
	c.Assert(log, quicktest.Contains, "large step-waits: no-capacity")
	gauges := simulation.nodes[0].planner.View(simulation.now, querier.Query{Kind: querier.Status}).Gauges
	for _, gauge := range []querier.Gauge{
		{Name: "waiting-steps", Label: "domain-evacuated", Value: 1},
		{Name: "waiting-steps", Label: "no-capacity", Value: 1},
		{Name: "minions-by-availability", Label: "evacuated", Value: 4},
		{Name: "evacuated-domains", Value: 1},
	} {
		c.Assert(gauges, quicktest.Contains, gauge)
	}
	c.Assert(simulation.recordedState("labelled").IsFinal(), quicktest.IsFalse)
	simulation.evacuate("z0", false)
	simulation.advance(3 * time.Second)
	c.Assert(simulation.recordedState("labelled"), quicktest.Equals, specifier.Completed)
}

// TestEvacuationIsLoggedOnce guards against an evacuation without a line for its request, for
// its last run and for its withdrawal, and against more than one of each.
func TestEvacuationIsLoggedOnce(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvacuationSimulation(1, 1, 8)
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("a", wholeMinions(5, 4*time.Second)))
	simulation.advance(time.Second)
	simulation.evacuate("z0", true)
	simulation.advance(2 * time.Second)
	simulation.nodes[0].operatorRead = -1 // its history was dropped, and it lists the topic again
	empty := func() []string { return simulation.linesWith("evacuation-empty") }
	c.Assert(empty(), quicktest.HasLen, 0)
	simulation.advance(6 * time.Second)
	c.Assert(empty(), quicktest.HasLen, 1)
	simulation.evacuate("z0", false)
	simulation.advance(2 * time.Second)
	c.Assert(empty(), quicktest.HasLen, 1)
	for _, outcome := range []string{"evacuation-requested", "evacuation-removed"} {
		c.Assert(simulation.linesWith(outcome), quicktest.HasLen, 1)
	}
	c.Assert(simulation.linesWith("evacuation-requested")[0], quicktest.Contains, "z0 evacuation-requested: the operator has requested it minions=4 runs=4")
	c.Assert(simulation.linesWith("evacuation-removed")[0], quicktest.Contains, "minions=4 runs=0")
}

func (simulation *simulation) linesWith(text string) []string {
	return slices.DeleteFunc(slices.Clone(simulation.decisions), func(line string) bool { return !strings.Contains(line, text) })
}

// TestListingReplacesEvacuations guards against an evacuation that was withdrawn while the
// records of the topic were dropped, and holds for ever.
func TestListingReplacesEvacuations(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvacuationSimulation(1, 1, 8)
	simulation.makeHolder(simulation.nodes[0])
	simulation.evacuate("z0", true)
	simulation.evacuate("z1", true)
	simulation.advance(time.Second)
	simulation.operator.records = []evacuationRecord{{"z1", true}}
	delete(simulation.operator.requestedAt, "z0")
	simulation.nodes[0].operatorRead = -1
	simulation.advance(2 * time.Second)
	simulation.submit(jobOf("a", wholeMinions(4, time.Minute)))
	simulation.advance(time.Second)
	c.Assert(simulation.runningIn("z0", "a"), quicktest.Equals, 4)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestColdMinionsRankAfterWarmOnes guards against starts on minions that are slow after their
// restart while others are free, and against minions that count as slow for ever. Without
// evacuations nothing changes.
func TestColdMinionsRankAfterWarmOnes(t *testing.T) {
	t.Parallel()
	for _, sameRack := range []bool{false, true} {
		t.Run(fmt.Sprint("same-rack=", sameRack), func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newEvacuationSimulation(1, 1, 8)
			for _, minion := range simulation.sortedMinions()[:4] {
				minion.faults.coldRemaining = 5 * time.Second
			}
			simulation.makeHolder(simulation.nodes[0])
			simulation.advance(500 * time.Millisecond)
			step := wholeMinions(3, time.Second)
			step.SameRack = sameRack
			simulation.submit(jobOf("a", step))
			simulation.advance(500 * time.Millisecond)
			c.Assert(simulation.runningIn("z1", "a"), quicktest.Equals, 3)
			simulation.advance(5 * time.Second)
			simulation.submit(jobOf("b", step))
			simulation.advance(500 * time.Millisecond)
			c.Assert(simulation.runningIn("z0", "b"), quicktest.Equals, 3)
		})
	}
}
