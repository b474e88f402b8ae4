package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/planner"
	"corianderroad/querier"
	"corianderroad/specifier"
)

// stallRunTime is the run time of the tasks that stall.
const stallRunTime = 12 * time.Second

// newProfilingSimulation returns a simulation whose nodes have profiles of minions. Minions can
// work at different speeds, and runs give checkpoints.
func newProfilingSimulation(seed uint64, nodes, minions int) *simulation {
	return newSpeedSimulation(seed, nodes, minions, planner.Features{MinionProfiles: true, LossAwareStops: true})
}

func newSpeedSimulation(seed uint64, nodes, minions int, features planner.Features) *simulation {
	simulation := newSimulation(seed, 0, minions)
	simulation.features = features
	simulation.speeds = newFakeSpeeds(simulation)
	simulation.checkpoints = &fakeCheckpoints{interval: time.Second, restartTime: 400 * time.Millisecond}
	for index := range nodes {
		simulation.nodes = append(simulation.nodes, simulation.newNode(fmt.Sprintf("n%d", index)))
	}
	if nodes > 0 {
		simulation.makeHolder(simulation.nodes[0])
	}
	return simulation
}

// minionOf returns the minion that runs a task, nil if none does.
func (simulation *simulation) minionOf(task specifier.Task) *fakeMinion {
	for run := range simulation.taskState(task).running {
		return run.minion
	}
	return nil
}

// awaitEnd advances until a job has ended, and returns how long that took.
func (simulation *simulation) awaitEnd(job identifier.Job, limit time.Duration) time.Duration {
	from := simulation.now
	for simulation.now.Sub(from) < limit && !simulation.recordedState(job).IsFinal() {
		simulation.advance(100 * time.Millisecond)
	}
	return simulation.now.Sub(from)
}

func (simulation *simulation) stallStops() float64 { return simulation.counts["stopped stall"] }

// runsOneByOne returns single tasks of which a minion can run only one.
func runsOneByOne(tasks int) specifier.Step {
	return specifier.Step{Tasks: tasks, Request: taskOf(20000, 5), EstimatedRunTime: stallRunTime}
}

// TestStalledRunMoves guards against a task that is late until its minion recovers although
// another minion is free, and against one that is started again where it has stalled.
func TestStalledRunMoves(t *testing.T) {
	t.Parallel()
	for _, checkpoints := range []bool{false, true} {
		c := quicktest.New(t)
		simulation := newProfilingSimulation(1, 1, 4)
		step := runsOneByOne(3)
		step.Checkpoints = checkpoints
		simulation.submit(jobOf("a", step))
		simulation.advance(3 * time.Second)
		stalled := simulation.minionOf(specifier.Task{Job: "a"})
		simulation.speeds.set(stalled, 0)
		took := simulation.awaitEnd("a", time.Minute)
		c.Assert(took < 22*time.Second, quicktest.IsTrue, quicktest.Commentf("%s\n%s", took, simulation.decisionsAbout("a.")))
		c.Assert(simulation.stallStops(), quicktest.Equals, 1.0)
		c.Assert(simulation.violations, quicktest.HasLen, 0)
		c.Assert(len(simulation.taskState(specifier.Task{Job: "a"}).startedRuns), quicktest.Equals, 2)
	}
}

// TestNothingMovesWithoutTheRule guards against moves in deployments that do not enable them.
func TestNothingMovesWithoutTheRule(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSpeedSimulation(1, 1, 4, planner.Features{LossAwareStops: true})
	simulation.submit(jobOf("a", runsOneByOne(3)))
	simulation.advance(3 * time.Second)
	simulation.speeds.set(simulation.minionOf(specifier.Task{Job: "a"}), 0)
	simulation.advance(30 * time.Second)
	c.Assert(simulation.stallStops(), quicktest.Equals, 0.0)
	c.Assert(simulation.profileGauge("stalling"), quicktest.Equals, -1.0)
}

// TestStalledRunStaysWithoutCapacity guards against a run that is stopped although no other
// minion has room for its task.
func TestStalledRunStaysWithoutCapacity(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newProfilingSimulation(1, 1, 4)
	simulation.submit(jobOf("a", runsOneByOne(4)))
	simulation.advance(3 * time.Second)
	simulation.speeds.set(simulation.minionOf(specifier.Task{Job: "a"}), 0)
	simulation.advance(8 * time.Second)
	c.Assert(simulation.stallStops(), quicktest.Equals, 0.0)
	simulation.advance(5 * time.Second) // the other runs have ended
	c.Assert(simulation.stallStops(), quicktest.Equals, 1.0)
}

// TestGangMovesAsAWhole guards against a gang that waits for a member on a minion whose runs stall,
// and against one of which only some members move.
func TestGangMovesAsAWhole(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newProfilingSimulation(1, 1, 8)
	gang := runsOneByOne(3)
	gang.Gang, gang.Checkpoints = true, true
	simulation.submit(jobOf("beside", specifier.Step{Tasks: 8, Request: taskOf(1000, 1), EstimatedRunTime: stallRunTime, MaxPerMinion: 1}))
	simulation.advance(time.Second)
	simulation.submit(jobOf("gang", gang))
	simulation.advance(3 * time.Second)
	stalled := simulation.minionOf(specifier.Task{Job: "gang", Index: 1})
	simulation.speeds.set(stalled, 0)
	took := simulation.awaitEnd("gang", time.Minute)
	c.Assert(took < 18*time.Second, quicktest.IsTrue, quicktest.Commentf("%s\n%s", took, simulation.decisionsAbout("gang")))
	for index := range gang.Tasks {
		c.Assert(len(simulation.taskState(specifier.Task{Job: "gang", Index: index}).startedRuns), quicktest.Equals, 2)
	}
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestTaskMovesOnce guards against a task that is stopped again and again because each minion on
// which it runs stalls.
func TestTaskMovesOnce(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newProfilingSimulation(1, 1, 8)
	simulation.submit(jobOf("others", specifier.Step{Tasks: 8, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute, MaxPerMinion: 1}))
	simulation.submit(jobOf("a", runsOneByOne(1)))
	for range 15 {
		simulation.advance(4 * time.Second)
		if minion := simulation.minionOf(specifier.Task{Job: "a"}); minion != nil {
			simulation.speeds.set(minion, 0)
		}
	}
	started := simulation.taskState(specifier.Task{Job: "a"}).startedRuns
	c.Assert(started, quicktest.HasLen, 2, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
}

// TestPoolThatStallsAsAWholeMovesNothing guards against runs that are stopped on all minions because
// of a common cause.
func TestPoolThatStallsAsAWholeMovesNothing(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newProfilingSimulation(1, 1, 8)
	simulation.submit(jobOf("a", runsOneByOne(5)))
	simulation.advance(3 * time.Second)
	for _, minion := range simulation.sortedMinions() {
		simulation.speeds.set(minion, 0)
	}
	simulation.advance(30 * time.Second)
	c.Assert(simulation.stallStops(), quicktest.Equals, 0.0)
}

// TestSlowOrUnfinishedWorkIsNotStalled guards against moves of runs that are merely slow, that run
// longer than declared, or that stall for shorter than it takes to be sure.
func TestSlowOrUnfinishedWorkIsNotStalled(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newProfilingSimulation(1, 1, 8)
	simulation.workTime = func(run *fakeRun) time.Duration {
		if run.task.Index == 0 {
			return 7 * run.spec.EstimatedRunTime
		}
		return run.spec.EstimatedRunTime
	}
	simulation.submit(jobOf("a", runsOneByOne(5)))
	simulation.advance(3 * time.Second)
	simulation.speeds.set(simulation.minionOf(specifier.Task{Job: "a", Index: 1}), 0.2)
	short := simulation.minionOf(specifier.Task{Job: "a", Index: 2})
	simulation.speeds.set(short, 0)
	simulation.advance(2 * time.Second)
	simulation.speeds.set(short, 1)
	simulation.advance(90 * time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.stallStops(), quicktest.Equals, 0.0)
}

// profileGauge returns the number of minions that the holder judges so, -1 without the rule.
func (simulation *simulation) profileGauge(condition string) float64 {
	for _, gauge := range simulation.holder().planner.View(simulation.now, querier.Query{Kind: querier.Status}).Gauges {
		if gauge.Name == "minions-by-profile" && gauge.Label == condition {
			return gauge.Value
		}
	}
	return -1
}

// TestRecoveredMinionIsUsedAgain guards against a minion that gets no more work because it has
// stalled, with runs left on it and without.
func TestRecoveredMinionIsUsedAgain(t *testing.T) {
	t.Parallel()
	for _, leftRuns := range []bool{false, true} {
		c := quicktest.New(t)
		simulation := newProfilingSimulation(1, 1, 8)
		step := runsOneByOne(5)
		if leftRuns {
			step.Tasks = 8
		}
		simulation.submit(jobOf("a", step))
		simulation.advance(3 * time.Second)
		stalled := simulation.minionOf(specifier.Task{Job: "a"})
		simulation.speeds.set(stalled, 0)
		simulation.advance(7 * time.Second)
		c.Assert(simulation.profileGauge("stalling"), quicktest.Equals, 1.0)
		simulation.speeds.set(stalled, 1)
		bound := 22 * time.Second
		if leftRuns {
			bound = 3 * time.Second
		}
		simulation.advance(bound)
		c.Assert(simulation.profileGauge("stalling"), quicktest.Equals, 0.0)
		simulation.submit(jobOf("next", specifier.Step{Tasks: 8, Request: taskOf(10000, 3), EstimatedRunTime: time.Second, MaxPerMinion: 1}))
		simulation.advance(3 * time.Second)
		c.Assert(simulation.recordedState("next"), quicktest.Equals, specifier.Completed)
		c.Assert(simulation.stallStops() > 0, quicktest.Equals, !leftRuns)
	}
}

// TestTakeoverDuringAMove guards against a task that is lost, or runs twice, when the holder dies
// between the stop of a stalled run and the start of the next one.
func TestTakeoverDuringAMove(t *testing.T) {
	t.Parallel()
	for delay := range 8 {
		c := quicktest.New(t)
		simulation := newProfilingSimulation(1, 2, 8)
		simulation.submit(jobOf("a", runsOneByOne(3)))
		for number := range 12 { // by which the next holder learns that such runs report progress
			simulation.schedule(time.Duration(4*number)*time.Second, func() { simulation.submit(jobOf(fmt.Sprint("b", number), runsOneByOne(1))) })
		}
		simulation.advance(3 * time.Second)
		simulation.speeds.set(simulation.minionOf(specifier.Task{Job: "a"}), 0)
		for range 200 {
			if simulation.stallStops() > 0 {
				break
			}
			simulation.advance(50 * time.Millisecond)
		}
		c.Assert(simulation.stallStops(), quicktest.Equals, 1.0)
		simulation.advance(time.Duration(delay) * 25 * time.Millisecond)
		simulation.nodes[0].alive = false
		simulation.advance(claimTimeout)
		simulation.makeHolder(simulation.nodes[1])
		took := simulation.awaitEnd("a", 2*time.Minute)
		c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
		c.Assert(took < 40*time.Second, quicktest.IsTrue, quicktest.Commentf("%s", took))
		c.Assert(simulation.violations, quicktest.HasLen, 0)
	}
}

// TestMovesAreReported guards against moves and profiles of which an operator sees nothing.
func TestMovesAreReported(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newProfilingSimulation(1, 1, 4)
	simulation.submit(jobOf("a", runsOneByOne(3)))
	simulation.advance(3 * time.Second)
	simulation.speeds.set(simulation.minionOf(specifier.Task{Job: "a"}), 0)
	simulation.awaitEnd("a", time.Minute)
	log := strings.Join(simulation.decisions, "\n")
	c.Assert(log, quicktest.Contains, " minion-profile: stalling")
	c.Assert(log, quicktest.Contains, "a.0.0.0 move: ")
	c.Assert(simulation.counts["moves ordered"], quicktest.Equals, 1.0)
	c.Assert(simulation.counts["moves moved-done"], quicktest.Equals, 1.0)
}
