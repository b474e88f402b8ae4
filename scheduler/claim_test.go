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
func (world *world) holder() *node {
	var holder *node
	for _, entry := range world.log {
		if claim, ok := entry.Record.(messenger.RegionClaim); ok {
			for _, node := range world.nodes {
				if node.identity.Node == claim.Node {
					holder = node
				}
			}
		}
	}
	return holder
}

// others returns all nodes except one.
func (world *world) others(excluded *node) []*node {
	var others []*node
	for _, node := range world.nodes {
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
	for name, removeHolder := range map[string]func(*world, *node){
		"drain": func(_ *world, holder *node) { holder.step(messenger.DrainArrived{}) },
		"death": func(world *world, holder *node) {
			holder.pause(time.Hour)
			world.run(1500 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				world := newWorld(t, seed)
				for range 3 {
					world.addNode(scheduler.Parameters{})
				}
				world.addWorkers(2, 8, 8)
				world.setMembers(world.nodes...)
				for _, job := range []identifier.Job{"draw", "study"} {
					world.submit(commander.JobSpec{Job: job, Workspace: "lawns", Shape: commander.Shape{Members: 8, Accelerators: 8}}, behaviour{runTime: time.Minute})
				}
				world.run(20*time.Second + world.delay(5*time.Second))
				first := world.holder()
				removeHolder(world, first)
				world.setMembers(world.others(first)...)
				world.run(30 * time.Second)
				quicktest.Assert(t, world.holder(), quicktest.Not(quicktest.Equals), first)
				world.run(2 * time.Minute)
				quicktest.Assert(t, world.outcomes["draw"].Code, quicktest.Equals, classifier.OK)
				quicktest.Assert(t, len(world.outcomes), quicktest.Equals, 2)
				quicktest.Assert(t, len(world.gangs), quicktest.Equals, 2, quicktest.Commentf("seed %d: gangs were restarted", seed))
			}
		})
	}
}

// TestUrgentJobStartsInTime guards against urgent work that starts later than
// 1.9 s after its submission, on free accelerators or on borrowed ones.
func TestUrgentJobStartsInTime(t *testing.T) {
	for seed := range uint64(20) {
		world := newWorld(t, seed)
		world.addNode(scheduler.Parameters{})
		world.addWorkers(1, 8, 8)
		world.setMembers(world.nodes...)
		world.run(10 * time.Second)
		for _, job := range []identifier.Job{"free", "borrowed"} {
			world.submit(commander.JobSpec{Job: job, Workspace: "lawns", Urgent: true, Shape: commander.Shape{Members: 4, Accelerators: 8}}, behaviour{runTime: time.Second})
			world.run(time.Minute)
			started, ok := world.started[job]
			quicktest.Assert(t, ok, quicktest.IsTrue)
			quicktest.Assert(t, started.Sub(world.accepted[job]) < 1900*time.Millisecond, quicktest.IsTrue)
			world.submit(commander.JobSpec{Job: "long", Workspace: "lawns", Shape: commander.Shape{Members: 8, Accelerators: 8}}, behaviour{runTime: time.Hour})
			world.run(time.Minute)
		}
	}
}
