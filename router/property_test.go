package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

var twoRegions = []identifier.Region{"gulf", "hill"}

// newKey returns a UUIDv7 of the current virtual time.
func (simulation *simulation) newKey(number int) identifier.Key {
	var key uuid.UUID
	milliseconds := uint64(simulation.now.UnixMilli())
	for index := range 6 {
		key[index] = byte(milliseconds >> (40 - 8*index))
	}
	key[6], key[8] = 0x70, 0x80
	key[14], key[15] = byte(number>>8), byte(number)
	return identifier.Key(key.String())
}

// beginOperation issues one random operation. A caller with a key repeats it through
// another node if the connection breaks or the outcome is unknown. Some callers
// disconnect without waiting for the answer.
func (simulation *simulation) beginOperation(number int) {
	call := commander.Call{Workspace: []identifier.Workspace{"a", "b", "c"}[simulation.random.IntN(3)], Service: "rota"}
	runTime := simulation.randomDuration(time.Millisecond, 120*time.Millisecond)
	switch simulation.random.IntN(5) {
	case 0:
		call.Method = "look"
	case 1:
		call.Method, runTime = "draw", simulation.randomDuration(500*time.Millisecond, 5*time.Second)
	case 2:
		call.Method = "swap"
		if simulation.chance(10) {
			runTime = 4 * time.Second
		}
	default:
		call.Method, call.Key = "swap", simulation.newKey(number)
	}
	call.Deadline = simulation.now.Add(simulation.randomDuration(50*time.Millisecond, 8*time.Second))
	simulation.issueWithRepeats(fmt.Sprintf("op%d", number), call, runTime, 3)
}

func (simulation *simulation) issueWithRepeats(operation string, call commander.Call, runTime time.Duration, times int) {
	node := simulation.nodes[simulation.random.IntN(len(simulation.nodes))]
	if !node.up {
		simulation.after(time.Second, func() {
			if times > 0 {
				simulation.issueWithRepeats(operation, call, runTime, times-1)
			}
		})
		return
	}
	request := simulation.issue(node, operation, call, runTime)
	if simulation.chance(5) {
		simulation.after(simulation.randomDuration(0, time.Second), func() {
			if request.answers == 0 && !node.paused {
				request.disconnected = true
				simulation.step(node, messenger.CallerDisconnected{Request: request.id})
			}
		})
	}
	if call.Key == "" || times == 0 {
		return
	}
	simulation.after(simulation.randomDuration(10*time.Millisecond, 3*time.Second), func() {
		lost := request.answers == 0 || (request.err != nil && request.err.Code.Execution() == classifier.Unknown)
		if lost || simulation.chance(20) {
			call.Deadline = simulation.now.Add(2 * time.Second)
			simulation.issueWithRepeats(operation, call, runTime, times-1)
		}
	})
}

// injectFault applies one random fault.
func (simulation *simulation) injectFault() {
	node, minion := simulation.nodes[simulation.random.IntN(len(simulation.nodes))], simulation.minions[simulation.random.IntN(len(simulation.minions))]
	switch simulation.random.IntN(9) {
	case 0:
		if node.up {
			simulation.kill(node)
			simulation.after(simulation.randomDuration(time.Second, 8*time.Second), func() { simulation.restart(node) })
		}
	case 1:
		if node.up && !node.paused {
			node.paused = true
			incarnation := node.identity.Incarnation
			simulation.after(simulation.randomDuration(time.Second, 6*time.Second), func() { simulation.resume(node, incarnation) })
		}
	case 2:
		minion.dead = true
		simulation.after(simulation.randomDuration(time.Second, 5*time.Second), func() { minion.dead = false })
	case 3:
		minion.unresponsive = true
		simulation.after(simulation.randomDuration(time.Second, 5*time.Second), func() { minion.unresponsive = false })
	case 4:
		minion.leaving = true
		simulation.after(simulation.randomDuration(500*time.Millisecond, 4*time.Second), func() {
			minion.vm.Leaving = true
			for _, other := range simulation.nodes {
				simulation.after(simulation.randomDuration(0, 2*time.Second), func() { simulation.sendVMs(other) })
			}
		})
	case 5:
		// The nodes' views of the members differ for a while.
		hidden := simulation.nodes[simulation.random.IntN(len(simulation.nodes))]
		if hidden == node {
			return
		}
		node.hiddenNodes[hidden.identity.Node] = true
		simulation.sendMembers(node)
		simulation.after(simulation.randomDuration(time.Second, 6*time.Second), func() {
			delete(node.hiddenNodes, hidden.identity.Node)
			simulation.sendMembers(node)
		})
	case 6:
		simulation.logUnavailable = true
		simulation.after(simulation.randomDuration(time.Second, 4*time.Second), func() { simulation.logUnavailable = false })
	case 7:
		simulation.drain(node)
	case 8:
		simulation.shortenList(node)
	}
}

// shortenList lets the VM lists of a node lack some live minions for a while, also the
// first list after a restart.
func (simulation *simulation) shortenList(node *simNode) {
	node.hiddenMinions = map[string]bool{}
	for _, minion := range simulation.minions {
		node.hiddenMinions[minion.vm.Name] = simulation.chance(50)
	}
	if node.up {
		simulation.sendVMs(node)
	}
	simulation.after(simulation.randomDuration(100*time.Millisecond, 6*time.Second), func() {
		node.hiddenMinions = nil
		if node.up {
			simulation.sendVMs(node)
		}
	})
}

func (simulation *simulation) resume(node *simNode, incarnation identifier.Incarnation) {
	if node.identity.Incarnation != incarnation {
		return
	}
	node.paused = false
	events := node.heldEvents
	node.heldEvents = nil
	for _, event := range events {
		simulation.step(node, event)
	}
}

func (simulation *simulation) drain(node *simNode) {
	if !node.up || node.paused || node.state != messenger.Alive {
		return
	}
	node.state = messenger.Departing
	simulation.step(node, messenger.DrainArrived{})
	for _, other := range simulation.nodes {
		simulation.after(simulation.randomDuration(0, 2*time.Second), func() { simulation.sendMembers(other) })
	}
}

// TestRouterInvariants guards against a request that runs twice, a request that ran
// but is refused as not run, an answer that is missing, duplicated or of another
// request, and dispatch beyond the slots, past the deadline or to a leaving minion,
// while all kinds of faults occur.
func TestRouterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
		simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), faults{
			lost: percent("lost", 10), duplicated: percent("duplicated", 20), unsent: percent("unsent", 10),
			stale: percent("stale", 20), dropResult: percent("forget", 5), appendFails: percent("append-fails", 20),
		}, rapid.IntRange(1, 6).Draw(t, "nodes"), rapid.IntRange(1, 8).Draw(t, "minions"), twoRegions, nil)
		simulation.runUntil(epoch.Add(time.Second))
		for number := range rapid.IntRange(1, 250).Draw(t, "operations") {
			simulation.after(simulation.randomDuration(0, 12*time.Second), func() { simulation.beginOperation(number) })
		}
		for range rapid.IntRange(0, 12).Draw(t, "disturbances") {
			simulation.after(simulation.randomDuration(0, 12*time.Second), simulation.injectFault)
		}
		simulation.runUntil(epoch.Add(2 * time.Minute))
		simulation.checkInvariants()
		if len(simulation.failures) > 0 {
			t.Fatalf("%d failures:\n%s", len(simulation.failures), strings.Join(simulation.failures[:min(10, len(simulation.failures))], "\n"))
		}
	})
}

// TestKillBetweenSteps guards against an invariant that is violated if a node dies
// between two particular steps.
func TestKillBetweenSteps(t *testing.T) {
	for killAt := 0; ; killAt++ {
		simulation := newSimulation(20261204, faults{lost: 2, duplicated: 10}, 3, 3, twoRegions[:1], nil)
		simulation.runUntil(epoch.Add(time.Second))
		simulation.killAt = simulation.steps + 1 + killAt
		for number := range 12 {
			simulation.after(simulation.randomDuration(0, 300*time.Millisecond), func() { simulation.beginOperation(number) })
		}
		simulation.runUntil(epoch.Add(time.Minute))
		simulation.checkInvariants()
		if len(simulation.failures) > 0 {
			t.Fatalf("kill at step %d: %s", killAt, strings.Join(simulation.failures, "\n"))
		}
		if killAt > 400 || simulation.steps < simulation.killAt {
			return
		}
	}
}
