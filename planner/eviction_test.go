package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/planner"
	"corianderroad/specifier"
)

// newEvictionSimulation returns a simulation whose holders choose stops by the work that is
// lost, with checkpoints after each second and urgent jobs that must start within 1.2 s.
func newEvictionSimulation(nodes, minions int) *simulation {
	simulation := newSimulation(1, 0, minions)
	simulation.features = planner.Features{LossAwareStops: true}
	simulation.checkpoints = &fakeCheckpoints{interval: time.Second, restartTime: 400 * time.Millisecond}
	for index := range nodes {
		node := simulation.newNode(fmt.Sprintf("n%d", index))
		simulation.nodes = append(simulation.nodes, node)
		simulation.step(node, messenger.PolicyRead{Policy: burstPolicy(), SentAt: simulation.now})
	}
	simulation.makeHolder(simulation.nodes[0])
	return simulation
}

// urgent returns a job of priority 0 with tasks for one accelerator.
func urgent(id string, tasks int, work time.Duration) specifier.Job {
	return specifier.Job{ID: identifier.Job(id), Queue: urgentQueue, Steps: []specifier.Step{{Tasks: tasks, Request: taskOf(1000, 1), EstimatedRunTime: work}}}
}

// stops returns the decisions to stop a run of a job.
func (simulation *simulation) stops(job string) []string {
	var found []string
	for _, line := range simulation.decisions {
		if strings.Contains(line, " "+job+".") && strings.Contains(line, " stop: ") {
			found = append(found, line)
		}
	}
	return found
}

// TestReclaimCountsOnlyWaitingTasks guards against runs that are stopped for tasks of a step
// for which there was free room, and which have just been started.
func TestReclaimCountsOnlyWaitingTasks(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvictionSimulation(1, 1)
	simulation.submit(jobOf("low", specifier.Step{Tasks: 5, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
	simulation.advance(200 * time.Millisecond)
	simulation.submit(urgent("u", 5, 5*time.Second)) // 3 accelerators are free
	simulation.advance(2 * time.Second)
	c.Assert(simulation.minions["m00"].runs, quicktest.HasLen, 8)
	c.Assert(simulation.stops("low"), quicktest.HasLen, 2, quicktest.Commentf("%s", strings.Join(simulation.decisions, "\n")))
}

// TestNothingIsStoppedForRoomThatComesFree guards against stops for room that runs leave by
// themselves before the stops would have ended.
func TestNothingIsStoppedForRoomThatComesFree(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvictionSimulation(1, 1)
	simulation.submit(jobOf("soon", specifier.Step{Tasks: 4, Request: taskOf(1000, 1), EstimatedRunTime: 4 * time.Second}))
	simulation.submit(jobOf("late", specifier.Step{Tasks: 4, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute, Checkpoints: true}))
	simulation.advance(3900 * time.Millisecond)
	simulation.submit(urgent("u", 4, 2*time.Second)) // must start 1.2 s later
	simulation.advance(3 * time.Second)
	c.Assert(simulation.stops("late"), quicktest.HasLen, 0)
	c.Assert(simulation.stops("soon"), quicktest.HasLen, 0)
	c.Assert(simulation.taskState(specifier.Task{Job: "u", Index: 3}).startedRuns, quicktest.HasLen, 1)
}

// TestNothingIsStoppedForJobWithoutRecord guards against runs that are stopped for a job
// whose tasks can't start, because the store does not take the record that allows it.
func TestNothingIsStoppedForJobWithoutRecord(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvictionSimulation(1, 1)
	simulation.submit(jobOf("low", specifier.Step{Tasks: 8, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute, Checkpoints: true}))
	simulation.advance(2 * time.Second)
	simulation.store.notDoneShare = 1
	simulation.submit(urgent("u", 4, 2*time.Second))
	simulation.advance(3 * time.Second)
	c.Assert(simulation.stops("low"), quicktest.HasLen, 0)
	c.Assert(simulation.taskState(specifier.Task{Job: "u"}).startedRuns, quicktest.HasLen, 0)
}

// TestGangIsNotStoppedAgainAtOnce guards against a gang that is stopped a second time as
// soon as it runs again, because it has done the least work by then.
func TestGangIsNotStoppedAgainAtOnce(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvictionSimulation(1, 3)
	wide := func(id string, tasks int, work time.Duration) specifier.Job {
		job := urgent(id, tasks, work)
		job.Steps[0].Request = taskOf(1000, 8)
		return job
	}
	simulation.submit(jobOf("gang", specifier.Step{Tasks: 2, Request: taskOf(1000, 8), EstimatedRunTime: time.Minute, Gang: true}))
	simulation.advance(500 * time.Millisecond)
	simulation.submit(wide("u1", 1, time.Second))
	simulation.submit(wide("u2", 2, 3*time.Second))
	simulation.advance(time.Second)
	c.Assert(simulation.stops("gang"), quicktest.HasLen, 2)
	simulation.submit(jobOf("single", specifier.Step{Tasks: 1, Request: taskOf(1000, 8), EstimatedRunTime: time.Minute, Checkpoints: true}))
	for len(simulation.taskState(specifier.Task{Job: "gang"}).running) == 0 {
		simulation.advance(10 * time.Millisecond)
	}
	simulation.submit(wide("u3", 1, 2500*time.Millisecond))
	simulation.advance(2 * time.Second)
	c.Assert(simulation.taskState(specifier.Task{Job: "u3"}).startedRuns, quicktest.HasLen, 1)
	c.Assert(simulation.stops("single"), quicktest.HasLen, 1)
	c.Assert(simulation.stops("gang"), quicktest.HasLen, 2)
}

// TestHolderDiesBetweenStopAndStart guards against victims and urgent tasks that are lost when
// the holder dies after its stops, and against a new holder that stops a task more than once
// more.
func TestHolderDiesBetweenStopAndStart(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvictionSimulation(2, 2)
	simulation.submit(jobOf("gang", specifier.Step{Tasks: 4, Request: taskOf(1000, 2), EstimatedRunTime: 8 * time.Second, Gang: true, Checkpoints: true}))
	simulation.submit(jobOf("low", specifier.Step{Tasks: 8, Request: taskOf(1000, 1), EstimatedRunTime: 8 * time.Second}))
	simulation.advance(time.Second)
	simulation.submit(urgent("u", 12, 2*time.Second))
	for len(simulation.stops("gang"))+len(simulation.stops("low")) == 0 {
		simulation.advance(time.Millisecond)
	}
	stopped := len(simulation.stops("gang")) + len(simulation.stops("low"))
	simulation.nodes[0].alive = false
	simulation.advance(time.Second)
	simulation.makeHolder(simulation.nodes[1])
	simulation.advance(40 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	for _, job := range []identifier.Job{"gang", "low", "u"} {
		c.Assert(simulation.recordedState(job), quicktest.Equals, specifier.Completed)
	}
	again := len(simulation.stops("gang")) + len(simulation.stops("low")) - stopped
	c.Assert(again <= stopped, quicktest.IsTrue, quicktest.Commentf("%d stops, then %d", stopped, again))
}
