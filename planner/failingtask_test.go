package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// countSetAside returns how often minions were set aside because runs failed on them.
func (simulation *simulation) countSetAside() int {
	return strings.Count(strings.Join(simulation.decisions, "\n"), "minion-set-aside")
}

// TestFailingLastingTaskSetsNoMinionsAside guards against a long-running task that fails
// wherever it starts, and for which one minion after the other is set aside.
func TestFailingLastingTaskSetsNoMinionsAside(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 8)
	simulation.lastingFailsAfter = 200 * time.Millisecond
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf("bad", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Second, LongRunning: true}))
	simulation.advance(time.Minute)
	c.Assert(len(simulation.taskState(specifier.Task{Job: "bad"}).startedRuns) > 10, quicktest.IsTrue)
	c.Assert(simulation.countSetAside() <= 1, quicktest.IsTrue, quicktest.Commentf("set aside %d times", simulation.countSetAside()))
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestUnansweredTaskSetsNoMinionsAside guards against a task whose start no minion answers,
// and for which one minion after the other is set aside.
func TestUnansweredTaskSetsNoMinionsAside(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 8)
	for _, minion := range simulation.sortedMinions() {
		minion.faults.refuse = func(order messenger.Order) classifier.Code {
			if start, isStart := order.(messenger.StartRun); isStart && start.Task.Job == "bad" {
				return classifier.Internal
			}
			return classifier.OK
		}
	}
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf("bad", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Second}))
	simulation.advance(time.Minute)
	c.Assert(simulation.countSetAside() <= 1, quicktest.IsTrue, quicktest.Commentf("set aside %d times", simulation.countSetAside()))
}
