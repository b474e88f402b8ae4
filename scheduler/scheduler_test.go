package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/scheduler"
)

// TestJobReachesItsOutcome guards against a job that is accepted but not run by the
// gang protocol, or whose completion does not lead to an outcome.
func TestJobReachesItsOutcome(t *testing.T) {
	simulation := newSimulation(t, 1)
	holder := simulation.addNode(scheduler.Parameters{})
	simulation.addWorkers(2, 4, 8)
	simulation.setMembers(holder)
	simulation.submit(commander.JobSpec{Job: "draw", Workspace: "lawns", Shape: commander.Shape{
		Members: 4, Accelerators: 8, Adjacency: commander.SameRack,
	}}, behaviour{runTime: time.Minute})
	simulation.run(2 * time.Minute)
	quicktest.Assert(t, simulation.outcomes["draw"], quicktest.Equals, messenger.Outcome{Job: "draw", Code: classifier.OK})
	for _, worker := range simulation.workers {
		quicktest.Assert(t, worker.tasks, quicktest.HasLen, 0)
	}
}

// state returns the state of a worker according to the node's View.
func (node *node) state(worker identifier.Worker) string {
	for _, row := range node.scheduler.View(node.simulation.now, querier.Query{Kind: querier.Status}).Workers {
		if row.Worker == worker {
			return row.State
		}
	}
	return ""
}

// TestBrokenWorkerIsQuarantined guards against a worker that fails every task and
// is therefore always free and chosen for one job after the other, and against
// one that is never used again after its repair.
func TestBrokenWorkerIsQuarantined(t *testing.T) {
	simulation := newSimulation(t, 1)
	holder := simulation.addNode(scheduler.Parameters{})
	simulation.addWorkers(1, 2, 8)
	simulation.setMembers(holder)
	simulation.workers["w00-00"].broken = true
	submit := func(from, to int) {
		for i := range to - from {
			job := identifier.Job(fmt.Sprintf("job%d", from+i))
			simulation.submit(commander.JobSpec{Job: job, Workspace: "lawns", Shape: commander.Shape{Members: 1, Accelerators: 8}}, behaviour{runTime: time.Second})
			simulation.run(time.Minute)
		}
	}
	submit(0, 8)
	quicktest.Assert(t, holder.state("w00-00"), quicktest.Equals, "quarantined")
	simulation.run(5 * time.Minute)
	submit(8, 12)
	quicktest.Assert(t, holder.state("w00-00"), quicktest.Equals, "quarantined", quicktest.Commentf("one failure on probation"))
	simulation.workers["w00-00"].broken = false
	simulation.run(20 * time.Minute)
	quicktest.Assert(t, holder.state("w00-00"), quicktest.Equals, "usable")
	submit(12, 16)
	for job, outcome := range simulation.outcomes {
		quicktest.Assert(t, outcome.Code, quicktest.Equals, classifier.OK, quicktest.Commentf("%s: %+v", job, outcome))
	}
}

// TestFailingJobQuarantinesNoWorker guards against jobs that always fail and cause
// working workers to be quarantined.
func TestFailingJobQuarantinesNoWorker(t *testing.T) {
	simulation := newSimulation(t, 1)
	holder := simulation.addNode(scheduler.Parameters{})
	simulation.addWorkers(1, 4, 8)
	simulation.setMembers(holder)
	for i := range 6 {
		job := identifier.Job(fmt.Sprintf("bad%d", i))
		simulation.submit(commander.JobSpec{Job: job, Workspace: "lawns", Shape: commander.Shape{Members: 1, Accelerators: 8}}, behaviour{fails: true})
		simulation.run(time.Minute)
		quicktest.Assert(t, simulation.outcomes[job].Code, quicktest.Equals, classifier.RepeatedFailure)
	}
	for worker := range simulation.workers {
		quicktest.Assert(t, holder.state(worker), quicktest.Equals, "usable")
	}
}

// TestResumedHolderReadsStateBeforePlacing guards against a holder that places
// gangs by its state from before a pause that was longer than its leases.
func TestResumedHolderReadsStateBeforePlacing(t *testing.T) {
	simulation := newSimulation(t, 1)
	holder := simulation.addNode(scheduler.Parameters{PollInterval: time.Hour})
	simulation.addWorkers(1, 2, 8)
	simulation.setMembers(holder)
	simulation.run(time.Minute)
	holder.pause(30 * time.Second)
	simulation.submit(commander.JobSpec{Job: "draw", Workspace: "lawns", Shape: commander.Shape{Members: 1, Accelerators: 8}}, behaviour{runTime: time.Second})
	before := simulation.calls[messenger.ReadState]
	simulation.onCall = func(request messenger.CallWorker) {
		if request.Kind == messenger.ReserveTask && simulation.calls[messenger.ReadState] < before+2 {
			t.Fatalf("a task was reserved before the state of both workers was read")
		}
	}
	simulation.run(2 * time.Minute)
	quicktest.Assert(t, simulation.outcomes["draw"].Code, quicktest.Equals, classifier.OK)
}

// TestAnswerFromBeforePauseDoesNotEndAdoption guards against a holder that places gangs
// after a pause because a worker has answered a call from before it. Only the answer to a
// later call shows whether another node has claimed the region meanwhile.
func TestAnswerFromBeforePauseDoesNotEndAdoption(t *testing.T) {
	for _, kind := range []messenger.WorkerCallKind{messenger.RenewTasks, messenger.ReadState} {
		simulation := newSimulation(t, 1)
		holder := simulation.addNode(scheduler.Parameters{})
		simulation.addWorkers(1, 1, 8)
		simulation.setMembers(holder)
		simulation.submit(commander.JobSpec{Job: "long", Workspace: "lawns", Shape: commander.Shape{Members: 1, Accelerators: 4}}, behaviour{runTime: time.Hour})
		simulation.run(10 * time.Second)
		simulation.onCall = func(request messenger.CallWorker) {
			if request.Kind == kind {
				simulation.onCall = nil
				holder.pause(30 * time.Second)
				// Polls after the pause are lost for a second.
				simulation.after(29*time.Second, func() { simulation.requestLossRate = 1 })
				simulation.after(31*time.Second, func() { simulation.requestLossRate = 0 })
			}
		}
		for simulation.onCall != nil {
			simulation.run(time.Millisecond)
		}
		resumedAt := holder.pausedUntil
		simulation.submit(commander.JobSpec{Job: "next", Workspace: "lawns", Shape: commander.Shape{Members: 1, Accelerators: 4}}, behaviour{runTime: time.Hour})
		simulation.onCall = func(request messenger.CallWorker) {
			if request.Kind == messenger.ReserveTask && simulation.now.Sub(resumedAt) < time.Second {
				t.Fatalf("a task was reserved before a worker answered a call after the pause")
			}
		}
		simulation.run(time.Minute)
		_, started := simulation.started["next"]
		quicktest.Assert(t, started, quicktest.IsTrue)
	}
}

// TestTaskLossOfRestartedWorkerIsDetected guards against a gang that waits for its
// lease to expire although a worker reported that it lost its task.
func TestTaskLossOfRestartedWorkerIsDetected(t *testing.T) {
	simulation := newSimulation(t, 1)
	simulation.setMembers(simulation.addNode(scheduler.Parameters{}))
	simulation.addWorkers(1, 2, 8)
	simulation.submit(commander.JobSpec{Job: "draw", Workspace: "lawns", Shape: commander.Shape{Members: 2, Accelerators: 8}}, behaviour{runTime: time.Hour})
	simulation.run(time.Minute)
	simulation.workers["w00-00"].crash()
	simulation.workers["w00-00"].restart()
	simulation.run(10 * time.Second)
	completeGangs := 0
	for gang, observed := range simulation.gangs {
		if gang.Job == "draw" && len(observed.running) == observed.size {
			completeGangs++
		}
	}
	quicktest.Assert(t, completeGangs, quicktest.Equals, 1)
}
