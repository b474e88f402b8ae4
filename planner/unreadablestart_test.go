package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestUnreadableAnswerOfAStart guards against two runs of a task at the same time: a minion
// carries out a start, its answer can't be read, and the start counts as not carried out.
func TestUnreadableAnswerOfAStart(t *testing.T) {
	t.Parallel()
	for _, code := range []classifier.Code{classifier.CorruptAnswer, classifier.Internal} {
		t.Run(code.Name(), func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, 6)
			simulation.makeHolder(simulation.nodes[0])
			// A poll of both minions waits for an end while the starts are answered.
			simulation.submit(jobOf("b", specifier.Step{Tasks: 2, Request: taskOf(1000, 5), EstimatedRunTime: 10 * time.Second}))
			simulation.advance(time.Second)
			until := simulation.now.Add(200 * time.Millisecond)
			for _, minion := range simulation.sortedMinions() {
				minion.faults.garbles = func(order messenger.Order) classifier.Code {
					if isStart(order) && simulation.now.Before(until) {
						return code
					}
					return classifier.OK
				}
			}
			simulation.submit(jobOf("a", specifier.Step{Tasks: 4, Request: taskOf(1000, 1), EstimatedRunTime: 3 * time.Second}))
			simulation.advance(20 * time.Second)
			c.Assert(simulation.violations, quicktest.HasLen, 0)
			c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
		})
	}
}
