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

// TestTaskLeavesMinionThatRefusesConnections guards against a task that waits for the
// end of a lease although its start was certainly never sent.
func TestTaskLeavesMinionThatRefusesConnections(t *testing.T) {
	t.Parallel()
	const maxIdle = 3 * time.Second // for which nothing of a job may run although there is room
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.minions["m00"].faults.refusesConnections = true
	simulation.submit(jobOf("a", wholeMinions(1, time.Minute)))
	simulation.advance(maxIdle)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).running, quicktest.HasLen, 1, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
}

// crashesOfGivenUpTask is the number of proven crashes after which a task is certainly given up.
const crashesOfGivenUpTask = 3

// TestSingleRefusedConnectionFailsNoJob guards against a job that is shown as failed (LOST) because
// one refused connection counts as the end of its minion: the minion lives, its run ends with
// the lease, and the minion starts anew later for a reason of its own.
func TestSingleRefusedConnectionFailsNoJob(t *testing.T) {
	t.Parallel()
	scenes := map[string]struct{ rebornAfter, reachableAfter time.Duration }{
		"out-of-reach":  {7 * time.Second, 12 * time.Second},
		"after-a-lapse": {6 * time.Second, 6500 * time.Millisecond},
	}
	for name, scene := range scenes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, 8)
			simulation.makeHolder(simulation.nodes[0])
			simulation.advance(time.Second)
			simulation.submit(jobOf("good", smallStep(1, 30*time.Second)))
			strikes := 0
			simulation.cutEachRun(specifier.Task{Job: "good"}, time.Minute, 500*time.Millisecond, func(minion *fakeMinion) {
				if strikes++; strikes > crashesOfGivenUpTask {
					return
				}
				minion.faults.refusedConnections = 1
				simulation.setReachable(false, minion.name)
				simulation.schedule(scene.rebornAfter, minion.start)
				simulation.schedule(scene.reachableAfter, func() {
					simulation.setReachable(true, minion.name)
					simulation.deliverAllReports()
				})
			})
			simulation.checkNotGivenUp(c, "good")
		})
	}
}

// TestStopAfterRefusedConnectionFailsNoJob guards against a job that is shown as failed (LOST) because
// one refused connection counts as the end of its minion: an order to stop the run arrives on
// another connection, its answer is lost, and the minion starts anew after the run has ended.
func TestStopAfterRefusedConnectionFailsNoJob(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 12)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	step := wholeMinions(2, 30*time.Second)
	step.Gang = true
	simulation.submit(jobOf("good", step))
	member, other := specifier.Task{Job: "good", Index: 1}, specifier.Task{Job: "good"}
	strikes := 0
	simulation.cutEachRun(member, time.Minute, 500*time.Millisecond, func(minion *fakeMinion) {
		if strikes++; strikes > crashesOfGivenUpTask {
			return
		}
		minion.faults.refusedConnections = 1
		minion.faults.garbles = func(messenger.Order) classifier.Code { return classifier.OutcomeUnknown }
		if run := simulation.runOf(other); run != nil {
			simulation.schedule(1500*time.Millisecond, func() { run.minion.endRun(run, messenger.EndStopped) })
		}
		simulation.schedule(3500*time.Millisecond, func() {
			minion.faults.garbles = nil
			minion.start()
			simulation.deliverAllReports()
		})
	})
	simulation.checkNotGivenUp(c, "good")
}

// checkNotGivenUp checks that a job completes, and that no crash of a minion counts as proven to be
// its doing.
func (simulation *simulation) checkNotGivenUp(c *quicktest.C, id identifier.Job) {
	simulation.advance(time.Minute)
	simulation.checkFailures()
	comment := quicktest.Commentf("%s", simulation.decisionsAbout(string(id)))
	c.Check(simulation.provenCrashes(id), quicktest.Equals, 0)
	c.Check(simulation.violations, quicktest.HasLen, 0, comment)
	c.Assert(simulation.recordedState(id), quicktest.Equals, specifier.Completed, comment)
}

// TestRunThatMayHaveCompletedFailsNoJob guards against a job that is shown as failed (LOST) because the
// crash of a minion counts as proven although its run had ended as done before: a refused connection shows
// that the run had the time, and the orders after it bring no answer.
func TestRunThatMayHaveCompletedFailsNoJob(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 8)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf("good", smallStep(1, 600*time.Millisecond)))
	strikes := 0
	simulation.cutEachRun(specifier.Task{Job: "good"}, time.Minute, 300*time.Millisecond, func(minion *fakeMinion) {
		if strikes++; strikes > crashesOfGivenUpTask {
			return
		}
		minion.faults.garbles = func(messenger.Order) classifier.Code { return classifier.OutcomeUnknown }
		simulation.schedule(600*time.Millisecond, func() {
			minion.faults.refusedConnections = 1
			simulation.setReachable(false, minion.name)
		})
		simulation.schedule(3*time.Second, func() {
			minion.faults.garbles = nil
			minion.start()
			simulation.setReachable(true, minion.name)
			simulation.deliverAllReports()
		})
	})
	simulation.checkNotGivenUp(c, "good")
}
