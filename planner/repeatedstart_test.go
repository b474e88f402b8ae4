package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestStartOfEndedJobIsNotRepeated guards against a start without an answer that is sent again after
// its gang is done: a node keeps no payload of an ended job, so that the minion would be told to run
// a task with another payload.
func TestStartOfEndedJobIsNotRepeated(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 2)
	simulation.makeHolder(simulation.nodes[0])
	starts := 0
	simulation.minions["m01"].faults.delays = func(order messenger.Order) time.Duration {
		if start, ok := order.(messenger.StartRun); ok {
			starts++
			c.Check(start.Payload, quicktest.HasLen, 1000)
			return time.Millisecond // carried out, and not answered
		}
		return 0
	}
	gang := wholeMinions(2, 200*time.Millisecond)
	gang.Gang = true
	job := jobOf("gang", gang)
	job.Payload = strings.Repeat("p", 1000)
	simulation.submit(job)
	simulation.advance(10 * time.Second)
	c.Assert(simulation.recordedState("gang"), quicktest.Equals, specifier.Completed)
	c.Assert(starts, quicktest.Equals, 1)
	c.Assert(simulation.minions["m01"].runs, quicktest.HasLen, 0)
}
