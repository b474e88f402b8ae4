package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// TestStepRunsWithSlowAdvice guards against advice that is requested again for ever
// with the same timeout, because its answer takes longer than that on a full link.
func TestStepRunsWithSlowAdvice(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{500 * time.Millisecond, time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, 4)
			simulation.services.adviceDelay = delay
			simulation.makeHolder(simulation.nodes[0])
			job := jobOf("a", wholeMinions(1, time.Second))
			job.Queue = adviceQueue
			simulation.submit(job)
			simulation.advance(time.Minute)
			c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed,
				quicktest.Commentf("%d requests", simulation.services.adviceRequests))
		})
	}
}
