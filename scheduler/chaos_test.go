package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/scheduler"
)

// chaos adds random jobs and faults of every kind to a simulation and records them
// for the final checks.
type chaos struct {
	*simulation
	t               *rapid.T
	cancelled       map[identifier.Job]bool
	specs           map[identifier.Job]commander.JobSpec
	hadBrokenWorker bool
	// noFailures excludes failing jobs and broken workers, which lead to quarantines.
	noFailures bool
}

func newChaos(t *rapid.T) *chaos {
	chaos := &chaos{
		simulation: newSimulation(t, rapid.Uint64().Draw(t, "seed")), t: t,
		cancelled: make(map[identifier.Job]bool), specs: make(map[identifier.Job]commander.JobSpec),
	}
	for range rapid.IntRange(1, 3).Draw(t, "nodes") {
		chaos.addNode(scheduler.Parameters{})
	}
	chaos.addWorkers(rapid.IntRange(1, 4).Draw(t, "racks"), rapid.IntRange(1, 4).Draw(t, "per rack"), 8)
	chaos.setMembers(chaos.nodes...)
	chaos.configure(drawWorkspace(t, "a"), drawWorkspace(t, "b"))
	return chaos
}

func (chaos *chaos) pickWorker() *vm {
	return chaos.workers[identifier.Worker(rapid.SampledFrom(chaos.vms).Draw(chaos.t, "worker").Name)]
}

func (chaos *chaos) submitRandomJob() {
	spec := commander.JobSpec{
		Job:       identifier.Job(fmt.Sprintf("job%d", len(chaos.specs))),
		Workspace: rapid.SampledFrom([]identifier.Workspace{"a", "b"}).Draw(chaos.t, "workspace"),
		Urgent:    rapid.Bool().Draw(chaos.t, "urgent"),
		Shape: commander.Shape{
			Members:      rapid.IntRange(1, 6).Draw(chaos.t, "members"),
			Accelerators: rapid.IntRange(0, 9).Draw(chaos.t, "accelerators"),
			Adjacency:    commander.Adjacency(rapid.IntRange(0, 1).Draw(chaos.t, "adjacency")),
		},
		// The declared run time may differ much from the actual one.
		RunTime: time.Duration(rapid.IntRange(0, 1000).Draw(chaos.t, "declared")) * time.Second,
	}
	chaos.specs[spec.Job] = spec
	chaos.submit(spec, behaviour{
		runTime: time.Duration(rapid.IntRange(0, 200).Draw(chaos.t, "run time")) * time.Second,
		fails:   rapid.IntRange(0, 5).Draw(chaos.t, "fails") == 0 && !chaos.noFailures,
	})
}

func (chaos *chaos) cancelRandomJobs() {
	for _, job := range rapid.SliceOf(rapid.IntRange(0, max(0, len(chaos.specs)-1))).Draw(chaos.t, "cancelled") {
		name := identifier.Job(fmt.Sprintf("job%d", job))
		if _, ok := chaos.specs[name]; ok {
			chaos.cancelled[name] = true
			chaos.cancel(name)
		}
	}
}

// splitMembership gives each node a different list of alive members.
func (chaos *chaos) splitMembership() {
	for _, node := range chaos.nodes {
		var event messenger.MembersChanged
		for _, other := range chaos.nodes {
			if other == node || rapid.Bool().Draw(chaos.t, "sees") {
				event.Members = append(event.Members, messenger.Member{Identity: other.identity, State: messenger.Alive})
			}
		}
		chaos.after(0, func() { node.step(event) })
	}
}

func (chaos *chaos) performRandomAction() {
	chance := func(label string) float64 { return rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(chaos.t, label) }
	switch rapid.SampledFrom([]string{"submit", "submit", "submit", "cancel", "crash", "restart", "break", "pause", "split", "log", "loss", "configure", "reboot", "unlist"}).Draw(chaos.t, "act") {
	case "submit":
		chaos.submitRandomJob()
	case "cancel":
		chaos.cancelRandomJobs()
	case "crash":
		chaos.pickWorker().crash()
	case "restart":
		worker := chaos.pickWorker()
		worker.crash()
		worker.restart()
	case "break":
		worker := chaos.pickWorker()
		if !chaos.noFailures {
			chaos.hadBrokenWorker, worker.broken = true, true
		}
	case "pause":
		duration := time.Duration(rapid.IntRange(1, 40).Draw(chaos.t, "pause")) * time.Second
		rapid.SampledFrom(chaos.nodes).Draw(chaos.t, "node").pause(duration)
	case "split":
		chaos.splitMembership()
	case "log":
		chaos.logUnavailable = !chaos.logUnavailable
	case "reboot":
		rapid.SampledFrom(chaos.nodes).Draw(chaos.t, "rebooted").reboot()
	case "unlist":
		chaos.shortenLists()
	case "configure":
		chaos.configure(drawWorkspace(chaos.t, "a"), drawWorkspace(chaos.t, "b"))
	case "loss":
		chaos.maxTransit = time.Duration(rapid.SampledFrom([]int{5, 5, 900}).Draw(chaos.t, "transit")) * time.Millisecond
		chaos.requestLossRate, chaos.answerLossRate = chance("requests lost"), chance("answers lost")
	}
	chaos.checkGuarantees()
	chaos.run(time.Duration(rapid.IntRange(0, 20000).Draw(chaos.t, "pass")) * time.Millisecond)
}

// shortenLists lets the VM list of each node lack some live workers for up to a minute,
// also the first list of a process that starts meanwhile.
func (chaos *chaos) shortenLists() {
	for _, node := range chaos.nodes {
		node.unlisted = make(map[string]bool)
		for _, vm := range chaos.vms {
			node.unlisted[vm.Name] = rapid.IntRange(0, 2).Draw(chaos.t, "unlisted") == 0
		}
	}
	chaos.listVMs()
	// Lists arrive in the order in which they were read.
	gap := time.Duration(rapid.IntRange(1100, 60000).Draw(chaos.t, "gap")) * time.Millisecond
	chaos.after(gap, chaos.completeLists)
}

// endFaults ends all faults and runs until all jobs should have ended.
func (chaos *chaos) endFaults() {
	chaos.logUnavailable, chaos.requestLossRate, chaos.answerLossRate, chaos.maxTransit = false, 0, 0, 5*time.Millisecond
	for _, worker := range chaos.workers {
		worker.broken = false
		if !worker.up {
			worker.restart()
		}
	}
	chaos.run(time.Minute)
	chaos.setMembers(chaos.nodes...)
	chaos.run(6 * time.Hour)
}

// TestEveryJobEndsOnce guards against jobs that are lost, that run after their
// outcome or that end with a wrong one, and against gangs of which only some
// members run. The faults are a random mixture.
func TestEveryJobEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chaos := newChaos(t)
		for range rapid.IntRange(1, 25).Draw(t, "acts") {
			chaos.performRandomAction()
		}
		chaos.endFaults()
		for name, spec := range chaos.specs {
			chaos.checkOutcome(name, spec)
		}
		for _, worker := range chaos.workers {
			if len(worker.tasks) > 0 {
				t.Fatalf("worker %s still has %d tasks", worker.name, len(worker.tasks))
			}
		}
	})
}

func (chaos *chaos) checkOutcome(name identifier.Job, spec commander.JobSpec) {
	outcome, ok := chaos.outcomes[name]
	if !ok {
		chaos.t.Fatalf("job %s %+v has no outcome", name, spec)
	}
	switch {
	case outcome.Cancelled:
		if !chaos.cancelled[name] {
			chaos.t.Fatalf("job %s has the outcome cancelled, but was not cancelled", name)
		}
	case outcome.Code == classifier.OK:
		if chaos.behaviours[name].fails {
			chaos.t.Fatalf("job %s has the outcome OK, but always fails", name)
		}
	case outcome.Code == classifier.RepeatedFailure:
		if !chaos.behaviours[name].fails && !chaos.hadBrokenWorker {
			chaos.t.Fatalf("job %s never fails and no worker was broken, but it ended with %+v", name, outcome)
		}
	case outcome.Code == classifier.Infeasible:
		if chaos.isFeasible(spec.Shape) {
			chaos.t.Fatalf("job %s ended as infeasible, but its shape %+v fits", name, spec.Shape)
		}
	default:
		chaos.t.Fatalf("job %s ended with an unexpected outcome %+v", name, outcome)
	}
}

// isFeasible reports whether a shape fits if all workers, which have 8 accelerators
// each, are unoccupied.
func (chaos *chaos) isFeasible(shape commander.Shape) bool {
	inRack := make(map[identifier.Rack]int)
	for _, vm := range chaos.vms {
		inRack[vm.Rack]++
	}
	maxMembers := 0
	for _, count := range inRack {
		maxMembers = max(maxMembers, count)
	}
	if shape.Adjacency == commander.AnyRack {
		maxMembers = len(chaos.vms)
	}
	return shape.Accelerators <= 8 && shape.Members <= maxMembers
}
