package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestMinionIsUsedAgainAfterOutage guards against a minion that the holder never
// asks again because it did not answer for longer than a lease, so that its
// capacity is lost until the holder changes.
func TestMinionIsUsedAgainAfterOutage(t *testing.T) {
	t.Parallel()
	const (
		outage = 9 * time.Second // longer than a lease
		// startTime is how long a task may have nothing running although there is room.
		startTime = 3 * time.Second
	)
	for name, workTime := range map[string]time.Duration{"busy": time.Minute, "idle": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, 8)
			simulation.makeHolder(simulation.nodes[0])
			simulation.submit(jobOf("a", wholeMinions(8, workTime)))
			simulation.advance(2 * time.Second)
			cut := []identifier.Minion{"m04", "m05", "m06", "m07"}
			simulation.setReachable(false, cut...)
			simulation.submit(jobOf("b", wholeMinions(8, time.Minute))) // finds the idle minions unresponsive
			simulation.advance(outage)
			simulation.cancel("a")
			simulation.cancel("b")
			simulation.advance(time.Second)
			simulation.setReachable(true, cut...)
			gang := wholeMinions(8, 5*time.Second)
			gang.Gang = true
			simulation.submit(jobOf("c", gang))
			simulation.advance(startTime)
			working := 0
			for index := range gang.Tasks {
				working += len(simulation.taskState(specifier.Task{Job: "c", Index: index}).running)
			}
			c.Assert(working, quicktest.Equals, gang.Tasks, quicktest.Commentf("%s", simulation.decisionsAbout("c.")))
			c.Assert(simulation.violations, quicktest.HasLen, 0)
		})
	}
}

// TestEndIsNotRecordedWhileALaterRunMayBeUnknown guards against a new holder that
// records the end of a run while a minion that it can't reach has a later run of
// the same task. That run would count as a start after a recorded end.
func TestEndIsNotRecordedWhileALaterRunMayBeUnknown(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 2)
	first, second := simulation.nodes[0], simulation.nodes[1]
	simulation.makeHolder(first)
	simulation.advance(time.Second)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 2 * time.Second}))
	simulation.advance(500 * time.Millisecond)
	// The run on m00 ends while the holder can't reach the minion, and the task is
	// started again on m01.
	c.Assert(simulation.minions["m00"].runs, quicktest.HasLen, 1)
	simulation.cutOff(true, "m00")
	simulation.advance(5500 * time.Millisecond)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).startedRuns, quicktest.HasLen, 2)
	// The next holder reaches m00, but for longer than a lease not m01.
	first.alive = false
	simulation.cutOff(false, "m00")
	simulation.minions["m01"].unreachableFrom[second] = true
	simulation.makeHolder(second)
	simulation.advance(10 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	simulation.minions["m01"].unreachableFrom[second] = false
	simulation.advance(5 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
}

// TestLateFailureDoesNotUseUpAttempts guards against a failure that the holder
// hears of after it has started the task again, and that counts as the last
// attempt. The later start would count as one after the last attempt.
func TestLateFailureDoesNotUseUpAttempts(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	node := simulation.nodes[0]
	simulation.makeHolder(node)
	finished := 0
	simulation.fails = func(*fakeRun) bool {
		finished++
		return finished <= attempts
	}
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 3 * time.Second}))
	task := simulation.taskState(specifier.Task{Job: "a"})
	for len(task.startedRuns) < attempts {
		simulation.advance(100 * time.Millisecond)
	}
	// The last attempt fails out of reach, and the task is started again when the
	// lease has expired.
	for run := range task.running {
		run.minion.unreachableFrom[node] = true
	}
	for len(task.startedRuns) == attempts {
		simulation.advance(100 * time.Millisecond)
	}
	for _, minion := range simulation.sortedMinions() {
		clear(minion.unreachableFrom)
	}
	simulation.advance(10 * time.Second)
	simulation.checkAttempts()
	c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
}

// TestRestartDoesNotRegisterMinion guards against new runs on a minion whose entry
// was removed, because an answer shows that the minion has restarted.
func TestRestartDoesNotRegisterMinion(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("a", wholeMinions(2, time.Minute)))
	simulation.advance(2 * time.Second)
	minion := simulation.minions["m00"]
	minion.unregistered = true
	simulation.step(simulation.nodes[0], messenger.MinionsRead{Removed: []identifier.Minion{minion.name}, SentAt: simulation.now})
	minion.crash()
	minion.start()
	simulation.advance(5 * time.Second)
	c.Assert(minion.runs, quicktest.HasLen, 0)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestEndBeforeAForgottenRunIsNotRecorded guards against a holder that records the
// end of a run although a former holder has started the task again since, and the
// end of that start was recorded and forgotten.
func TestEndBeforeAForgottenRunIsNotRecorded(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 3, 2)
	first, second, third := simulation.nodes[0], simulation.nodes[1], simulation.nodes[2]
	simulation.workTime = func(run *fakeRun) time.Duration {
		if run.number < 2<<20 { // of the first holder
			return 2 * time.Second
		}
		return time.Minute
	}
	simulation.makeHolder(first)
	simulation.advance(time.Second)
	step := wholeMinions(1, 2*time.Second)
	step.Checkpoints = true // so that it is preempted
	simulation.submit(jobOf("a", step))
	simulation.advance(500 * time.Millisecond)
	c.Assert(simulation.minions["m00"].runs, quicktest.HasLen, 1)
	// The run ends out of reach of the second holder, which starts the task again.
	first.alive = false
	simulation.minions["m00"].unreachableFrom[second] = true
	simulation.makeHolder(second)
	task := simulation.taskState(specifier.Task{Job: "a"})
	for len(task.startedRuns) < 2 {
		simulation.advance(100 * time.Millisecond)
	}
	// That run is stopped for an urgent job, and its end is recorded.
	urgent := jobOf("urgent", wholeMinions(1, time.Second))
	urgent.Queue = urgentQueue
	simulation.submit(urgent)
	for len(simulation.taskState(specifier.Task{Job: "urgent"}).running) == 0 {
		simulation.advance(100 * time.Millisecond)
	}
	simulation.advance(time.Second)
	c.Assert(simulation.minions["m01"].ends, quicktest.HasLen, 0)
	second.alive = false
	simulation.makeHolder(third)
	simulation.advance(10 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
