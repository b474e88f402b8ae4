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

func (w *world) key(number int) identifier.Key {
	var key uuid.UUID
	milliseconds := uint64(w.now.UnixMilli())
	for index := range 6 {
		key[index] = byte(milliseconds >> (40 - 8*index))
	}
	key[6], key[8] = 0x70, 0x80
	key[14], key[15] = byte(number>>8), byte(number)
	return identifier.Key(key.String())
}

// begin issues one operation. A caller with a key repeats it through another
// node if the connection breaks or the outcome is not known; a caller that
// leaves does not wait.
func (w *world) begin(number int) {
	call := commander.Call{Workspace: []identifier.Workspace{"a", "b", "c"}[w.random.IntN(3)], Service: "rota"}
	runTime := w.between(time.Millisecond, 120*time.Millisecond)
	switch w.random.IntN(5) {
	case 0:
		call.Method = "look"
	case 1:
		call.Method, runTime = "draw", w.between(500*time.Millisecond, 5*time.Second)
	case 2:
		call.Method = "swap"
		if w.chance(10) {
			runTime = 4 * time.Second
		}
	default:
		call.Method, call.Key = "swap", w.key(number)
	}
	call.Deadline = w.now.Add(w.between(50*time.Millisecond, 8*time.Second))
	w.repeat(fmt.Sprintf("op%d", number), call, runTime, 3)
}

func (w *world) repeat(op string, call commander.Call, runTime time.Duration, times int) {
	node := w.nodes[w.random.IntN(len(w.nodes))]
	if !node.up {
		w.after(time.Second, func() {
			if times > 0 {
				w.repeat(op, call, runTime, times-1)
			}
		})
		return
	}
	asked := w.issue(node, op, call, runTime)
	if w.chance(5) {
		w.after(w.between(0, time.Second), func() {
			if asked.answers == 0 && !node.paused {
				asked.leftSelf = true
				w.step(node, messenger.CallerDisconnected{Request: asked.request})
			}
		})
	}
	if call.Key == "" || times == 0 {
		return
	}
	w.after(w.between(10*time.Millisecond, 3*time.Second), func() {
		lost := asked.answers == 0 || (asked.err != nil && asked.err.Code.Execution() == classifier.Unknown)
		if lost || w.chance(20) {
			call.Deadline = w.now.Add(2 * time.Second)
			w.repeat(op, call, runTime, times-1)
		}
	})
}

// disturb applies one random fault.
func (w *world) disturb() {
	node, minion := w.nodes[w.random.IntN(len(w.nodes))], w.minions[w.random.IntN(len(w.minions))]
	switch w.random.IntN(8) {
	case 0:
		if node.up {
			w.kill(node)
			w.after(w.between(time.Second, 8*time.Second), func() { w.restart(node) })
		}
	case 1:
		if node.up && !node.paused {
			node.paused = true
			life := node.identity.Incarnation
			w.after(w.between(time.Second, 6*time.Second), func() { w.resume(node, life) })
		}
	case 2:
		minion.dead = true
		w.after(w.between(time.Second, 5*time.Second), func() { minion.dead = false })
	case 3:
		minion.silent = true
		w.after(w.between(time.Second, 5*time.Second), func() { minion.silent = false })
	case 4:
		minion.leaving = true
		w.after(w.between(500*time.Millisecond, 4*time.Second), func() {
			minion.vm.Leaving = true
			for _, other := range w.nodes {
				w.after(w.between(0, 2*time.Second), func() { w.showVMs(other) })
			}
		})
	case 5:
		// The views of the members differ between nodes.
		hidden := w.nodes[w.random.IntN(len(w.nodes))]
		if hidden == node {
			return
		}
		node.hidden[hidden.identity.Node] = true
		w.showMembers(node)
		w.after(w.between(time.Second, 6*time.Second), func() {
			delete(node.hidden, hidden.identity.Node)
			w.showMembers(node)
		})
	case 6:
		w.logDown = true
		w.after(w.between(time.Second, 4*time.Second), func() { w.logDown = false })
	case 7:
		w.drain(node)
	}
}

func (w *world) resume(node *simNode, life identifier.Incarnation) {
	if node.identity.Incarnation != life {
		return
	}
	node.paused = false
	held := node.held
	node.held = nil
	for _, event := range held {
		w.step(node, event)
	}
}

func (w *world) drain(node *simNode) {
	if !node.up || node.paused || node.state != messenger.Alive {
		return
	}
	node.state = messenger.Departing
	w.step(node, messenger.DrainArrived{})
	for _, other := range w.nodes {
		w.after(w.between(0, 2*time.Second), func() { w.showMembers(other) })
	}
}

// TestPromises guards against a second run, a false "not run", a missing,
// second or foreign answer, dispatch above the slots, past the deadline or to a
// leaving minion, under all faults at once.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
		w := newWorld(rapid.Uint64().Draw(t, "seed"), faults{
			lost: percent("lost", 10), duplicated: percent("duplicated", 20), unsent: percent("unsent", 10),
			stale: percent("stale", 20), forget: percent("forget", 5), appendFails: percent("append-fails", 20),
		}, rapid.IntRange(1, 6).Draw(t, "nodes"), rapid.IntRange(1, 8).Draw(t, "minions"), twoRegions, nil)
		w.run(epoch.Add(time.Second))
		for number := range rapid.IntRange(1, 250).Draw(t, "operations") {
			w.after(w.between(0, 12*time.Second), func() { w.begin(number) })
		}
		for range rapid.IntRange(0, 12).Draw(t, "disturbances") {
			w.after(w.between(0, 12*time.Second), w.disturb)
		}
		w.run(epoch.Add(2 * time.Minute))
		w.check()
		if len(w.failures) > 0 {
			t.Fatalf("%d failures:\n%s", len(w.failures), strings.Join(w.failures[:min(10, len(w.failures))], "\n"))
		}
	})
}

// TestKillBetweenSteps guards against a promise that holds only if a node does
// not die between two particular steps.
func TestKillBetweenSteps(t *testing.T) {
	for killAt := 0; ; killAt++ {
		w := newWorld(20261204, faults{lost: 2, duplicated: 10}, 3, 3, twoRegions[:1], nil)
		w.run(epoch.Add(time.Second))
		w.killAt = w.steps + 1 + killAt
		for number := range 12 {
			w.after(w.between(0, 300*time.Millisecond), func() { w.begin(number) })
		}
		w.run(epoch.Add(time.Minute))
		w.check()
		if len(w.failures) > 0 {
			t.Fatalf("kill at step %d: %s", killAt, strings.Join(w.failures, "\n"))
		}
		if killAt > 400 || w.steps < w.killAt {
			return
		}
	}
}
