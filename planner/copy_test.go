package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// copiedTask is the task that lags behind in the tests of copies.
var copiedTask = specifier.Task{Job: "a"}

// redundantStep returns single tasks of which a minion can run only one, and which may be copied.
func redundantStep(tasks int) specifier.Step {
	step := runsOneByOne(tasks)
	step.Redundant = true
	return step
}

// copySimulation returns a simulation in which the copied task has stalled for span and its minion.
func copySimulation(nodes, minions int, step specifier.Step, span time.Duration) (*simulation, *fakeMinion) {
	simulation := newProfilingSimulation(1, nodes, minions)
	simulation.submit(jobOf("a", step))
	simulation.advance(3 * time.Second)
	stalled := simulation.minionOf(copiedTask)
	simulation.speeds.set(stalled, 0)
	simulation.advance(span)
	return simulation, stalled
}

// copyTime is the time after which a task that has stalled has a copy.
const copyTime = 9 * time.Second

func (simulation *simulation) copiesBy(outcome string) float64 {
	return simulation.counts["copies "+outcome]
}

// otherRun returns the run of the copied task that is not on the given minion, nil if there is none.
func (simulation *simulation) otherRun(than *fakeMinion) *fakeRun {
	for run := range simulation.taskState(copiedTask).running {
		if run.minion != than {
			return run
		}
	}
	return nil
}

// isOnlyRun reports whether no other run of the copied task is left.
func (simulation *simulation) isOnlyRun(run *fakeRun) bool {
	running := simulation.taskState(copiedTask).running
	return len(running) == 1 && running[run]
}

// TestLaggingTaskIsCopied guards against a task that waits for its minion although it may be copied,
// and against a run that is stopped for it.
func TestLaggingTaskIsCopied(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation, stalled := copySimulation(1, 8, redundantStep(5), copyTime)
	c.Assert(len(simulation.taskState(copiedTask).running), quicktest.Equals, 2, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.awaitEnd("a", time.Minute) < 16*time.Second, quicktest.IsTrue)
	c.Assert(simulation.copiesBy("started"), quicktest.Equals, 1.0)
	c.Assert(simulation.copiesBy("copy-won"), quicktest.Equals, 1.0)
	c.Assert(simulation.stallStops(), quicktest.Equals, 0.0)
	simulation.advance(time.Second)
	c.Assert(len(stalled.runs), quicktest.Equals, 0) // the original was stopped
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	c.Assert(strings.Join(simulation.decisions, "\n"), quicktest.Contains, "a.0.0.0 copy: ")
}

// TestSlowRunIsCopied guards against a run on a minion at a third of the usual speed for which all
// others wait.
func TestSlowRunIsCopied(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newProfilingSimulation(1, 1, 16)
	step := redundantStep(12)
	step.Checkpoints = true
	simulation.submit(jobOf("a", step))
	simulation.advance(4500 * time.Millisecond)
	simulation.speeds.set(simulation.minionOf(copiedTask), 1.0/3)
	took := simulation.awaitEnd("a", time.Minute)
	c.Assert(simulation.copiesBy("copy-won"), quicktest.Equals, 1.0)
	c.Assert(took < 24*time.Second, quicktest.IsTrue, quicktest.Commentf("%s", took)) // 24.9 s without a copy
}

// TestOnlyAllowedTasksAreCopied guards against two runs of a task at the same time where the job, a
// gang, a label, the limit per minion, the attempts or the flag forbid them.
func TestOnlyAllowedTasksAreCopied(t *testing.T) {
	t.Parallel()
	label := redundantStep(4)
	label.Label = "b"
	gang := redundantStep(4)
	gang.Gang = true
	perMinion := redundantStep(4)
	perMinion.MaxPerMinion, perMinion.Request = 1, taskOf(1000, 1)
	for name, step := range map[string]specifier.Step{"not redundant": runsOneByOne(4), "label": label, "gang": gang, "per minion": perMinion} {
		c := quicktest.New(t)
		simulation := newProfilingSimulation(1, 0, 8)
		for index, minion := range simulation.sortedMinions() {
			if index < 4 {
				minion.kind = "b"
			}
		}
		minions := 8
		if name == "per minion" { // each minion but the stalled one has a run of the step
			minions = 4
		}
		for _, minion := range simulation.sortedMinions()[minions:] {
			minion.unregistered = true
		}
		simulation.nodes = append(simulation.nodes, simulation.newNode("n0"))
		simulation.makeHolder(simulation.nodes[0])
		simulation.submit(jobOf("a", step))
		simulation.advance(3 * time.Second)
		simulation.speeds.set(simulation.minionOf(copiedTask), 0)
		simulation.advance(8 * time.Second)
		c.Assert(simulation.copiesBy("started"), quicktest.Equals, 0.0, quicktest.Commentf("%s\n%s", name, simulation.decisionsAbout("a.")))
		c.Assert(simulation.violations, quicktest.HasLen, 0)
	}
}

// TestTaskWithLastAttemptIsNotCopied guards against a copy that starts although the run which it
// copies may be the last attempt of its task.
func TestTaskWithLastAttemptIsNotCopied(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newProfilingSimulation(1, 1, 8)
	failures := 0
	simulation.workTime = func(run *fakeRun) time.Duration {
		if run.task == copiedTask && failures < attempts-1 {
			return 200 * time.Millisecond
		}
		return run.spec.EstimatedRunTime
	}
	simulation.fails = func(run *fakeRun) bool {
		if run.task != copiedTask || failures >= attempts-1 {
			return false
		}
		failures++
		return true
	}
	simulation.submit(jobOf("a", redundantStep(5)))
	simulation.advance(5 * time.Second)
	c.Assert(failures, quicktest.Equals, attempts-1)
	simulation.speeds.set(simulation.minionOf(copiedTask), 0)
	simulation.advance(copyTime)
	c.Assert(simulation.copiesBy("started"), quicktest.Equals, 0.0)
}

// TestNoCopyWhileAStepWaits guards against a copy that takes capacity for which a step waits.
func TestNoCopyWhileAStepWaits(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newProfilingSimulation(1, 1, 8)
	simulation.submit(jobOf("a", redundantStep(5)))
	simulation.advance(3 * time.Second)
	simulation.submit(jobOf("waits", wholeMinionGang(8, time.Second)))
	simulation.speeds.set(simulation.minionOf(copiedTask), 0)
	simulation.advance(copyTime)
	c.Assert(simulation.copiesBy("started"), quicktest.Equals, 0.0)
}

// TestFirstRunToEndWins guards against a task that is not done by its original run, or whose copy runs
// on, when the minion recovers before the copy has ended.
func TestFirstRunToEndWins(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation, stalled := copySimulation(1, 8, redundantStep(5), copyTime)
	simulation.speeds.set(simulation.otherRun(stalled).minion, 0)
	simulation.speeds.set(stalled, 1)
	c.Assert(simulation.awaitEnd("a", time.Minute) < 12*time.Second, quicktest.IsTrue)
	c.Assert(simulation.copiesBy("original-won"), quicktest.Equals, 1.0)
	simulation.advance(time.Second)
	c.Assert(len(simulation.taskState(copiedTask).running), quicktest.Equals, 0)
}

// TestBothRunsEndAtTheSameMoment guards against a task whose second end holds up its minion or its
// job.
func TestBothRunsEndAtTheSameMoment(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation, stalled := copySimulation(1, 8, redundantStep(5), copyTime)
	other := simulation.otherRun(stalled)
	other.minion.finishRun(other)
	stalled.finishRun(stalled.runs[copiedTask])
	simulation.awaitEnd("a", time.Minute)
	simulation.advance(5 * time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	c.Assert(len(stalled.ends)+len(other.minion.ends), quicktest.Equals, 0) // both are acknowledged
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestCopyThatFailsLeavesTheOriginal guards against a task that starts a third run, or waits for
// ever, when its copy or its original fails.
func TestCopyThatFailsLeavesTheOriginal(t *testing.T) {
	t.Parallel()
	for _, copyFails := range []bool{false, true} {
		c := quicktest.New(t)
		simulation, stalled := copySimulation(1, 8, redundantStep(5), copyTime)
		ending, left := stalled.runs[copiedTask], simulation.otherRun(stalled)
		if copyFails {
			ending, left = left, ending
		}
		ending.minion.endRun(ending, messenger.EndFailed)
		simulation.speeds.set(stalled, 1)
		simulation.advance(3 * time.Second)
		c.Assert(simulation.isOnlyRun(left), quicktest.IsTrue, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
		c.Assert(simulation.taskState(copiedTask).startedRuns, quicktest.HasLen, 2)
		simulation.awaitEnd("a", time.Minute)
		c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
		c.Assert(simulation.violations, quicktest.HasLen, 0)
	}
}

// TestTakeoverFindsBothRuns guards against a new holder that stops one of two valid runs, starts a
// third one, or takes the end of the earlier run for outdated.
func TestTakeoverFindsBothRuns(t *testing.T) {
	t.Parallel()
	for _, originalWins := range []bool{false, true} {
		c := quicktest.New(t)
		simulation, stalled := copySimulation(2, 8, redundantStep(5), copyTime)
		simulation.nodes[0].alive = false
		simulation.advance(claimTimeout)
		simulation.makeHolder(simulation.nodes[1])
		simulation.advance(time.Second)
		c.Assert(len(simulation.taskState(copiedTask).running), quicktest.Equals, 2, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
		if originalWins {
			stalled.finishRun(stalled.runs[copiedTask])
		}
		took := simulation.awaitEnd("a", 30*time.Second)
		c.Assert(took < 3*time.Second || !originalWins, quicktest.IsTrue, quicktest.Commentf("%s\n%s", took, simulation.decisionsAbout("a.")))
		simulation.advance(2 * time.Second)
		c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
		c.Assert(simulation.taskState(copiedTask).startedRuns, quicktest.HasLen, 2)
		c.Assert(len(simulation.taskState(copiedTask).running), quicktest.Equals, 0)
		c.Assert(simulation.violations, quicktest.HasLen, 0)
	}
}

// TestEndOfWinnerIsListedAgain guards against a task that runs a third time, or a copy that goes on,
// when the end of the run that won is lost with the holder and listed to the next one.
func TestEndOfWinnerIsListedAgain(t *testing.T) {
	t.Parallel()
	for _, originalWins := range []bool{false, true} {
		c := quicktest.New(t)
		simulation, stalled := copySimulation(2, 8, redundantStep(5), copyTime)
		winner := simulation.otherRun(stalled)
		if originalWins {
			winner = stalled.runs[copiedTask]
		}
		simulation.nodes[0].alive = false
		winner.minion.finishRun(winner)
		simulation.advance(claimTimeout)
		simulation.makeHolder(simulation.nodes[1])
		took := simulation.awaitEnd("a", 30*time.Second)
		c.Assert(took < 3*time.Second, quicktest.IsTrue, quicktest.Commentf("%s\n%s", took, simulation.decisionsAbout("a.")))
		simulation.advance(2 * time.Second)
		c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
		c.Assert(simulation.taskState(copiedTask).startedRuns, quicktest.HasLen, 2)
		c.Assert(len(simulation.taskState(copiedTask).running), quicktest.Equals, 0)
		c.Assert(simulation.violations, quicktest.HasLen, 0)
	}
}

// TestRefusedCopyLeavesTheOriginal guards against a task whose original run is forgotten when the
// start of its copy is refused.
func TestRefusedCopyLeavesTheOriginal(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation, stalled := copySimulation(1, 8, redundantStep(5), time.Second)
	for _, minion := range simulation.minions {
		minion.faults.refuse = func(order messenger.Order) classifier.Code {
			if _, isStart := order.(messenger.StartRun); isStart {
				return classifier.NoCapacity
			}
			return classifier.OK
		}
	}
	simulation.advance(5 * time.Second)
	c.Assert(simulation.copiesBy("stopped"), quicktest.Equals, 1.0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.isOnlyRun(stalled.runs[copiedTask]), quicktest.IsTrue, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	simulation.speeds.set(stalled, 1)
	simulation.awaitEnd("a", time.Minute)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
}
