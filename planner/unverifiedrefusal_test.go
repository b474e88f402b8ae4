package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// refuseOnce lets the minion that gets the start of a task first refuse it. The start was on a used connection, so
// that it is sent twice, and the refusal of the second copy leaves open whether the first one is carried out.
func refuseOnce(simulation *simulation, index int) {
	isRefused, isRepeated := false, false
	for _, minion := range simulation.sortedMinions() {
		minion.faults.repeats = func(order messenger.Order) time.Duration {
			if start, ok := order.(messenger.StartRun); !ok || start.Task.Index != index || isRepeated {
				return 0
			}
			isRepeated = true
			return time.Hour // the first copy is never read
		}
		minion.faults.refuse = func(order messenger.Order) classifier.Code {
			if start, ok := order.(messenger.StartRun); !ok || start.Task.Index != index || isRefused {
				return classifier.OK
			}
			isRefused = true
			return classifier.NoCapacity
		}
	}
}

// TestStartRefusedTwiceIsReplacedSoon guards against a task that waits for two long polls of its minion, 2.4 s,
// after a refusal on a used connection.
func TestStartRefusedTwiceIsReplacedSoon(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	refuseOnce(simulation, 0)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
	simulation.advance(600 * time.Millisecond)
	c.Assert(simulation.countWorking("a"), quicktest.Equals, 1, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.decisionsAbout("a."), quicktest.Contains, "refused: no-capacity")
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
