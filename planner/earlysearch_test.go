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

// newPatientSimulation returns a simulation of minions that are full of runs without checkpoints,
// whose stops lose much. Urgent steps may wait for a minute.
func newPatientSimulation(minions int) *simulation {
	simulation := newEvictionSimulation(1, minions)
	policy := burstPolicy()
	policy.Version++
	for index := range policy.Queues {
		policy.Queues[index].Slack = time.Minute
	}
	simulation.step(simulation.nodes[0], messenger.PolicyRead{Policy: policy, SentAt: simulation.now})
	simulation.submit(jobOf("low", specifier.Step{Tasks: 8 * minions, Request: taskOf(1000, 1), EstimatedRunTime: time.Hour}))
	simulation.advance(20 * time.Second)
	return simulation
}

// TestUrgentStepsThatCanWaitAreSearchedForSeldom guards against a holder that uses its processor up
// in a backlog of urgent steps: a search passes through all runs (1.1 ms for 350 minions), and each
// step that was not due searched after each 0.15 s.
func TestUrgentStepsThatCanWaitAreSearchedForSeldom(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const (
		steps    = 300
		duration = 5 * time.Second
		// maxSearches allows six in each pass. With so many steps, passes are at least 50 ms apart.
		maxSearches = 6 * int(duration/(50*time.Millisecond))
	)
	simulation := newPatientSimulation(4)
	searches := simulation.nodes[0].planner.CountSearches()
	for index := range steps {
		simulation.submit(urgent(fmt.Sprintf("u%03d", index), 1, 3*time.Second))
	}
	simulation.advance(duration)
	c.Assert(simulation.stops("low"), quicktest.HasLen, 0)
	c.Assert(*searches > 0, quicktest.IsTrue)
	c.Assert(*searches <= maxSearches, quicktest.IsTrue, quicktest.Commentf("%d searches, %d allowed", *searches, maxSearches))
}

// TestEarlyStopsReachStepsBehindOthers guards against urgent steps for which little would be lost,
// and that are never considered because more urgent steps find nothing in each pass.
func TestEarlyStopsReachStepsBehindOthers(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newPatientSimulation(4)
	for index := range 20 {
		simulation.submit(urgent(fmt.Sprintf("u%03d", index), 1, 3*time.Second))
	}
	simulation.advance(time.Second)
	simulation.submit(urgent("long", 1, 100*time.Second)) // half its work is more than a stop loses
	simulation.advance(5 * time.Second)                   // two steps have their turn each 0.25 s while nothing happens
	c.Assert(simulation.stops("low"), quicktest.HasLen, 1)
	c.Assert(simulation.taskState(specifier.Task{Job: "long"}).startedRuns, quicktest.HasLen, 1)
}

// TestEarlySearchDelaysNoDueStop guards against an urgent step that is due and waits until it may
// search again, because it has found nothing shortly before it was due.
func TestEarlySearchDelaysNoDueStop(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const (
		dueAfter = 1100 * time.Millisecond // 2.1 s less the time of a stop, 1 s
		maxDelay = 40 * time.Millisecond   // passes of a small pool, with the events that lead to them
		jobs     = 15
	)
	for index := range jobs {
		simulation := newUrgencySimulation()
		simulation.submit(jobOf("low", specifier.Step{Tasks: 8, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
		simulation.advance(4 * time.Second)
		simulation.advance(time.Duration(index) * 10 * time.Millisecond)
		for number := range 200 {
			simulation.schedule(time.Duration(number)*10*time.Millisecond, func() { // each is a reason for a pass
				simulation.submit(jobOf(fmt.Sprintf("w%03d", number), specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Second}))
			})
		}
		simulation.submit(urgent("u", 1, 3*time.Second))
		simulation.advance(dueAfter + maxDelay)
		c.Check(simulation.stops("low"), quicktest.HasLen, 1, quicktest.Commentf("%d: %s", index, strings.Join(simulation.decisions, "\n")))
	}
}
