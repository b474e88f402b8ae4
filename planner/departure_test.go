package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// leave lets a minion give notice and leave with all its runs.
func (simulation *simulation) leave(minion *fakeMinion, notice time.Duration) {
	minion.faults.draining, minion.faults.remaining = true, notice
	for _, node := range simulation.nodes {
		simulation.deliverReport(node, minion)
	}
	simulation.schedule(notice, func() {
		minion.crash()
		for _, node := range simulation.nodes {
			simulation.step(node, messenger.MinionsRead{Removed: []identifier.Minion{minion.name}, SentAt: simulation.now})
		}
	})
}

// TestGangOnLeavingMinionIsSavedAsAWhole guards against a gang that loses its work because
// the minion of one member leaves, although a stop of all members would have saved it, and
// against members that resume from different checkpoints.
func TestGangOnLeavingMinionIsSavedAsAWhole(t *testing.T) {
	t.Parallel()
	for _, notice := range []time.Duration{2 * time.Second, 6500 * time.Millisecond} {
		c := quicktest.New(t)
		simulation := newEvictionSimulation(1, 4)
		simulation.submit(jobOf("gang", specifier.Step{Tasks: 3, Request: taskOf(1000, 8), EstimatedRunTime: 20 * time.Second, Gang: true, Checkpoints: true}))
		simulation.advance(5 * time.Second)
		simulation.leave(simulation.sortedMinions()[0], notice)
		simulation.advance(30 * time.Second)
		c.Assert(simulation.violations, quicktest.HasLen, 0)
		c.Assert(simulation.stops("gang"), quicktest.HasLen, 3, quicktest.Commentf("%s", strings.Join(simulation.decisions, "\n")))
		c.Assert(simulation.taskState(specifier.Task{Job: "gang"}).done, quicktest.IsTrue)
		restarts := 3 * 65 * simulation.checkpoints.restartTime.Seconds()
		c.Assert(simulation.lostCoreSeconds <= restarts+0.01, quicktest.IsTrue, quicktest.Commentf("%s: %f", notice, simulation.lostCoreSeconds))
	}
}

// TestRunsThatEndInTimeStay guards against runs that are moved from a leaving minion although
// they end before it leaves, and against work of the others that is lost.
func TestRunsThatEndInTimeStay(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvictionSimulation(1, 2)
	simulation.submit(jobOf("short", specifier.Step{Tasks: 4, Request: taskOf(1000, 1), EstimatedRunTime: 6 * time.Second, Checkpoints: true}))
	simulation.submit(jobOf("long", specifier.Step{Tasks: 4, Request: taskOf(1000, 1), EstimatedRunTime: 20 * time.Second, Checkpoints: true}))
	simulation.advance(3 * time.Second)
	leaving := simulation.sortedMinions()[0]
	c.Assert(leaving.runs, quicktest.HasLen, 8)
	simulation.leave(leaving, 4*time.Second) // the short ones end 0.6 s before
	simulation.advance(30 * time.Second)
	c.Assert(simulation.stops("short"), quicktest.HasLen, 0)
	c.Assert(simulation.stops("long"), quicktest.HasLen, 4)
	c.Assert(simulation.recordedState("long"), quicktest.Equals, specifier.Completed)
	restarts := 4 * 9 * simulation.checkpoints.restartTime.Seconds()
	c.Assert(simulation.lostCoreSeconds <= restarts+0.01, quicktest.IsTrue, quicktest.Commentf("%f", simulation.lostCoreSeconds))
}

// TestLostRunStartsAgainAtOnce guards against a run without checkpoints that can't end before
// its minion leaves and is started again only when the lease of that minion has expired.
func TestLostRunStartsAgainAtOnce(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvictionSimulation(1, 2)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 8 * time.Second}))
	simulation.advance(2 * time.Second)
	simulation.leave(simulation.sortedMinions()[0], 2*time.Second)
	simulation.advance(2 * time.Second)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).startedRuns, quicktest.HasLen, 2)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).running, quicktest.HasLen, 1)
}

// TestLostGangFreesItsPlaces guards against a gang without checkpoints that keeps its places on
// other minions until one of its minions leaves, although it can't end before.
func TestLostGangFreesItsPlaces(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvictionSimulation(1, 3)
	simulation.submit(jobOf("gang", specifier.Step{Tasks: 3, Request: taskOf(1000, 8), EstimatedRunTime: 20 * time.Second, Gang: true}))
	simulation.advance(4 * time.Second)
	simulation.submit(jobOf("waiting", specifier.Step{Tasks: 2, Request: taskOf(1000, 8), EstimatedRunTime: time.Second}))
	simulation.leave(simulation.sortedMinions()[0], 6*time.Second)
	simulation.advance(2 * time.Second)
	c.Assert(simulation.stops("gang"), quicktest.HasLen, 3)
	c.Assert(simulation.taskState(specifier.Task{Job: "waiting"}).startedRuns, quicktest.HasLen, 1)
}

// TestNoticeOutlivesTakeover guards against a gang that is not saved because a new holder reads the
// notice late and counts it from then, or has not found the runs when it reads it.
func TestNoticeOutlivesTakeover(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvictionSimulation(2, 4)
	simulation.submit(jobOf("gang", specifier.Step{Tasks: 3, Request: taskOf(1000, 8), EstimatedRunTime: 20 * time.Second, Gang: true, Checkpoints: true}))
	simulation.advance(5 * time.Second)
	leaving := simulation.sortedMinions()[0]
	simulation.leave(leaving, 6*time.Second)
	entry := leaving.report()
	leaving.formerEntry = &entry // the entry stays as it was written
	simulation.advance(time.Second)
	simulation.nodes[0].alive = false
	simulation.advance(1500 * time.Millisecond)
	simulation.makeHolder(simulation.nodes[1])
	simulation.advance(3400 * time.Millisecond) // the minion leaves 0.1 s later
	c.Assert(leaving.runs, quicktest.HasLen, 0)
	simulation.advance(30 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	c.Assert(simulation.stops("gang"), quicktest.HasLen, 3, quicktest.Commentf("%s", strings.Join(simulation.decisions, "\n")))
	restarts := 3 * 65 * simulation.checkpoints.restartTime.Seconds()
	c.Assert(simulation.lostCoreSeconds <= restarts+0.01, quicktest.IsTrue, quicktest.Commentf("%f", simulation.lostCoreSeconds))
}

// TestRunWithoutProgressStaysIfItEndsInTime guards against a run that is moved from a leaving
// minion although it ends before, because it reports no progress and counts as just started.
func TestRunWithoutProgressStaysIfItEndsInTime(t *testing.T) {
	t.Parallel()
	for _, checkpoints := range []bool{false, true} {
		c := quicktest.New(t)
		simulation := newEvictionSimulation(1, 2)
		simulation.hidesProgress = true
		simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 6 * time.Second, Checkpoints: checkpoints}))
		simulation.advance(4 * time.Second)
		simulation.leave(simulation.sortedMinions()[0], 3*time.Second) // the run ends 0.9 s before
		simulation.advance(10 * time.Second)
		c.Assert(simulation.stops("a"), quicktest.HasLen, 0)
		c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	}
}

// TestSlowStartIsNoLowSpeed guards against a run that is stopped on a leaving minion although it
// ends in time, because the time that it needed to begin counts as a low speed.
func TestSlowStartIsNoLowSpeed(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvictionSimulation(1, 2)
	simulation.checkpoints.restartTime = time.Second
	simulation.submit(jobOf("b", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 200 * time.Millisecond}))
	simulation.advance(900 * time.Millisecond)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 4 * time.Second}))
	simulation.advance(600 * time.Millisecond) // the end of b has shown a before its work began
	simulation.leave(simulation.sortedMinions()[0], 4800*time.Millisecond)
	simulation.advance(5 * time.Second)
	c.Assert(simulation.stops("a"), quicktest.HasLen, 0)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
}

// TestGangOfMinionThatHasLeftStartsAgainAtOnce guards against a gang whose tasks wait for the
// leases of a minion that has left as announced and refuses connections.
func TestGangOfMinionThatHasLeftStartsAgainAtOnce(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvictionSimulation(1, 4)
	simulation.hidesProgress = true // the gang might end in time, so that it is not stopped before
	simulation.submit(jobOf("gang", specifier.Step{Tasks: 3, Request: taskOf(1000, 8), EstimatedRunTime: 3 * time.Second, Gang: true}))
	simulation.advance(time.Second)
	leaving := simulation.sortedMinions()[0]
	simulation.schedule(time.Second, func() { leaving.faults.refusesConnections = true })
	simulation.leave(leaving, time.Second)
	simulation.advance(2500 * time.Millisecond) // the leases expire 2.3 s later
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	for index := range 3 {
		c.Assert(simulation.taskState(specifier.Task{Job: "gang", Index: index}).startedRuns, quicktest.HasLen, 2, quicktest.Commentf("%s", strings.Join(simulation.decisions, "\n")))
	}
	simulation.advance(5 * time.Second)
	c.Assert(simulation.recordedState("gang"), quicktest.Equals, specifier.Completed)
}

// TestRunOnLeavingMinionThatIsCutOffWaits guards against a second run of a task whose minion
// leaves and can't be reached, but has not ended.
func TestRunOnLeavingMinionThatIsCutOffWaits(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvictionSimulation(1, 2)
	simulation.hidesProgress = true
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 6 * time.Second}))
	simulation.advance(time.Second)
	leaving := simulation.sortedMinions()[0]
	simulation.leave(leaving, 10*time.Second)
	simulation.cutOff(true, leaving.name)
	simulation.advance(3 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).startedRuns, quicktest.HasLen, 1)
}

// TestDrainingMinionThatRefusesConnectionsKeepsItsRuns guards against a second run of a task whose
// minion has announced its departure and then refuses connections for a moment while it lives: before
// the announced time, or after it, for as long as the store lists the minion.
func TestDrainingMinionThatRefusesConnectionsKeepsItsRuns(t *testing.T) {
	t.Parallel()
	for _, notice := range []time.Duration{3 * time.Second, 100 * time.Millisecond} {
		c := quicktest.New(t)
		simulation := newEvictionSimulation(1, 2)
		simulation.onDecision = simulation.checkLostRun
		simulation.hidesProgress = true // the run might end in time, so that it is not stopped before
		simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 4 * time.Second}))
		simulation.advance(time.Second)
		draining := simulation.sortedMinions()[0]
		draining.faults.draining, draining.faults.remaining = true, notice
		simulation.deliverAllReports()
		simulation.advance(500 * time.Millisecond)
		simulation.refuseConnections(draining, 2*time.Second)
		simulation.advance(10 * time.Second)
		c.Check(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("notice %s", notice))
		c.Check(simulation.taskState(specifier.Task{Job: "a"}).startedRuns, quicktest.HasLen, 1, quicktest.Commentf("notice %s", notice))
	}
}

// TestDrainingMinionThatCannotReachTheStoreKeepsItsRuns guards against a second run of a task (TWICE)
// whose minion has announced its departure and goes on beyond the announced time. It alone can't
// reach the store, so that its entry lapses in normal operation, and refuses connections for a moment
// some time later.
func TestDrainingMinionThatCannotReachTheStoreKeepsItsRuns(t *testing.T) {
	t.Parallel()
	for _, refusedAfter := range []time.Duration{1300 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
		c := quicktest.New(t)
		simulation := newEvictionSimulation(1, 2)
		simulation.onDecision = simulation.checkLostRun
		simulation.hidesProgress = true // the run might end in time, so that it is not stopped before
		simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 15 * time.Second}))
		simulation.advance(time.Second)
		draining := simulation.sortedMinions()[0]
		draining.faults.draining, draining.faults.remaining = true, 100*time.Millisecond
		simulation.deliverAllReports()
		simulation.advance(entryLifetime)
		draining.unregistered = true
		simulation.deliverAllReports()
		simulation.advance(refusedAfter)
		simulation.refuseConnections(draining, time.Second)
		simulation.advance(15 * time.Second)
		comment := quicktest.Commentf("refused after %s\n%s", refusedAfter, simulation.decisionsAbout("a."))
		c.Check(simulation.violations, quicktest.HasLen, 0, comment)
		c.Check(simulation.taskState(specifier.Task{Job: "a"}).startedRuns, quicktest.HasLen, 1, comment)
	}
}

// TestScatteredRefusalsEndNoRun guards against a second run of a task (TWICE) whose minion has announced
// its departure and goes on beyond the announced time: it is cut off, its entry lapses, and it refuses
// single connections seconds apart. All orders between them bring no answer.
func TestScatteredRefusalsEndNoRun(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvictionSimulation(1, 2)
	simulation.onDecision = simulation.checkLostRun
	simulation.hidesProgress = true // the run might end in time, so that it is not stopped before
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 15 * time.Second}))
	simulation.advance(time.Second)
	draining := simulation.sortedMinions()[0]
	draining.faults.draining, draining.faults.remaining = true, 100*time.Millisecond
	simulation.deliverAllReports()
	simulation.advance(3 * time.Second)
	draining.faults.refusedConnections = 1
	simulation.setReachable(false, draining.name)
	simulation.schedule(1300*time.Millisecond, func() { simulation.cutOff(true, draining.name) }) // after its last answer
	simulation.schedule(2500*time.Millisecond, func() { draining.faults.refusedConnections = 1 })
	simulation.advance(15 * time.Second)
	comment := quicktest.Commentf("%s", strings.Join(simulation.decisions, "\n"))
	c.Check(simulation.violations, quicktest.HasLen, 0, comment)
}
