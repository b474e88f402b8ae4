package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/planner"
	"corianderroad/specifier"
)

const (
	burstMinions = 40
	burstTime    = 60 * time.Second
)

// burstPolicy returns a policy under which urgent jobs must start within a second.
func burstPolicy() *specifier.Policy {
	policy := testPolicy()
	policy.Version++
	for index := range policy.Queues {
		policy.Queues[index].Stretch, policy.Queues[index].Slack = 1, 1200*time.Millisecond
	}
	return policy
}

// burstJob returns a job of the pool that is kept full: a gang or single tasks, with
// checkpoints or without.
func burstJob(random *rand.Rand, number int) specifier.Job {
	step := specifier.Step{
		Tasks: 20, Request: specifier.Resources{MilliCPU: 2800, MemoryMB: 4000, Accelerators: 1}, EstimatedRunTime: 9500 * time.Millisecond,
	}
	if number%3 == 0 {
		step = specifier.Step{
			Tasks: 13, Request: specifier.Resources{MilliCPU: 13000, MemoryMB: 8000, Accelerators: 2}, EstimatedRunTime: 6800 * time.Millisecond, Gang: true,
		}
	}
	step.Checkpoints = random.IntN(2) == 0
	return specifier.Job{ID: identifier.Job(fmt.Sprintf("w%04d", number)), Queue: normalQueue, Steps: []specifier.Step{step}}
}

func urgentJob(number int) specifier.Job {
	return specifier.Job{ID: identifier.Job(fmt.Sprintf("u%04d", number)), Queue: urgentQueue, Steps: []specifier.Step{{
		Tasks: 5, Request: specifier.Resources{MilliCPU: 3700, MemoryMB: 2000, Accelerators: 1}, EstimatedRunTime: 2500 * time.Millisecond,
	}}}
}

// burstResult is what one load of the burst gave.
type burstResult struct {
	lost         float64
	stopped      int
	broken       int
	urgentOnTime int
	// otherWorkDone is the work of the other jobs that are done, in core-seconds.
	otherWorkDone float64
}

// playBurst keeps a pool full and submits urgent jobs in bursts, while some minions leave at
// notice.
func playBurst(t *testing.T, seed uint64, features planner.Features, leaving int) burstResult {
	t.Helper()
	simulation := newSimulation(seed, 0, burstMinions)
	simulation.features = features
	simulation.checkpoints = &fakeCheckpoints{interval: time.Second, restartTime: 400 * time.Millisecond}
	holder := simulation.newNode("n0")
	simulation.nodes = append(simulation.nodes, holder)
	simulation.step(holder, messenger.PolicyRead{Policy: burstPolicy(), SentAt: simulation.now})
	simulation.makeHolder(holder)
	random := rand.New(rand.NewPCG(seed, 2)) // the same load with and without the rule
	for number := range 90 {
		job := burstJob(random, number)
		simulation.schedule(time.Duration(number)*burstTime/90, func() { simulation.submit(job) })
	}
	submittedAt := make(map[identifier.Job]time.Time)
	for burst := range 11 {
		simulation.schedule(time.Duration(5*(burst+1))*time.Second, func() {
			for index := range 6 {
				job := urgentJob(10*burst + index)
				submittedAt[job.ID] = simulation.now
				simulation.submit(job)
			}
		})
	}
	for index := range leaving {
		notice := 2*time.Second + time.Duration(random.Int64N(int64(4500*time.Millisecond)))
		minion := simulation.sortedMinions()[5*index]
		simulation.schedule(time.Duration(10+3*index)*time.Second, func() { simulation.leave(minion, notice) })
	}
	simulation.advance(burstTime)
	if len(simulation.violations) > 0 {
		t.Fatalf("seed %d: %v", seed, simulation.violations)
	}
	result := burstResult{
		lost: simulation.lostCoreSeconds, stopped: simulation.endsWithoutResult[messenger.EndStopped], broken: simulation.endsWithoutResult[messenger.EndGangBroken],
	}
	for task, state := range simulation.tasks {
		at, isUrgent := submittedAt[task.Job]
		switch {
		case !state.done:
		case !isUrgent:
			spec := &simulation.jobs[task.Job].Steps[task.Step]
			result.otherWorkDone += spec.EstimatedRunTime.Seconds() * coresOf(spec.Request)
		case state.doneAt.Sub(at) <= 3700*time.Millisecond:
			result.urgentOnTime++
		}
	}
	return result
}

// TestBurstLosesLessWork guards against a choice of victims that loses more work than the
// choice by the age of the runs, and against one that saves work at the cost of the urgent
// jobs for which it is stopped. A fifth of the minions leaves in the second load.
func TestBurstLosesLessWork(t *testing.T) {
	t.Parallel()
	for _, leaving := range []int{0, burstMinions / 5} {
		c := quicktest.New(t)
		var without, with burstResult
		for seed := range uint64(3) {
			without.add(t, seed+1, planner.Features{}, leaving)
			with.add(t, seed+1, planner.Features{LossAwareStops: true}, leaving)
		}
		c.Assert(with.lost < without.lost/2, quicktest.IsTrue)
		// A task whose minion leaves under it is late with and without the rule.
		c.Assert(float64(with.urgentOnTime) >= 0.99*float64(without.urgentOnTime), quicktest.IsTrue)
		// A gang that ends just before or after the end of the load is 1.6 % of its work.
		c.Assert(with.otherWorkDone >= 0.95*without.otherWorkDone, quicktest.IsTrue)
	}
}

// add plays a burst and adds its result.
func (sum *burstResult) add(t *testing.T, seed uint64, features planner.Features, leaving int) {
	t.Helper()
	result := playBurst(t, seed, features, leaving)
	t.Logf("seed %d, %d minions leave, loss-aware stops %t: %.0f core-seconds lost, %d runs stopped, %d broken, %d urgent tasks on time, %.0f core-seconds done for others",
		seed, leaving, features.LossAwareStops, result.lost, result.stopped, result.broken, result.urgentOnTime, result.otherWorkDone)
	sum.lost += result.lost
	sum.urgentOnTime += result.urgentOnTime
	sum.otherWorkDone += result.otherWorkDone
}
