package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/guarantor"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/scheduler"
)

// isReclaimable reports whether the claims from n on can be packed on workers, so
// that each worker has enough accelerators for the larger of the claims and the
// protected work of each workspace.
func isReclaimable(workers []guarantor.Worker, claims []guarantor.Claim, uses []guarantor.Use, claimed []map[identifier.Workspace]int, n, from int, chosen []int) bool {
	if n == len(claims) {
		return true
	}
	claim := claims[n]
	if len(chosen) == claim.Shape.Members {
		return isReclaimable(workers, claims, uses, claimed, n+1, 0, nil)
	}
	for i := from; i < len(workers); i++ {
		if len(chosen) > 0 && claim.Shape.Adjacency == commander.SameRack && workers[chosen[0]].Rack != workers[i].Rack {
			continue
		}
		claimed[i][claim.Workspace] += claim.Shape.Accelerators
		if usage(workers[i], uses, claimed[i]) <= workers[i].Accelerators &&
			isReclaimable(workers, claims, uses, claimed, n, i+1, append(chosen[:len(chosen):len(chosen)], i)) {
			return true
		}
		claimed[i][claim.Workspace] -= claim.Shape.Accelerators
	}
	return false
}

func usage(worker guarantor.Worker, uses []guarantor.Use, claimed map[identifier.Workspace]int) int {
	used := make(map[identifier.Workspace]int)
	for _, use := range uses {
		if slices.Contains(use.Workers, worker.Worker) {
			used[use.Workspace] += use.Accelerators
		}
	}
	sum := 0
	for _, workspace := range []identifier.Workspace{"a", "b"} {
		sum += max(used[workspace], claimed[workspace])
	}
	return sum
}

// checkGuarantees checks by an exhaustive search that the claims that the holders
// report as reclaimable can be packed.
func (simulation *simulation) checkGuarantees() {
	for _, node := range simulation.nodes {
		workers, claims, uses, ok := node.scheduler.GuaranteeState("r")
		if !ok || len(claims) == 0 {
			continue
		}
		claimed := make([]map[identifier.Workspace]int, len(workers))
		for i := range claimed {
			claimed[i] = make(map[identifier.Workspace]int)
		}
		if !isReclaimable(workers, claims, uses, claimed, 0, 0, nil) {
			simulation.t.Fatalf("at %s the claims %v cannot be packed beside %v on %v", simulation.now, claims, uses, workers)
		}
	}
}

// configure publishes workspaces to all nodes.
func (simulation *simulation) configure(workspaces ...messenger.WorkspaceSpec) {
	configuration := &messenger.Configuration{Organisations: []messenger.OrganisationText{{Workspaces: workspaces}}}
	simulation.configuration = configuration
	for _, node := range simulation.nodes {
		simulation.after(simulation.delay(time.Second), func() { node.step(messenger.ConfigurationChanged{Configuration: configuration}) })
	}
}

func drawWorkspace(t *rapid.T, name identifier.Workspace) messenger.WorkspaceSpec {
	spec := messenger.WorkspaceSpec{Workspace: name, Weight: rapid.IntRange(1, 3).Draw(t, "weight")}
	for range rapid.IntRange(0, 2).Draw(t, "guarantees") {
		spec.Guarantees = append(spec.Guarantees, messenger.Guarantee{Region: "r", Shape: commander.Shape{
			Members: rapid.IntRange(1, 3).Draw(t, "members"), Accelerators: rapid.IntRange(1, 8).Draw(t, "each"),
			Adjacency: commander.Adjacency(rapid.IntRange(0, 1).Draw(t, "adjacency")),
		}})
	}
	return spec
}

// TestGuaranteeIsReclaimed guards against a guaranteed gang that waits until the
// gangs of other workspaces on its accelerators complete instead of preempting
// them.
func TestGuaranteeIsReclaimed(t *testing.T) {
	simulation := newSimulation(t, 1)
	holder := simulation.addNode(scheduler.Parameters{})
	simulation.addWorkers(2, 4, 8)
	simulation.setMembers(holder)
	shape := commander.Shape{Members: 4, Accelerators: 8, Adjacency: commander.SameRack}
	simulation.configure(
		messenger.WorkspaceSpec{Workspace: "a", Weight: 1, Guarantees: []messenger.Guarantee{{Region: "r", Shape: shape}}},
		messenger.WorkspaceSpec{Workspace: "b", Weight: 1, Quota: 72},
	)
	simulation.run(5 * time.Second)
	for _, job := range []identifier.Job{"b1", "b2", "b3", "b4"} {
		simulation.submit(commander.JobSpec{Job: job, Workspace: "b", Shape: commander.Shape{Members: 8, Accelerators: 2}}, behaviour{runTime: time.Hour})
	}
	simulation.submit(commander.JobSpec{Job: "b5", Workspace: "b", Shape: commander.Shape{Members: 5, Accelerators: 2}}, behaviour{runTime: time.Minute})
	simulation.run(time.Minute)
	for _, job := range holder.scheduler.View(simulation.now, querier.Query{Kind: querier.Status}).Jobs {
		if job.Job == "b5" {
			quicktest.Assert(t, job.Reason, quicktest.Equals, classifier.QuotaExceeded.Name())
		}
	}
	simulation.submit(commander.JobSpec{Job: "a1", Workspace: "a", Shape: shape}, behaviour{runTime: time.Minute})
	submitted := simulation.now
	simulation.run(20 * time.Second)
	quicktest.Assert(t, simulation.started["a1"].Sub(submitted) <= 10*time.Second, quicktest.IsTrue, quicktest.Commentf("started %s", simulation.started["a1"].Sub(submitted)))
	answer := holder.scheduler.View(simulation.now, querier.Query{Kind: querier.Shares, Workspace: "a"})
	quicktest.Assert(t, answer.Shares, quicktest.DeepEquals, []querier.Share{{Workspace: "a", Guaranteed: 32, Used: 32, Covered: true}})
	simulation.run(5 * time.Hour)
	for _, job := range []identifier.Job{"a1", "b1", "b2", "b3", "b4", "b5"} {
		quicktest.Assert(t, simulation.outcomes[job].Code, quicktest.Equals, classifier.OK)
	}
}

// TestEndedJobIsRemovedFromPackingOnce guards against a guarantee that is reported as
// reclaimable and is not, because the gang of an ended job was released after the
// guarantees had been packed again without it.
func TestEndedJobIsRemovedFromPackingOnce(t *testing.T) {
	simulation := newSimulation(t, 1)
	simulation.setMembers(simulation.addNode(scheduler.Parameters{}))
	simulation.addWorkers(1, 2, 8)
	worker := messenger.Guarantee{Region: "r", Shape: commander.Shape{Members: 1, Accelerators: 8}}
	a := messenger.WorkspaceSpec{Workspace: "a", Guarantees: []messenger.Guarantee{worker}}
	b := messenger.WorkspaceSpec{Workspace: "b", Guarantees: []messenger.Guarantee{worker, worker}}
	submit := func(job identifier.Job, runTime time.Duration) {
		simulation.submit(commander.JobSpec{Job: job, Workspace: "b", Shape: worker.Shape}, behaviour{runTime: runTime})
	}
	simulation.configure(b)
	simulation.run(10 * time.Second)
	submit("long", time.Hour)
	submit("ended", time.Second)
	// The releases are lost for some seconds, in which the guarantees change.
	simulation.onCall = func(call messenger.CallWorker) {
		if call.Kind == messenger.ReleaseTask && call.Gang.Job == "ended" {
			simulation.onCall, simulation.requestLossRate = nil, 1
			simulation.configure(a, b)
			simulation.after(3*time.Second, func() { simulation.requestLossRate = 0 })
		}
	}
	simulation.run(time.Minute)
	quicktest.Assert(t, simulation.onCall, quicktest.IsNil)
	submit("next", time.Hour)
	simulation.run(10 * time.Second)
	_, started := simulation.started["next"]
	quicktest.Assert(t, started, quicktest.IsTrue)
	simulation.checkGuarantees()
}
