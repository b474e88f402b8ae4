package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// policyWithout returns the test's policy without a queue.
func policyWithout(queue identifier.Queue, version int64) *specifier.Policy {
	policy := testPolicy()
	policy.Version = version
	policy.Queues = slices.DeleteFunc(policy.Queues, func(other specifier.Queue) bool { return other.Name == queue })
	return policy
}

// TestAttemptsUsedUpWithoutQueueEndTheJob guards against a start after the last attempt
// of a task has failed while the holder did not know the limit, because no configuration
// had the job's queue.
func TestAttemptsUsedUpWithoutQueueEndTheJob(t *testing.T) {
	t.Parallel()
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprint("gang=", gang), func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, 4)
			node := simulation.nodes[0]
			simulation.makeHolder(node)
			simulation.fails = func(*fakeRun) bool { return true }
			simulation.submit(jobOf("a", specifier.Step{Tasks: 2, Request: taskOf(1000, 1), EstimatedRunTime: time.Second, Gang: gang}))
			task := simulation.taskState(specifier.Task{Job: "a"})
			for len(task.startedRuns) < attempts {
				simulation.advance(10 * time.Millisecond)
			}
			simulation.step(node, messenger.PolicyRead{Policy: policyWithout(normalQueue, 2), SentAt: simulation.now})
			simulation.advance(3 * time.Second)
			c.Assert(task.running, quicktest.HasLen, 0)
			simulation.step(node, messenger.PolicyRead{Policy: policyWithout("", 3), SentAt: simulation.now})
			simulation.advance(3 * time.Second)
			c.Assert(task.startedRuns, quicktest.HasLen, attempts)
			c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Failed)
			simulation.checkAttempts()
			c.Assert(simulation.violations, quicktest.HasLen, 0)
		})
	}
}
