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

// chaos draws failures of every kind for a world and remembers what it did.
type chaos struct {
	*world
	t         *rapid.T
	cancelled map[identifier.Job]bool
	specs     map[identifier.Job]commander.JobSpec
	broke     bool
}

func newChaos(t *rapid.T) *chaos {
	chaos := &chaos{
		world: newWorld(t, rapid.Uint64().Draw(t, "seed")), t: t,
		cancelled: make(map[identifier.Job]bool), specs: make(map[identifier.Job]commander.JobSpec),
	}
	for range rapid.IntRange(1, 3).Draw(t, "nodes") {
		chaos.addNode(scheduler.Parameters{})
	}
	chaos.addWorkers(rapid.IntRange(1, 4).Draw(t, "racks"), rapid.IntRange(1, 4).Draw(t, "per rack"), 8)
	chaos.members(chaos.nodes...)
	chaos.configure(drawWorkspace(t, "a"), drawWorkspace(t, "b"))
	return chaos
}

func (chaos *chaos) pickWorker() *vm {
	return chaos.workers[identifier.Worker(rapid.SampledFrom(chaos.vms).Draw(chaos.t, "worker").Name)]
}

func (chaos *chaos) submitAny() {
	spec := commander.JobSpec{
		Job:       identifier.Job(fmt.Sprintf("job%d", len(chaos.specs))),
		Workspace: rapid.SampledFrom([]identifier.Workspace{"a", "b"}).Draw(chaos.t, "workspace"),
		Urgent:    rapid.Bool().Draw(chaos.t, "urgent"),
		Shape: commander.Shape{
			Members:      rapid.IntRange(1, 6).Draw(chaos.t, "members"),
			Accelerators: rapid.IntRange(0, 9).Draw(chaos.t, "accelerators"),
			Adjacency:    commander.Adjacency(rapid.IntRange(0, 1).Draw(chaos.t, "adjacency")),
		},
		// The declaration may be far off.
		RunTime: time.Duration(rapid.IntRange(0, 1000).Draw(chaos.t, "declared")) * time.Second,
	}
	chaos.specs[spec.Job] = spec
	chaos.submit(spec, behaviour{
		runTime: time.Duration(rapid.IntRange(0, 200).Draw(chaos.t, "run time")) * time.Second,
		fails:   rapid.IntRange(0, 5).Draw(chaos.t, "fails") == 0,
	})
}

func (chaos *chaos) cancelSome() {
	for _, job := range rapid.SliceOf(rapid.IntRange(0, max(0, len(chaos.specs)-1))).Draw(chaos.t, "cancelled") {
		name := identifier.Job(fmt.Sprintf("job%d", job))
		if _, ok := chaos.specs[name]; ok {
			chaos.cancelled[name] = true
			chaos.cancel(name)
		}
	}
}

// split gives every node a view of its own of who is alive.
func (chaos *chaos) split() {
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

func (chaos *chaos) act() {
	chance := func(label string) float64 { return rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(chaos.t, label) }
	switch rapid.SampledFrom([]string{"submit", "submit", "submit", "cancel", "crash", "restart", "break", "pause", "split", "log", "loss", "configure", "reboot"}).Draw(chaos.t, "act") {
	case "submit":
		chaos.submitAny()
	case "cancel":
		chaos.cancelSome()
	case "crash":
		chaos.pickWorker().crash()
	case "restart":
		worker := chaos.pickWorker()
		worker.crash()
		worker.restart()
	case "break":
		chaos.broke = true
		chaos.pickWorker().broken = true
	case "pause":
		length := time.Duration(rapid.IntRange(1, 40).Draw(chaos.t, "pause")) * time.Second
		rapid.SampledFrom(chaos.nodes).Draw(chaos.t, "node").pause(length)
	case "split":
		chaos.split()
	case "log":
		chaos.logDown = !chaos.logDown
	case "reboot":
		rapid.SampledFrom(chaos.nodes).Draw(chaos.t, "rebooted").reboot()
	case "configure":
		chaos.configure(drawWorkspace(chaos.t, "a"), drawWorkspace(chaos.t, "b"))
	case "loss":
		chaos.transit = time.Duration(rapid.SampledFrom([]int{5, 5, 900}).Draw(chaos.t, "transit")) * time.Millisecond
		chaos.loseRequest, chaos.loseAnswer = chance("requests lost"), chance("answers lost")
	}
	chaos.checkGuarantees()
	chaos.run(time.Duration(rapid.IntRange(0, 20000).Draw(chaos.t, "pass")) * time.Millisecond)
}

// heal ends all failures and lets the jobs run out.
func (chaos *chaos) heal() {
	chaos.logDown, chaos.loseRequest, chaos.loseAnswer, chaos.transit = false, 0, 0, 5*time.Millisecond
	for _, worker := range chaos.workers {
		worker.broken = false
		if !worker.up {
			worker.restart()
		}
	}
	chaos.run(time.Minute)
	chaos.members(chaos.nodes...)
	chaos.run(6 * time.Hour)
}

// TestEveryJobEndsOnce guards against jobs that are dropped, run on after their
// outcome or end with a wrong one, and against gangs of which a part runs
// without the rest, under any mixture of failures.
func TestEveryJobEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chaos := newChaos(t)
		for range rapid.IntRange(1, 25).Draw(t, "acts") {
			chaos.act()
		}
		chaos.heal()
		for name, spec := range chaos.specs {
			chaos.checkOutcome(name, spec)
		}
		for _, worker := range chaos.workers {
			if len(worker.tasks) > 0 {
				t.Fatalf("worker %s keeps %d tasks", worker.name, len(worker.tasks))
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
			chaos.t.Fatalf("job %s was not cancelled", name)
		}
	case outcome.Code == classifier.OK:
		if chaos.tasks[name].fails {
			chaos.t.Fatalf("job %s completed, but always fails", name)
		}
	case outcome.Code == classifier.RepeatedFailure:
		if !chaos.tasks[name].fails && !chaos.broke {
			chaos.t.Fatalf("job %s never fails, but has %+v", name, outcome)
		}
	case outcome.Code == classifier.Infeasible:
		if chaos.fits(spec.Shape) {
			chaos.t.Fatalf("job %s with %+v fits", name, spec.Shape)
		}
	default:
		chaos.t.Fatalf("job %s ended with %+v", name, outcome)
	}
}

// fits says whether a shape fits into the unoccupied workers, which all have 8 accelerators.
func (chaos *chaos) fits(shape commander.Shape) bool {
	inRack := make(map[identifier.Rack]int)
	for _, vm := range chaos.vms {
		inRack[vm.Rack]++
	}
	most := 0
	for _, count := range inRack {
		most = max(most, count)
	}
	if shape.Adjacency == commander.AnyRack {
		most = len(chaos.vms)
	}
	return shape.Accelerators <= 8 && shape.Members <= most
}
