package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// TestRestartedMinionIsNotUsedWithItsFormerLabels guards against tasks that start on a minion
// without their label: it has restarted as one of another kind, and an answer shows that before
// its entry tells the new kind.
func TestRestartedMinionIsNotUsedWithItsFormerLabels(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 2)
	simulation.makeHolder(simulation.nodes[0])
	restarted, other := simulation.minions["m00"], simulation.minions["m01"]
	other.kind = "b"
	labelled := func(id string, label string) specifier.Job {
		return jobOf(id, specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 300 * time.Millisecond, Label: label})
	}
	simulation.submit(labelled("before", "a")) // so that the minion is polled when it restarts
	simulation.advance(200 * time.Millisecond)
	c.Assert(len(restarted.runs), quicktest.Equals, 1)
	restarted.crash()
	restarted.start()
	restarted.kind = "b"
	simulation.submit(labelled("during", "a")) // the answer to its start shows the restart
	simulation.advance(500 * time.Millisecond)
	for number := range 20 {
		simulation.submit(labelled("a"+string(rune('a'+number)), "a"))
		simulation.advance(100 * time.Millisecond)
		c.Assert(len(restarted.runs), quicktest.Equals, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a")))
	}
	simulation.deliverAllReports()
	simulation.submit(labelled("both", "b"))
	other.crash()
	simulation.advance(5 * time.Second)
	c.Assert(simulation.recordedState("both"), quicktest.Equals, specifier.Completed, quicktest.Commentf("%s", simulation.decisionsAbout("both")))
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestMinionWithAnOlderEntryIsUsedWithItsLabels guards against a minion that is used with the
// labels of its earlier life because its wall clock was set back before it restarted.
func TestMinionWithAnOlderEntryIsUsedWithItsLabels(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 1)
	restarted := simulation.minions["m00"]
	restarted.incarnation += 60_000
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	restarted.crash()
	restarted.incarnation -= 120_000
	restarted.start()
	restarted.incarnation -= 60_000
	restarted.kind = "b"
	simulation.deliverAllReports()
	simulation.advance(time.Second)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Second, Label: "a"}))
	simulation.submit(jobOf("b", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Second, Label: "b"}))
	simulation.advance(5 * time.Second)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).startedRuns, quicktest.HasLen, 0)
	c.Assert(simulation.recordedState("b"), quicktest.Equals, specifier.Completed)
}
