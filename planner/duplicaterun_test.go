package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestDuplicateRunIsReported guards against two runs of one task that leave no line in
// the log of the holder which finds the second one.
func TestDuplicateRunIsReported(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 2)
	node := simulation.nodes[0]
	simulation.makeHolder(node)
	simulation.advance(time.Second)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
	simulation.advance(time.Second)
	other := simulation.minions["m01"]
	c.Assert(other.runs, quicktest.HasLen, 0)
	known := simulation.minions["m00"].runs[specifier.Task{Job: "a"}].number
	simulation.step(node, messenger.OrderAnswered{
		Sent:   messenger.OrderMinion{Minion: other.name, Incarnation: other.incarnation, Token: node.token, Order: messenger.PollRuns{}},
		SentAt: simulation.now, Clock: other.clock(), Incarnation: other.incarnation,
		Running: []messenger.RunReport{{Task: specifier.Task{Job: "a"}, Run: 7}},
	})
	reported := strings.Join(simulation.decisions, "\n")
	c.Assert(reported, quicktest.Contains,
		fmt.Sprintf("a.0.0.0 duplicate-run: another run of the task is known run=7 minion=m01 known-run=%d known-minion=m00", known))
}
