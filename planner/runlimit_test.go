package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// newLimitedSimulation returns a simulation with one node, the holder, that may have a number of
// runs at the same time.
func newLimitedSimulation(seed uint64, minions, maxRuns int) *simulation {
	simulation := newSimulation(seed, 0, minions)
	simulation.maxRuns = maxRuns
	simulation.nodes = append(simulation.nodes, simulation.newNode("n0"))
	simulation.makeHolder(simulation.nodes[0])
	return simulation
}

// tinyTasks returns a step of tasks of which a minion has room for thousands.
func tinyTasks(count int, runTime time.Duration) specifier.Step {
	return specifier.Step{Tasks: count, Request: specifier.Resources{MilliCPU: 1, MemoryMB: 1}, EstimatedRunTime: runTime}
}

// submitFor submits a job of a workspace.
func (simulation *simulation) submitFor(workspace identifier.Workspace, job specifier.Job) {
	job.Workspace = workspace
	simulation.submit(job)
}

// TestRunLimit guards against runs without number at the holder, and against a workspace whose
// tiny tasks take all the runs that the holder may have.
func TestRunLimit(t *testing.T) {
	t.Parallel()
	const maxRuns = 40
	c := quicktest.New(t)
	simulation := newLimitedSimulation(1, 4, maxRuns)
	simulation.submitFor("w1", jobOf("tiny", tinyTasks(200, 10*time.Second)))
	simulation.advance(3 * time.Second)
	c.Assert(simulation.countWorking("tiny"), quicktest.Equals, maxRuns*3/4)
	waiting := simulation.waitingSteps(c, simulation.nodes[0], "tiny")
	c.Assert(waiting, quicktest.HasLen, 1)
	c.Assert(waiting[0].Reason, quicktest.Equals, "run-limit")

	simulation.submitFor("w2", jobOf("other", tinyTasks(5, 10*time.Second)))
	simulation.submitFor("w1", jobOf("more", tinyTasks(5, 10*time.Second)))
	simulation.assertWorking(c, "other", 5)
	c.Assert(simulation.countWorking("more"), quicktest.Equals, 0)

	simulation.advance(100 * time.Second)
	for _, id := range []identifier.Job{"tiny", "other", "more"} {
		c.Assert(simulation.recordedState(id), quicktest.Equals, specifier.Completed)
	}
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestGangAtRunLimit guards against a gang that starts in parts when only some of its tasks may
// start, and against one that does not start when all of them may.
func TestGangAtRunLimit(t *testing.T) {
	t.Parallel()
	const gangTasks = 10 // a quarter of the limit, which each workspace may start while half of it is free
	c := quicktest.New(t)
	simulation := newLimitedSimulation(1, 4, 40)
	simulation.submitFor("w1", jobOf("tiny", tinyTasks(30, 5*time.Second)))
	simulation.advance(2 * time.Second)
	gang := tinyTasks(gangTasks, 10*time.Second)
	gang.Gang = true
	simulation.submitFor("w2", jobOf("gang", gang))
	for simulation.countWorking("tiny") == 30 {
		c.Assert(simulation.countWorking("gang"), quicktest.Equals, 0)
		simulation.advance(10 * time.Millisecond)
	}
	simulation.advance(time.Second)
	c.Assert(simulation.countWorking("gang"), quicktest.Equals, gangTasks, quicktest.Commentf("%s", simulation.decisionsAbout("gang")))
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestRunLimitHolds guards against more runs than the holder may have, and against jobs that
// don't end because of the limit, with jobs of all kinds and gangs of several workspaces.
func TestRunLimitHolds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const maxRuns, jobs = 40, 8
		simulation := newLimitedSimulation(rapid.Uint64().Draw(t, "seed"), 4, maxRuns)
		for number := range jobs {
			step := tinyTasks(rapid.IntRange(1, 80).Draw(t, "tasks"), time.Duration(rapid.IntRange(1, 40).Draw(t, "run-time"))*100*time.Millisecond)
			if rapid.Bool().Draw(t, "gang") {
				step.Gang, step.Tasks = true, min(step.Tasks, maxRuns/4)
			}
			job := jobOf(fmt.Sprintf("j%d", number), step)
			workspace := identifier.Workspace(fmt.Sprintf("w%d", rapid.IntRange(1, 3).Draw(t, "workspace")))
			simulation.schedule(time.Duration(rapid.IntRange(0, 3000).Draw(t, "at"))*time.Millisecond, func() { simulation.submitFor(workspace, job) })
		}
		for range 1200 {
			simulation.advance(100 * time.Millisecond)
			working := 0
			for id := range simulation.jobs {
				working += simulation.countWorking(id)
			}
			if working > maxRuns {
				t.Fatalf("%d runs, at most %d are allowed", working, maxRuns)
			}
		}
		for id := range simulation.jobs {
			if state := simulation.recordedState(id); state != specifier.Completed {
				t.Fatalf("%s is %v: %s", id, state, simulation.decisionsAbout(string(id)))
			}
		}
		if len(simulation.violations) > 0 {
			t.Fatalf("%v", simulation.violations)
		}
	})
}
