package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// newUrgencySimulation returns a simulation of one minion in which an urgent task of 3 s is on time
// within 5.1 s, and may start 2.1 s after its submission by its declared run time.
func newUrgencySimulation() *simulation {
	simulation := newEvictionSimulation(1, 1)
	policy := burstPolicy()
	policy.Version++
	for index := range policy.Queues {
		policy.Queues[index].Stretch, policy.Queues[index].Slack = 1.5, 600*time.Millisecond
	}
	simulation.step(simulation.nodes[0], messenger.PolicyRead{Policy: policy, SentAt: simulation.now})
	return simulation
}

// TestUrgentJobWithRoughEstimateIsOnTime guards against urgent jobs that are late under a full pool
// of work with checkpoints, because runs are stopped for them only when they can just be on time by
// a declared run time that is too short.
func TestUrgentJobWithRoughEstimateIsOnTime(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newUrgencySimulation()
	simulation.submit(jobOf("low", specifier.Step{Tasks: 8, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute, Checkpoints: true}))
	simulation.advance(5 * time.Second)
	job := urgent("u", 1, 3*time.Second)
	simulation.workTime = func(run *fakeRun) time.Duration {
		if run.task.Job == job.ID {
			return run.spec.EstimatedRunTime * 4 / 3
		}
		return run.spec.EstimatedRunTime
	}
	simulation.submit(job)
	simulation.advance(5100 * time.Millisecond)
	c.Assert(simulation.recordedState(job.ID), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.stops("low"), quicktest.HasLen, 1)
}

// TestNoRunIsStoppedEarlyForItsWholeWork guards against runs without checkpoints that are stopped
// for an urgent job that can still be on time without the stop.
func TestNoRunIsStoppedEarlyForItsWholeWork(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newUrgencySimulation()
	simulation.submit(jobOf("low", specifier.Step{Tasks: 8, Request: taskOf(1000, 1), EstimatedRunTime: 6500 * time.Millisecond}))
	simulation.advance(5 * time.Second)
	simulation.submit(urgent("u", 1, 3*time.Second))
	simulation.advance(2 * time.Second)
	c.Assert(simulation.stops("low"), quicktest.HasLen, 0)
	c.Assert(simulation.taskState(specifier.Task{Job: "u"}).startedRuns, quicktest.HasLen, 1)
}

// TestTakeoverKeepsWorkWithoutCheckpoint guards against runs that are stopped early after a takeover
// because the new holder counts their unsaved work from its first poll: a run that has given no
// checkpoint yet loses all of it.
func TestTakeoverKeepsWorkWithoutCheckpoint(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvictionSimulation(2, 1)
	simulation.checkpoints.interval = 50 * time.Second
	policy := burstPolicy()
	policy.Version++
	for index := range policy.Queues {
		policy.Queues[index].Slack = time.Minute
	}
	for _, node := range simulation.nodes {
		simulation.step(node, messenger.PolicyRead{Policy: policy, SentAt: simulation.now})
	}
	simulation.submit(jobOf("low", specifier.Step{Tasks: 8, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute, Checkpoints: true}))
	simulation.advance(25 * time.Second)
	simulation.nodes[0].alive = false
	simulation.makeHolder(simulation.nodes[1])
	simulation.advance(300 * time.Millisecond)
	simulation.submit(urgent("u", 1, 3*time.Second))
	simulation.advance(5 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	c.Assert(simulation.stops("low"), quicktest.HasLen, 0)
}
