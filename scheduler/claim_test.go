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

// holder returns the node whose claim is the newest.
func (simulation *simulation) holder() *node {
	var holder *node
	for _, entry := range simulation.log {
		if claim, ok := entry.Record.(messenger.RegionClaim); ok {
			for _, node := range simulation.nodes {
				if node.identity.Node == claim.Node {
					holder = node
				}
			}
		}
	}
	return holder
}

// others returns all nodes except one.
func (simulation *simulation) others(excluded *node) []*node {
	var others []*node
	for _, node := range simulation.nodes {
		if node != excluded {
			others = append(others, node)
		}
	}
	return others
}

// TestRunningGangSurvivesHolderChange guards against a change of the holder that
// stops running gangs. The holder changes by a planned drain, or by a crash that
// the other nodes suspect after 1.5 s.
func TestRunningGangSurvivesHolderChange(t *testing.T) {
	for name, removeHolder := range map[string]func(*simulation, *node){
		"drain": func(_ *simulation, holder *node) { holder.step(messenger.DrainArrived{}) },
		"death": func(simulation *simulation, holder *node) {
			holder.pause(time.Hour)
			simulation.run(1500 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				simulation := newSimulation(t, seed)
				for range 3 {
					simulation.addNode(scheduler.Parameters{})
				}
				simulation.addWorkers(2, 8, 8)
				simulation.setMembers(simulation.nodes...)
				for _, job := range []identifier.Job{"draw", "study"} {
					simulation.submit(commander.JobSpec{Job: job, Workspace: "lawns", Shape: commander.Shape{Members: 8, Accelerators: 8}}, behaviour{runTime: time.Minute})
				}
				simulation.run(20*time.Second + simulation.delay(5*time.Second))
				first := simulation.holder()
				removeHolder(simulation, first)
				simulation.setMembers(simulation.others(first)...)
				simulation.run(30 * time.Second)
				quicktest.Assert(t, simulation.holder(), quicktest.Not(quicktest.Equals), first)
				simulation.run(2 * time.Minute)
				quicktest.Assert(t, simulation.outcomes["draw"].Code, quicktest.Equals, classifier.OK)
				quicktest.Assert(t, len(simulation.outcomes), quicktest.Equals, 2)
				quicktest.Assert(t, len(simulation.gangs), quicktest.Equals, 2, quicktest.Commentf("seed %d: gangs were restarted", seed))
			}
		})
	}
}

// TestUrgentJobStartsInTime guards against urgent work that starts later than
// 1.9 s after its submission, on free accelerators or after a preemption.
func TestUrgentJobStartsInTime(t *testing.T) {
	for seed := range uint64(20) {
		simulation := newSimulation(t, seed)
		simulation.addNode(scheduler.Parameters{})
		simulation.addWorkers(1, 8, 8)
		simulation.setMembers(simulation.nodes...)
		simulation.run(10 * time.Second)
		for _, job := range []identifier.Job{"free", "borrowed"} {
			simulation.submit(commander.JobSpec{Job: job, Workspace: "lawns", Urgent: true, Shape: commander.Shape{Members: 4, Accelerators: 8}}, behaviour{runTime: time.Second})
			simulation.run(time.Minute)
			started, ok := simulation.started[job]
			quicktest.Assert(t, ok, quicktest.IsTrue)
			quicktest.Assert(t, started.Sub(simulation.accepted[job]) < 1900*time.Millisecond, quicktest.IsTrue)
			simulation.submit(commander.JobSpec{Job: "long", Workspace: "lawns", Shape: commander.Shape{Members: 8, Accelerators: 8}}, behaviour{runTime: time.Hour})
			simulation.run(time.Minute)
		}
	}
}

// TestHolderIsNotReplacedBeforeLogIsRead guards against a node whose process has just
// started and that claims a region because it has not read the claim of an alive holder.
// That holder steps down, no node renews the leases until the log is read, and running
// gangs are lost.
func TestHolderIsNotReplacedBeforeLogIsRead(t *testing.T) {
	for seed := range uint64(10) {
		simulation := newSimulation(t, seed)
		for range 2 {
			simulation.addNode(scheduler.Parameters{})
		}
		simulation.addWorkers(1, 4, 8)
		simulation.setMembers(simulation.nodes...)
		simulation.run(10 * time.Second)
		owner := simulation.holder()
		owner.pause(time.Hour)
		simulation.setMembers(simulation.others(owner)...)
		simulation.submit(commander.JobSpec{Job: "draw", Workspace: "lawns", Shape: commander.Shape{Members: 4, Accelerators: 8}}, behaviour{runTime: 10 * time.Minute})
		simulation.run(time.Minute)
		quicktest.Assert(t, simulation.gangs, quicktest.HasLen, 1)
		owner.logReadableAt = simulation.now.Add(25 * time.Second)
		owner.reboot()
		simulation.run(time.Hour)
		quicktest.Assert(t, simulation.outcomes["draw"].Code, quicktest.Equals, classifier.OK)
		quicktest.Assert(t, simulation.gangs, quicktest.HasLen, 1, quicktest.Commentf("seed %d: the gang was restarted", seed))
	}
}

// TestQuotaHoldsBeforeConfigurationIsRead guards against a new holder that starts jobs
// above the quota of their workspace because it has not read the configuration.
func TestQuotaHoldsBeforeConfigurationIsRead(t *testing.T) {
	simulation := newSimulation(t, 1)
	holder := simulation.addNode(scheduler.Parameters{})
	simulation.addWorkers(1, 2, 8)
	simulation.setMembers(holder)
	simulation.configure(messenger.WorkspaceSpec{Workspace: "lawns", Quota: 8})
	simulation.run(10 * time.Second)
	simulation.submitSingle("first", time.Hour)
	simulation.submitSingle("second", time.Hour)
	simulation.run(10 * time.Second)
	quicktest.Assert(t, simulation.started, quicktest.HasLen, 1)
	holder.configurationDelay = time.Minute
	holder.reboot()
	simulation.run(30 * time.Second)
	simulation.submitSingle("third", time.Hour)
	simulation.run(5 * time.Minute)
	quicktest.Assert(t, simulation.started, quicktest.HasLen, 1)
	simulation.run(5 * time.Hour)
	quicktest.Assert(t, simulation.started, quicktest.HasLen, 3)
}
