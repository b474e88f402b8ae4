package decider

import (
	"math/rand/v2"
	"time"

	"corianderroad/applier"
	"corianderroad/detector"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/router"
	"corianderroad/scheduler"
)

// Parameters hold the parameters of all machines. The zero value is useful.
type Parameters struct {
	Applier   applier.Parameters
	Detector  detector.Parameters
	Router    router.Parameters
	Scheduler scheduler.Parameters
}

// Machines returns the machines of one node, indexed by duty. Each that makes
// random choices gets a source of its own, derived from seed, so that the order in which
// duties run does not change what they decide.
func Machines(identity messenger.Identity, parameters Parameters, seed uint64) []Machine {
	source := func(duty Duty) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(duty))) }
	machines := make([]Machine, duties)
	machines[Application] = applier.New(identity, parameters.Applier)
	machines[Detection] = detector.New(identity, parameters.Detector, source(Detection))
	machines[Routing] = router.New(identity, parameters.Router, source(Routing))
	machines[Scheduling] = scheduler.New(identity, parameters.Scheduler)
	return machines
}

// Node is all decisions of one node in one value. It is not safe for
// concurrent use; one thread may drive any number of Nodes side by side.
type Node struct {
	machines []Machine
}

// New returns a node's decisions with the given seed.
func New(identity messenger.Identity, parameters Parameters, seed uint64) *Node {
	return &Node{machines: Machines(identity, parameters, seed)}
}

// Step delivers an event to the machines that it concerns, and their internal
// actions to one another until none is left. It returns the external actions
// in the order in which they arose.
func (node *Node) Step(now time.Time, event messenger.Event) []messenger.Action {
	if _, ok := event.(messenger.Tick); ok {
		return node.tick(now)
	}
	var external []messenger.Action
	for _, duty := range Receivers(event) {
		external = node.deliver(now, duty, event, external)
	}
	return external
}

// Next returns when the node wants a Tick, the zero time for never.
func (node *Node) Next() time.Time {
	var next time.Time
	for _, machine := range node.machines {
		at := machine.Next()
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// View returns the answers of all machines.
func (node *Node) View(now time.Time, query querier.Query) querier.Answer {
	var answer querier.Answer
	for _, machine := range node.machines {
		answer.Merge(machine.View(now, query))
	}
	return answer
}

func (node *Node) tick(now time.Time) []messenger.Action {
	var external []messenger.Action
	for _, duty := range Duties() {
		at := node.machines[duty].Next()
		if !at.IsZero() && !at.After(now) {
			external = node.deliver(now, duty, messenger.Tick{}, external)
		}
	}
	return external
}

type delivery struct {
	duty  Duty
	event messenger.Event
}

func (node *Node) deliver(now time.Time, duty Duty, event messenger.Event, external []messenger.Action) []messenger.Action {
	pending := []delivery{{duty, event}}
	for len(pending) > 0 {
		first := pending[0]
		pending = pending[1:]
		for _, action := range node.machines[first.duty].Step(now, first.event) {
			receivers := Internal(action)
			if len(receivers) == 0 {
				external = append(external, action)
				continue
			}
			for _, receiver := range receivers {
				pending = append(pending, delivery{receiver, action.(messenger.Event)})
			}
		}
	}
	return external
}
