package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// maxIdleTime is how long a job may have nothing running although there is room
// for its step twice over, by the rule LOST.
const maxIdleTime = 3 * time.Second

// countWorking returns the number of tasks of a job's first step that run.
func (simulation *simulation) countWorking(id identifier.Job) int {
	working := 0
	for index := range simulation.jobs[id].Steps[0].Tasks {
		working += len(simulation.taskState(specifier.Task{Job: id, Index: index}).running)
	}
	return working
}

// assertWholeGangStarts submits a gang with a task on each of a number of whole minions, and checks
// that it starts in time.
func (simulation *simulation) assertWholeGangStarts(c *quicktest.C, tasks int) {
	c.Helper()
	gang := wholeMinions(tasks, 10*time.Second)
	gang.Gang = true
	simulation.submit(jobOf("gang", gang))
	simulation.assertWorking(c, "gang", tasks)
}

// assertWorking checks that a number of tasks of a job run in time, and that no rule is broken.
func (simulation *simulation) assertWorking(c *quicktest.C, id identifier.Job, tasks int) {
	c.Helper()
	simulation.advance(maxIdleTime)
	c.Assert(simulation.countWorking(id), quicktest.Equals, tasks, quicktest.Commentf("%s", simulation.decisionsAbout(string(id))))
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestGangLargerThanDataRackStarts guards against a gang that waits for its data
// rack while most accelerators are in use, although the rack can hold only a part
// of the gang at best. The gang needs processors, and few of those are in use.
func TestGangLargerThanDataRackStarts(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 16)
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("accelerated", specifier.Step{
		Tasks: 16, Request: taskOf(1000, 5), EstimatedRunTime: time.Minute, MaxPerMinion: 1,
	}))
	simulation.advance(time.Second)
	// A rack has four minions. The gang needs five of the sixteen.
	simulation.submit(jobOf("gang", specifier.Step{
		Tasks: 5, Request: taskOf(20000, 0), EstimatedRunTime: 10 * time.Second, Gang: true, DataRack: "r-0",
	}))
	simulation.assertWorking(c, "gang", 5)
}

// TestTaskIsReleasedWhenItsStopIsRefused guards against a task that never starts
// again because its start did not arrive and the minion refuses the stop of a run
// that it does not have.
func TestTaskIsReleasedWhenItsStopIsRefused(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	var names []identifier.Minion
	for _, minion := range simulation.sortedMinions() {
		minion.faults.refusesUnknownStop = true
		names = append(names, minion.name)
	}
	simulation.setReachable(false, names...)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 10 * time.Second}))
	// Three starts are not answered within 2.4 s. The lease that they carry has not
	// expired when the minion can be reached again.
	simulation.advance(3 * time.Second)
	simulation.setReachable(true, names...)
	simulation.assertWorking(c, "a", 1)
}

// TestMinionReopensWhenMaintenanceIsRefused guards against a minion that takes no
// runs for the rest of its life because the platform has refused the maintenance
// of its VM.
func TestMinionReopensWhenMaintenanceIsRefused(t *testing.T) {
	t.Parallel()
	for _, code := range []classifier.Code{classifier.Infeasible, classifier.UnknownNode} {
		t.Run(code.Name(), func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, 6)
			simulation.services.refuseMaintenance = func(identifier.VM) *classifier.Error { return classifier.New(code, "refused") }
			simulation.makeHolder(simulation.nodes[0])
			simulation.advance(time.Second)
			simulation.step(simulation.nodes[0], messenger.WavesRead{Waves: []messenger.Wave{{
				Wave: 1, VMs: []identifier.VM{"vm-m00", "vm-m01", "vm-m02", "vm-m03"}, Duration: 20 * time.Second, MaxUnavailable: 4,
			}}})
			simulation.advance(4 * time.Second)
			simulation.assertWholeGangStarts(c, 3)
		})
	}
}

// TestMinionIsPolledAfterAnswerOfOlderIncarnation guards against a minion that the
// holder never asks again because an answer named an incarnation older than the
// one in the store.
func TestMinionIsPolledAfterAnswerOfOlderIncarnation(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 8)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	for _, minion := range simulation.sortedMinions()[:4] {
		minion.crash()
		minion.start()
		minion.faults.answersAs = minion.incarnation - 1
	}
	simulation.deliverAllReports()
	simulation.advance(time.Second)
	for _, minion := range simulation.sortedMinions() {
		minion.faults.answersAs = 0
	}
	simulation.assertWholeGangStarts(c, 8)
}

// TestStartAnsweredByOlderIncarnationIsRepeated guards against a task that waits
// for ever for the answer to its start because the answer named an incarnation
// older than the one in the store.
func TestStartAnsweredByOlderIncarnationIsRepeated(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 8)
	simulation.makeHolder(simulation.nodes[0])
	for _, minion := range simulation.sortedMinions() {
		minion.crash()
		minion.start()
	}
	simulation.deliverAllReports()
	simulation.advance(time.Second)
	for _, minion := range simulation.sortedMinions() {
		minion.faults.answersAs = minion.incarnation - 1
		minion.faults.refuse = func(messenger.Order) classifier.Code { return classifier.MinionBusy }
	}
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 10 * time.Second}))
	simulation.advance(time.Second)
	for _, minion := range simulation.sortedMinions() {
		minion.faults = minionFaults{}
	}
	simulation.assertWorking(c, "a", 1)
}

// TestApprovedMinionMayReturn guards against a step that never starts because the
// approved minion was missing when the advice arrived and counts as denied since.
func TestApprovedMinionMayReturn(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 8)
	simulation.services.isApproved = func(minion identifier.Minion) bool { return minion == "m00" }
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("small", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
	simulation.advance(time.Second)
	minion := simulation.minions["m00"]
	c.Assert(minion.runs, quicktest.HasLen, 1)
	job := jobOf("advised", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 10 * time.Second})
	job.Queue = adviceQueue
	simulation.submit(job)
	simulation.advance(adviceTime / 2)
	c.Assert(simulation.services.adviceRequests, quicktest.Equals, 1)
	// The answer to the stop shows that the incarnation has ended.
	minion.crash()
	minion.start()
	minion.faults.refuse = func(messenger.Order) classifier.Code { return classifier.UnknownNode }
	simulation.cancel("small")
	simulation.advance(adviceTime)
	minion.faults.refuse = nil
	simulation.deliverAllReports()
	simulation.assertWorking(c, "advised", 1)
}

// TestWideSameRackStepStarts guards against a step on one rack, not a gang, that
// has nothing running for ever because not all of its tasks fit at the same time.
func TestWideSameRackStepStarts(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 16)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	// Two tasks fit on a minion, 32 on all.
	simulation.submit(jobOf("wide", specifier.Step{Tasks: 40, Request: taskOf(13000, 1), EstimatedRunTime: time.Second, SameRack: true}))
	simulation.advance(maxIdleTime)
	c.Assert(len(simulation.taskState(specifier.Task{Job: "wide"}).startedRuns) > 0, quicktest.IsTrue, quicktest.Commentf("%s", simulation.decisionsAbout("wide")))
	simulation.advance(10 * time.Second)
	c.Assert(simulation.recordedState("wide"), quicktest.Equals, specifier.Completed)
}

// TestMinionReopensAfterTakeoverDuringWave guards against minions that take no runs
// for the rest of their lives because a new holder has requested a maintenance that
// its predecessor had finished.
func TestMinionReopensAfterTakeoverDuringWave(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 8)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	wave := messenger.Wave{Wave: 1, Duration: 30 * time.Second, MaxUnavailable: 3}
	for _, minion := range simulation.sortedMinions()[:7] {
		wave.VMs = append(wave.VMs, vmName(minion))
	}
	simulation.requestWave(wave)
	// Six VMs have had their maintenance when the holder changes, the last has not.
	for len(simulation.services.maintained) < len(wave.VMs) {
		simulation.advance(10 * time.Millisecond)
	}
	simulation.nodes[0].alive = false
	simulation.makeHolder(simulation.nodes[1])
	simulation.advance(15 * time.Second)
	c.Assert(simulation.services.isCompleted(1), quicktest.IsTrue)
	simulation.assertWholeGangStarts(c, 4)
}

// TestFailingJobLeavesMinionsToOthers guards against a job whose tasks fail by their
// own fault and that leaves all sound minions in quarantine, so that no other job
// starts.
func TestFailingJobLeavesMinionsToOthers(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 8)
	simulation.makeHolder(simulation.nodes[0])
	simulation.fails = func(run *fakeRun) bool { return run.task.Job == "failing" }
	simulation.advance(time.Second)
	simulation.submit(jobOf("failing", specifier.Step{Tasks: 32, Request: taskOf(1000, 2), EstimatedRunTime: 500 * time.Millisecond}))
	simulation.advance(time.Second)
	simulation.submit(jobOf("other", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 10 * time.Second}))
	simulation.assertWorking(c, "other", 1)
}

// TestTaskFindsItsApprovedMinion guards against a task that asks the advice service
// about so few minions at a time that it does not find an approved one in time.
func TestTaskFindsItsApprovedMinion(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 60)
	simulation.services.isApproved = func(minion identifier.Minion) bool { return minion >= "m50" }
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	job := jobOf("advised", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 10 * time.Second})
	job.Queue = adviceQueue
	simulation.submit(job)
	simulation.advance(maxIdleTime)
	c.Assert(simulation.countWorking("advised"), quicktest.Equals, 1, quicktest.Commentf("%d advice requests", simulation.services.adviceRequests))
}

// TestMinionIsUsedAfterItsClockWasSetBack guards against a minion that takes no runs
// for the rest of its life because it has restarted after its wall clock was set
// back, so that its start time is earlier than that of its former incarnation.
func TestMinionIsUsedAfterItsClockWasSetBack(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 8)
	for _, minion := range simulation.sortedMinions() {
		minion.incarnation = 1_000
	}
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	for _, minion := range simulation.sortedMinions()[:6] {
		minion.crash()
		minion.incarnation = 500
		minion.start()
	}
	simulation.deliverAllReports()
	simulation.advance(leaseTime)
	simulation.assertWholeGangStarts(c, 4)
}

// TestUnansweredStopsLeaveOthersRunning guards against orders to minions that do
// not answer which keep all tasks from sound minions, because they use up the
// number of pending orders.
func TestUnansweredStopsLeaveOthersRunning(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 64)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf("many", specifier.Step{Tasks: 400, Request: taskOf(1000, 0), EstimatedRunTime: time.Minute}))
	simulation.advance(3 * time.Second)
	for _, minion := range simulation.sortedMinions() {
		if len(minion.runs) > 0 {
			simulation.setReachable(false, minion.name)
		}
	}
	simulation.cancel("many")
	simulation.advance(100 * time.Millisecond)
	simulation.submit(jobOf("other", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 20 * time.Second}))
	simulation.assertWorking(c, "other", 1)
}
