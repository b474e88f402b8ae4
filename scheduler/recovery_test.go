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
	"corianderroad/scheduler"
)

// submitSingle submits a job of one member that uses all 8 accelerators of a worker.
func (simulation *simulation) submitSingle(job identifier.Job, runTime time.Duration) {
	simulation.submit(commander.JobSpec{
		Job: job, Workspace: "lawns", Shape: commander.Shape{Members: 1, Accelerators: 8},
	}, behaviour{runTime: runTime})
}

// claimElsewhere appends a claim of the region by a node that is not a member, so
// that the holder steps down and claims again.
func (simulation *simulation) claimElsewhere() {
	simulation.append(messenger.Entry{Record: messenger.RegionClaim{Region: "r", Node: "gone", Incarnation: 1}})
}

// TestEndedGangIsForgottenOnStepDown guards against a gang of an ended job that is
// still being released when its holder steps down, and whose end after the next
// claim frees accelerators that it does not occupy. Jobs are then placed on a full
// worker, which refuses them without end.
func TestEndedGangIsForgottenOnStepDown(t *testing.T) {
	simulation := newSimulation(t, 1)
	holder := simulation.addNode(scheduler.Parameters{})
	simulation.addWorkers(1, 3, 8)
	simulation.setMembers(holder)
	simulation.onCall = func(call messenger.CallWorker) {
		if call.Kind == messenger.ReleaseTask && call.Gang.Job == "ended" {
			// The release is lost, and the holder steps down before it learns that.
			simulation.onCall = nil
			simulation.workers[call.Worker].crash()
			simulation.claimElsewhere()
		}
	}
	simulation.submitSingle("ended", 10*time.Second)
	simulation.run(time.Minute)
	quicktest.Assert(t, simulation.onCall, quicktest.IsNil)
	for _, worker := range simulation.workers {
		if !worker.up {
			worker.restart()
		}
	}
	simulation.run(time.Minute)
	before := simulation.calls[messenger.ReserveTask]
	for i := range 4 {
		simulation.submitSingle(identifier.Job(fmt.Sprintf("job%d", i)), 2*time.Hour)
	}
	simulation.run(time.Hour)
	quicktest.Assert(t, simulation.started, quicktest.HasLen, 4)
	quicktest.Assert(t, simulation.calls[messenger.ReserveTask]-before, quicktest.Equals, 3)
}

// TestFailedJobDoesNotBlockItsShape guards against a job that waits beside a free
// worker because an earlier job of the same shape, which failed on that worker, can't
// be placed while the other workers are reserved.
func TestFailedJobDoesNotBlockItsShape(t *testing.T) {
	simulation := newSimulation(t, 1)
	holder := simulation.addNode(scheduler.Parameters{})
	simulation.addWorkers(2, 2, 8)
	simulation.setMembers(holder)
	simulation.run(10 * time.Second)
	// One worker of each rack is occupied, that of the first rack for a shorter time.
	// The workers of the first rack are therefore reserved for the pair. Urgent gangs
	// are not migrated.
	occupy := func(job identifier.Job, runTime time.Duration) {
		simulation.submit(commander.JobSpec{
			Job: job, Workspace: "lawns", Urgent: true, RunTime: runTime, Shape: commander.Shape{Members: 1, Accelerators: 8},
		}, behaviour{runTime: runTime})
		simulation.run(10 * time.Second)
	}
	occupy("first", time.Hour)
	simulation.submitSingle("filler", time.Minute)
	simulation.run(10 * time.Second)
	occupy("second", 10*time.Hour)
	simulation.run(2 * time.Minute)
	pair := commander.Shape{Members: 2, Accelerators: 8, Adjacency: commander.SameRack}
	simulation.submit(commander.JobSpec{Job: "pair", Workspace: "lawns", Shape: pair}, behaviour{runTime: time.Minute})
	simulation.run(2 * time.Minute)

	free := simulation.workers["w01-01"]
	free.broken = true
	simulation.submitSingle("failing", time.Minute)
	simulation.run(time.Minute)
	quicktest.Assert(t, free.tasks, quicktest.HasLen, 0)
	free.broken = false
	simulation.submitSingle("other", time.Minute)
	simulation.run(time.Minute)
	_, started := simulation.started["other"]
	quicktest.Assert(t, started, quicktest.IsTrue)
}

// TestUrgentJobReturnsToFailedWorker guards against an urgent job that waits for the
// end of a preemptible gang because it failed once on the only worker that can be
// cleared for it.
func TestUrgentJobReturnsToFailedWorker(t *testing.T) {
	simulation := newSimulation(t, 1)
	holder := simulation.addNode(scheduler.Parameters{})
	simulation.addWorkers(1, 1, 8)
	simulation.setMembers(holder)
	simulation.run(10 * time.Second)
	only := simulation.workers["w00-00"]
	only.broken = true
	simulation.submit(commander.JobSpec{
		Job: "urgent", Workspace: "lawns", Urgent: true, Shape: commander.Shape{Members: 1, Accelerators: 8},
	}, behaviour{runTime: time.Minute})
	simulation.run(500 * time.Millisecond)
	// The job fails, and a lower quota lets a job of another workspace start first.
	simulation.configure(messenger.WorkspaceSpec{Workspace: "lawns", Quota: 4})
	simulation.run(10 * time.Second)
	only.broken = false
	simulation.submit(commander.JobSpec{
		Job: "other", Workspace: "hedges", Shape: commander.Shape{Members: 1, Accelerators: 8},
	}, behaviour{runTime: 12 * time.Hour})
	simulation.run(10 * time.Second)
	_, started := simulation.started["other"]
	quicktest.Assert(t, started, quicktest.IsTrue)
	simulation.configure(messenger.WorkspaceSpec{Workspace: "lawns", Quota: 8})
	simulation.run(2 * time.Minute)
	quicktest.Assert(t, simulation.outcomes["urgent"], quicktest.Equals, messenger.Outcome{Job: "urgent", Code: classifier.OK})
}

// TestCancelledJobEndsWithoutWorkers guards against a cancelled job that never ends
// because no node claims a region in which no worker is listed.
func TestCancelledJobEndsWithoutWorkers(t *testing.T) {
	simulation := newSimulation(t, 1)
	for range 3 {
		simulation.addNode(scheduler.Parameters{})
	}
	simulation.setMembers(simulation.nodes...)
	simulation.submitSingle("cancelled", time.Minute)
	simulation.submitSingle("waiting", time.Minute)
	simulation.run(time.Minute)
	simulation.cancel("cancelled")
	simulation.run(time.Minute)
	quicktest.Assert(t, simulation.outcomes["cancelled"].Cancelled, quicktest.IsTrue)
	simulation.addWorkers(1, 1, 8)
	simulation.run(time.Minute)
	_, started := simulation.started["waiting"]
	quicktest.Assert(t, started, quicktest.IsTrue)
}

// TestInvalidTermExcludesOneWorker guards against a worker with a term that no claim
// in the log has, for example after the log was replaced, which makes every holder of
// the region step down at once, so that nothing is placed on the other workers.
func TestInvalidTermExcludesOneWorker(t *testing.T) {
	simulation := newSimulation(t, 1)
	for range 3 {
		simulation.addNode(scheduler.Parameters{})
	}
	simulation.addWorkers(1, 4, 8)
	simulation.setMembers(simulation.nodes...)
	simulation.workers["w00-00"].highestTerm = 1_000_000
	for i := range 3 {
		simulation.submitSingle(identifier.Job(fmt.Sprintf("job%d", i)), time.Hour)
	}
	simulation.run(2 * time.Minute)
	quicktest.Assert(t, simulation.started, quicktest.HasLen, 3)
	quicktest.Assert(t, simulation.workers["w00-00"].tasks, quicktest.HasLen, 0)
	// The next holder needs as many step-downs to learn this again.
	first := simulation.holder()
	first.pause(time.Hour)
	simulation.setMembers(simulation.others(first)...)
	simulation.run(2 * time.Minute)
	quicktest.Assert(t, simulation.holder(), quicktest.Not(quicktest.Equals), first)
	simulation.workers["w00-00"].highestTerm = 0
	simulation.submitSingle("last", time.Hour)
	simulation.run(time.Minute)
	quicktest.Assert(t, simulation.started, quicktest.HasLen, 4)
}

// TestRelistedWorkerIsUsedAtOnce guards against a worker that was missing in a VM list
// and gets no job until its next poll, up to 30 s after it is listed again.
func TestRelistedWorkerIsUsedAtOnce(t *testing.T) {
	simulation := newSimulation(t, 1)
	holder := simulation.addNode(scheduler.Parameters{})
	simulation.addWorkers(1, 1, 8)
	simulation.setMembers(holder)
	simulation.run(70 * time.Second)
	complete := simulation.vms
	simulation.vms = nil
	simulation.listVMs()
	simulation.run(time.Second)
	simulation.submitSingle("job", time.Minute)
	simulation.run(time.Second)
	simulation.vms = complete
	simulation.listVMs()
	simulation.run(3 * time.Second)
	_, started := simulation.started["job"]
	quicktest.Assert(t, started, quicktest.IsTrue)
}

// TestShortJobsRunBehindLongReservation guards against short jobs that wait for hours
// beside free workers, which are reserved for a gang until a long job ends, and
// against a gang that never starts because short jobs take its workers.
func TestShortJobsRunBehindLongReservation(t *testing.T) {
	simulation := newSimulation(t, 1)
	holder := simulation.addNode(scheduler.Parameters{})
	simulation.addWorkers(1, 8, 8)
	simulation.setMembers(holder)
	simulation.run(10 * time.Second)
	submit := func(job string, members, accelerators int, declared, actual time.Duration) {
		simulation.submit(commander.JobSpec{
			Job: identifier.Job(job), Workspace: "lawns", RunTime: declared,
			Shape: commander.Shape{Members: members, Accelerators: accelerators},
		}, behaviour{runTime: actual})
	}
	submit("long", 1, 8, 10*time.Hour, 10*time.Hour)
	simulation.run(10 * time.Second)
	submit("gang", 8, 8, time.Minute, time.Minute)
	simulation.run(2 * time.Minute)
	submit("short", 1, 8, time.Minute, time.Minute)
	simulation.run(time.Minute)
	_, started := simulation.started["short"]
	quicktest.Assert(t, started, quicktest.IsTrue)
	// The jobs run much longer than they declare.
	for i := range 100 {
		submit(fmt.Sprintf("late%03d", i), 1, 8, time.Minute, time.Hour)
	}
	simulation.run(13 * time.Hour)
	_, started = simulation.started["gang"]
	quicktest.Assert(t, started, quicktest.IsTrue)
}

// TestClearedWorkersAreUsed guards against a job that never starts although its workers
// are free: workers without a gang are reserved for it, nothing else causes a pass before
// clearingTimeout, and at that time the job is queued again.
func TestClearedWorkersAreUsed(t *testing.T) {
	simulation := newSimulation(t, 1)
	simulation.setMembers(simulation.addNode(scheduler.Parameters{}))
	simulation.addWorkers(4, 1, 8)
	guarantee := func(members, accelerators int, adjacency commander.Adjacency) messenger.Guarantee {
		return messenger.Guarantee{Region: "r", Shape: commander.Shape{Members: members, Accelerators: accelerators, Adjacency: adjacency}}
	}
	// The job can be protected only on the worker that holds its guarantee.
	simulation.configure(
		messenger.WorkspaceSpec{Workspace: "a", Weight: 1, Guarantees: []messenger.Guarantee{guarantee(1, 1, commander.AnyRack), guarantee(3, 7, commander.AnyRack)}},
		messenger.WorkspaceSpec{Workspace: "b", Weight: 1, Guarantees: []messenger.Guarantee{guarantee(1, 2, commander.AnyRack), guarantee(1, 6, commander.SameRack)}},
	)
	simulation.run(10 * time.Second)
	simulation.submit(commander.JobSpec{Job: "draw", Workspace: "a", Shape: commander.Shape{Members: 1, Accelerators: 1}}, behaviour{})
	simulation.run(10 * time.Second)
	_, started := simulation.started["draw"]
	quicktest.Assert(t, started, quicktest.IsTrue)
}
