package scheduler_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/scheduler"
)

// replaceHolder lets a node whose process has just started become the holder. Its VM
// list lacks some live workers until completeLists.
func (simulation *simulation) replaceHolder(unlisted map[string]bool) {
	former := simulation.holder()
	fresh := simulation.others(former)[0]
	fresh.unlisted = unlisted
	fresh.reboot()
	simulation.run(time.Second)
	former.pause(time.Hour)
	simulation.setMembers(fresh)
}

// completeLists delivers the complete VM list to every node.
func (simulation *simulation) completeLists() {
	for _, node := range simulation.nodes {
		node.unlisted = nil
	}
	simulation.listVMs()
}

// runningWorkers returns the workers on which a job runs, by name.
func (simulation *simulation) runningWorkers(job identifier.Job) []string {
	var names []string
	for _, vm := range simulation.vms {
		for _, task := range simulation.workers[identifier.Worker(vm.Name)].tasks {
			if task.Gang.Job == job {
				names = append(names, vm.Name)
			}
		}
	}
	return names
}

// TestJobOnUnlistedWorkerRunsOnce guards against a job that runs twice because the VM
// list of a new holder lacks a worker that runs it, so that all workers that the holder
// knows answer without the job, or without one member of its gang.
func TestJobOnUnlistedWorkerRunsOnce(t *testing.T) {
	for name, members := range map[string]int{"single": 1, "gang": 3} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				simulation := newSimulation(t, seed)
				for range 2 {
					simulation.addNode(scheduler.Parameters{})
				}
				simulation.addWorkers(2, 4, 8)
				simulation.setMembers(simulation.nodes...)
				simulation.submit(commander.JobSpec{
					Job: "draw", Workspace: "lawns", Shape: commander.Shape{Members: members, Accelerators: 8},
				}, behaviour{runTime: time.Hour})
				simulation.run(20*time.Second + simulation.delay(5*time.Second))
				running := simulation.runningWorkers("draw")
				quicktest.Assert(t, running, quicktest.HasLen, members)
				// recordTaskStart fails if a second gang of the job starts while one runs.
				simulation.replaceHolder(map[string]bool{running[0]: true})
				simulation.run(5 * time.Second)
				simulation.completeLists()
				simulation.run(3 * time.Hour)
				quicktest.Assert(t, simulation.outcomes["draw"].Code, quicktest.Equals, classifier.OK)
			}
		})
	}
}

// TestShapeIsFeasibleOnUnlistedWorkers guards against an accepted job that ends as
// infeasible because the VM list of a new holder lacks live workers on which its shape
// fits.
func TestShapeIsFeasibleOnUnlistedWorkers(t *testing.T) {
	for seed := range uint64(10) {
		simulation := newSimulation(t, seed)
		for range 2 {
			simulation.addNode(scheduler.Parameters{})
		}
		simulation.addWorkers(1, 4, 8)
		simulation.setMembers(simulation.nodes...)
		simulation.submitSingle("other", time.Minute)
		simulation.run(10 * time.Second)
		shape := commander.Shape{Members: 4, Accelerators: 8, Adjacency: commander.SameRack}
		simulation.submit(commander.JobSpec{Job: "draw", Workspace: "lawns", Shape: shape}, behaviour{runTime: time.Minute})
		simulation.run(10 * time.Second)
		simulation.replaceHolder(map[string]bool{"w00-00": true, "w00-01": true})
		simulation.run(time.Minute)
		simulation.completeLists()
		simulation.run(time.Hour)
		quicktest.Assert(t, simulation.outcomes["draw"], quicktest.Equals, messenger.Outcome{Job: "draw", Code: classifier.OK})
	}
}

// TestInfeasibleJobEnds guards against a job whose shape fits on no set of workers and
// that waits without end.
func TestInfeasibleJobEnds(t *testing.T) {
	simulation := newSimulation(t, 1)
	simulation.setMembers(simulation.addNode(scheduler.Parameters{}))
	simulation.addWorkers(1, 4, 8)
	shape := commander.Shape{Members: 5, Accelerators: 8}
	simulation.submit(commander.JobSpec{Job: "early", Workspace: "lawns", Shape: shape}, behaviour{})
	simulation.run(20 * time.Minute)
	quicktest.Assert(t, simulation.outcomes["early"].Code, quicktest.Equals, classifier.Infeasible)
	simulation.submit(commander.JobSpec{Job: "late", Workspace: "lawns", Shape: shape}, behaviour{})
	simulation.run(time.Second)
	quicktest.Assert(t, simulation.outcomes["late"].Code, quicktest.Equals, classifier.Infeasible)
}

// TestCancelledJobEndsAfterItsRun guards against a job that is shown as cancelled while
// it still runs on a worker that the new holder does not know.
func TestCancelledJobEndsAfterItsRun(t *testing.T) {
	for seed := range uint64(10) {
		simulation := newSimulation(t, seed)
		for range 2 {
			simulation.addNode(scheduler.Parameters{})
		}
		simulation.addWorkers(1, 4, 8)
		simulation.setMembers(simulation.nodes...)
		simulation.submitSingle("draw", time.Hour)
		simulation.run(20*time.Second + simulation.delay(5*time.Second))
		running := simulation.runningWorkers("draw")
		quicktest.Assert(t, running, quicktest.HasLen, 1)
		simulation.replaceHolder(map[string]bool{running[0]: true})
		simulation.run(2 * time.Second)
		simulation.cancel("draw")
		for simulation.ended["draw"].IsZero() {
			simulation.run(100 * time.Millisecond)
		}
		quicktest.Assert(t, simulation.outcomes["draw"].Cancelled, quicktest.IsTrue)
		for gang, observed := range simulation.gangs {
			quicktest.Assert(t, observed.running, quicktest.HasLen, 0, quicktest.Commentf("seed %d: %v runs after the outcome", seed, gang))
		}
	}
}
