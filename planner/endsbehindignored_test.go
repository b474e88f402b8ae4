package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// TestEndsBehindAnIgnoredEndAreHeard guards against a minion whose runs never end as
// far as the holder knows: one end there must not be acknowledged, so that the minion
// lists the same 500 ends for good.
func TestEndsBehindAnIgnoredEndAreHeard(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(500 * time.Millisecond)
	minion := supersedeEnd(c, simulation, "a")
	for _, other := range simulation.sortedMinions() {
		other.unregistered = other != minion
	}
	simulation.deliverAllReports()
	simulation.submit(jobOf("b", specifier.Step{Tasks: 700, Request: taskOf(1000, 0), EstimatedRunTime: 200 * time.Millisecond}))
	simulation.advance(2 * time.Minute)
	c.Assert(simulation.recordedState("b"), quicktest.Equals, specifier.Completed, quicktest.Commentf("ends listed: %d", len(minion.ends)))
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestExpiredLeaseReleasesIgnoredEnds guards against an end that stays unacknowledged although
// the lease has expired after it, so that an acknowledgement does not count any more.
func TestExpiredLeaseReleasesIgnoredEnds(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(500 * time.Millisecond)
	simulation.submit(jobOf("a",
		specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 2 * time.Second},
		specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 20 * time.Second}))
	simulation.advance(500 * time.Millisecond)
	first, second := specifier.Task{Job: "a"}, specifier.Task{Job: "a", Step: 1}
	minion := simulation.runningOn(first)
	c.Assert(simulation.runningOn(second), quicktest.Equals, minion)
	simulation.cutOff(true, minion.name)
	simulation.advance(12 * time.Second)
	c.Assert(simulation.taskState(first).startedRuns, quicktest.HasLen, 2)
	c.Assert(minion.ends, quicktest.HasLen, 2)
	simulation.cutOff(false, minion.name)
	simulation.advance(5 * time.Second)
	c.Assert(minion.ends, quicktest.HasLen, 0)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// withIgnoredEnd returns a simulation of two nodes with a minion of kind z that lists an end
// which must not be acknowledged, and that minion.
func withIgnoredEnd(c *quicktest.C, minions int, clockRate float64) (*simulation, *fakeMinion) {
	simulation := newSimulation(1, 2, minions)
	for _, minion := range simulation.sortedMinions() {
		minion.clockRate = clockRate
	}
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(500 * time.Millisecond)
	minion := supersedeEnd(c, simulation, "a")
	minion.kind = "z"
	simulation.deliverAllReports()
	return simulation, minion
}

// shortTasks returns a step of tasks that run on the minion of kind z only.
func shortTasks(tasks int) specifier.Step {
	return specifier.Step{Tasks: tasks, Request: taskOf(1000, 0), EstimatedRunTime: 200 * time.Millisecond, Label: "z"}
}

// TestRunsOfAllLengthsEndBehindAnIgnoredEnd guards against an end that stays unacknowledged for
// good because no run lasts for long enough, or none ends.
func TestRunsOfAllLengthsEndBehindAnIgnoredEnd(t *testing.T) {
	t.Parallel()
	for _, runTime := range []time.Duration{40 * time.Millisecond, 100 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		t.Run(runTime.String(), func(t *testing.T) {
			c := quicktest.New(t)
			simulation, minion := withIgnoredEnd(c, 2, 1)
			step := shortTasks(700)
			step.EstimatedRunTime = runTime
			simulation.submit(jobOf("b", step))
			simulation.advance(3 * time.Minute)
			c.Assert(simulation.recordedState("b"), quicktest.Equals, specifier.Completed, quicktest.Commentf("ends listed: %d", len(minion.ends)))
			c.Assert(simulation.violations, quicktest.HasLen, 0)
		})
	}
}

// TestEndsBehindAnIgnoredEndAreHeardByTheNextHolder guards against the same after takeovers:
// a new holder knows no more than what the minion lists.
func TestEndsBehindAnIgnoredEndAreHeardByTheNextHolder(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{2 * time.Second, 4 * time.Second, 10 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			c := quicktest.New(t)
			simulation, minion := withIgnoredEnd(c, 2, 1)
			simulation.submit(jobOf("b", shortTasks(700)))
			simulation.advance(after)
			simulation.nodes[0].alive = false
			simulation.advance(claimTimeout)
			simulation.makeHolder(simulation.nodes[1])
			simulation.advance(2 * time.Minute)
			c.Assert(simulation.recordedState("b"), quicktest.Equals, specifier.Completed, quicktest.Commentf("ends listed: %d", len(minion.ends)))
			c.Assert(simulation.violations, quicktest.HasLen, 0)
		})
	}
}

// TestLongRunDoesNotHoldUpEndsBehindAnIgnoredEnd guards against a minion that takes no new
// runs until a run of an hour there has ended.
func TestLongRunDoesNotHoldUpEndsBehindAnIgnoredEnd(t *testing.T) {
	t.Parallel()
	for name, long := range map[string]specifier.Step{
		"finite":       {EstimatedRunTime: time.Hour},
		"checkpoints":  {EstimatedRunTime: time.Hour, Checkpoints: true},
		"long-running": {LongRunning: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation, minion := withIgnoredEnd(c, 2, 1)
			long.Tasks, long.Request, long.Label = 1, taskOf(4000, 0), "z"
			simulation.submit(jobOf("l", long))
			simulation.submit(jobOf("b", shortTasks(700)))
			simulation.advance(2 * time.Minute)
			c.Assert(simulation.recordedState("b"), quicktest.Equals, specifier.Completed, quicktest.Commentf("ends listed: %d", len(minion.ends)))
			c.Assert(simulation.runningOn(specifier.Task{Job: "l"}), quicktest.Equals, minion)
			c.Assert(simulation.violations, quicktest.HasLen, 0)
		})
	}
}

// TestGangsRunOnAMinionWithManyIgnoredEnds guards against a minion that takes no gang any
// more, although no other work waits for it.
func TestGangsRunOnAMinionWithManyIgnoredEnds(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation, minion := withIgnoredEnd(c, 2, 1)
	for number := range 160 {
		gang := shortTasks(4)
		gang.Gang = true
		simulation.submit(jobOf(fmt.Sprintf("g%03d", number), gang))
	}
	simulation.advance(2 * time.Minute)
	for number := range 160 {
		id := identifier.Job(fmt.Sprintf("g%03d", number))
		c.Assert(simulation.recordedState(id), quicktest.Equals, specifier.Completed, quicktest.Commentf("%s, ends listed: %d", id, len(minion.ends)))
	}
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestServingTasksOutliveIgnoredEnds guards against more unavailable tasks of a serving step
// than it allows, because an end that must not be acknowledged is dealt with.
func TestServingTasksOutliveIgnoredEnds(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation, minion := withIgnoredEnd(c, 3, 1)
	simulation.submit(jobOf("s", specifier.Step{Tasks: 3, Request: taskOf(1000, 0), LongRunning: true, MaxUnavailable: 1, MaxPerMinion: 1}))
	simulation.advance(3 * time.Second)
	simulation.submit(jobOf("b", shortTasks(700)))
	for range 1200 {
		simulation.advance(100 * time.Millisecond)
		c.Assert(simulation.runsOf("s") >= 2, quicktest.IsTrue, quicktest.Commentf("%s", simulation.decisionsAbout("s.")))
	}
	c.Assert(simulation.recordedState("b"), quicktest.Equals, specifier.Completed, quicktest.Commentf("ends listed: %d", len(minion.ends)))
	c.Assert(simulation.runsOf("s"), quicktest.Equals, 3)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestServingTaskStaysWhileOthersAreUnavailable guards against a stop of a serving task, or a
// lease that expires under it, while as many others of its step are unavailable as it allows.
func TestServingTaskStaysWhileOthersAreUnavailable(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation, minion := withIgnoredEnd(c, 3, 1)
	simulation.submit(jobOf("s", specifier.Step{Tasks: 3, Request: taskOf(1000, 0), LongRunning: true, MaxUnavailable: 1, MaxPerMinion: 1}))
	simulation.advance(3 * time.Second)
	crashed := simulation.sortedMinions()[2]
	c.Assert(crashed, quicktest.Not(quicktest.Equals), minion)
	crashed.crash()
	simulation.submit(jobOf("b", shortTasks(700)))
	for range 400 {
		simulation.advance(100 * time.Millisecond)
		c.Assert(simulation.runsOf("s"), quicktest.Equals, 2, quicktest.Commentf("%s", simulation.decisionsAbout("s.")))
	}
	simulation.restart(crashed)
	simulation.advance(2 * time.Minute)
	c.Assert(simulation.recordedState("b"), quicktest.Equals, specifier.Completed, quicktest.Commentf("ends listed: %d", len(minion.ends)))
	c.Assert(simulation.runsOf("s"), quicktest.Equals, 3)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// runsOf returns the number of runs of a job.
func (simulation *simulation) runsOf(id identifier.Job) int {
	runs := 0
	for task, state := range simulation.tasks {
		if task.Job == id {
			runs += len(state.running)
		}
	}
	return runs
}

// TestEndsBehindAnIgnoredEndUnderFaults guards against jobs that never end and against
// recorded ends before a later start, on a minion with an ignored end, whatever the run times,
// while answers are lost, orders arrive late and the holder changes.
func TestEndsBehindAnIgnoredEndUnderFaults(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	rapid.Check(t, func(t *rapid.T) {
		simulation, _ := withIgnoredEnd(c, 2, rapid.SampledFrom([]float64{0.98, 1, 1.02}).Draw(t, "clock-rate"))
		simulation.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		simulation.lostAnswerShare = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "lost-answers")
		simulation.lateOrderShare = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "late-orders")
		simulation.outdatedListShare = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "outdated-lists")
		simulation.delayVariation = rapid.SampledFrom([]time.Duration{0, 60 * time.Millisecond, 400 * time.Millisecond}).Draw(t, "delay-variation")
		shortest := rapid.SampledFrom([]int{40, 120}).Draw(t, "shortest")
		longest := rapid.SampledFrom([]int{20, 400, 1500}).Draw(t, "longest")
		simulation.workTime = func(run *fakeRun) time.Duration {
			if run.task.Job == "l" {
				return 25 * time.Second
			}
			return time.Duration(shortest+simulation.random.IntN(longest)) * time.Millisecond
		}
		if rapid.Bool().Draw(t, "long") {
			simulation.submit(jobOf("l", specifier.Step{Tasks: 1, Request: taskOf(4000, 0), EstimatedRunTime: 25 * time.Second, Label: "z"}))
		}
		simulation.submit(jobOf("b", shortTasks(600)))
		simulation.advance(drawMilliseconds(t, "takeover-at", 1000, 20000))
		if rapid.Bool().Draw(t, "takeover") {
			simulation.nodes[0].alive = false
			simulation.advance(claimTimeout)
			simulation.makeHolder(simulation.nodes[1])
		}
		simulation.advance(drawMilliseconds(t, "faults-for", 1000, 20000))
		simulation.lostAnswerShare, simulation.lateOrderShare, simulation.outdatedListShare, simulation.delayVariation = 0, 0, 0, 0
		for range 240 {
			if simulation.recordedState("b").IsFinal() {
				break
			}
			simulation.advance(time.Second)
		}
		simulation.advance(30 * time.Second)
		simulation.checkAttempts()
		simulation.checkAllEnded()
		simulation.failOnViolations(t)
	})
}
