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

// Parameters hold the parameters of all state machines. The zero value selects the
// defaults.
type Parameters struct {
	Applier   applier.Parameters
	Detector  detector.Parameters
	Router    router.Parameters
	Scheduler scheduler.Parameters
}

// NewStateMachines returns the state machines of one node, indexed by duty. Each
// state machine that makes random choices has a separate source, derived from
// seed, so that the order in which the duties run does not change their
// decisions.
func NewStateMachines(identity messenger.Identity, parameters Parameters, seed uint64) []StateMachine {
	source := func(duty Duty) *rand.Rand { return rand.New(rand.NewPCG(seed, uint64(duty))) }
	stateMachines := make([]StateMachine, dutyCount)
	stateMachines[Application] = applier.New(identity, parameters.Applier)
	stateMachines[Detection] = detector.New(identity, parameters.Detector, source(Detection))
	stateMachines[Routing] = router.New(identity, parameters.Router, source(Routing))
	stateMachines[Scheduling] = scheduler.New(identity, parameters.Scheduler)
	return stateMachines
}

// Node runs all state machines of one node. It is not safe for concurrent use, but
// one thread may drive any number of Nodes.
type Node struct {
	stateMachines []StateMachine
}

// New returns a Node whose random choices are derived from seed.
func New(identity messenger.Identity, parameters Parameters, seed uint64) *Node {
	return &Node{stateMachines: NewStateMachines(identity, parameters, seed)}
}

// Step delivers an event to its receivers, and delivers their internal actions
// until none is left. It returns the external actions in the order in which they
// were emitted.
func (node *Node) Step(now time.Time, event messenger.Event) []messenger.Action {
	if _, ok := event.(messenger.Tick); ok {
		return node.tick(now)
	}
	var external []messenger.Action
	for _, duty := range EventReceivers(event) {
		external = node.deliver(now, duty, event, external)
	}
	return external
}

// Next returns when the node needs its next Tick, or the zero time if it needs none.
func (node *Node) Next() time.Time {
	var next time.Time
	for _, stateMachine := range node.stateMachines {
		at := stateMachine.Next()
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// View returns the merged answers of all state machines.
func (node *Node) View(now time.Time, query querier.Query) querier.Answer {
	var answer querier.Answer
	for _, stateMachine := range node.stateMachines {
		answer.Merge(stateMachine.View(now, query))
	}
	return answer
}

func (node *Node) tick(now time.Time) []messenger.Action {
	var external []messenger.Action
	for _, duty := range Duties() {
		at := node.stateMachines[duty].Next()
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
		for _, action := range node.stateMachines[first.duty].Step(now, first.event) {
			receivers := InternalReceivers(action)
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
