package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

const (
	// lastFaultEnd is when the last fault that was drawn has ended by itself.
	lastFaultEnd = 24 * time.Second
	// recoveryTime bounds the time until every minion that answers is in use again:
	// the longest quarantine, a query of a departing minion and the restart of nodes.
	recoveryTime = maxQuarantine + leavingInterval + 10*time.Second
)

// sendVMsToAll delivers the VM list to every node.
func (simulation *simulation) sendVMsToAll() {
	for _, node := range simulation.nodes {
		simulation.after(simulation.randomDuration(0, time.Second), func() { simulation.sendVMs(node) })
	}
}

// excludeMinion excludes a random minion from new requests: its process is replaced
// in place, the VM list does not contain it for a while, or shows it as leaving.
func (simulation *simulation) excludeMinion() {
	minion := simulation.minions[simulation.random.IntN(len(simulation.minions))]
	switch simulation.random.IntN(3) {
	case 0:
		minion.leaving = true
		down := simulation.randomDuration(0, 4*time.Second)
		simulation.after(down, func() { minion.dead = true })
		simulation.after(down+simulation.randomDuration(0, 8*time.Second), func() { minion.dead, minion.leaving = false, false })
	case 1:
		minion.unlisted = true
		simulation.sendVMsToAll()
		simulation.after(simulation.randomDuration(2*time.Second, 8*time.Second), func() {
			minion.unlisted = false
			simulation.sendVMsToAll()
		})
	case 2:
		minion.vm.Leaving = true
		simulation.sendVMsToAll()
		simulation.after(simulation.randomDuration(2*time.Second, 8*time.Second), func() {
			minion.vm.Leaving = false
			simulation.sendVMsToAll()
		})
	}
}

// endFaults ends all faults. It changes the VM list only for minions that are leaving
// in it.
func (simulation *simulation) endFaults() {
	simulation.faults, simulation.logUnavailable = faults{}, false
	for _, minion := range simulation.minions {
		minion.dead, minion.unresponsive, minion.leaving, minion.vm.Leaving = false, false, false, false
	}
	for _, node := range simulation.nodes {
		clear(node.hiddenNodes)
		if node.up && node.state == messenger.Departing {
			simulation.kill(node)
		}
		if !node.up {
			simulation.restart(node)
		}
	}
	for _, node := range simulation.nodes {
		simulation.sendMembers(node)
	}
	simulation.sendVMsToAll()
}

// TestEveryMinionRecovers guards against a minion that answers and gets no requests
// any more, and against requests that are refused although slots are free, after
// faults that exclude minions or nodes have ended.
func TestEveryMinionRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
		simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), faults{
			lost: percent("lost", 10), unsent: percent("unsent", 10), dropResult: percent("forget", 5),
		}, rapid.IntRange(1, 4).Draw(t, "nodes"), rapid.IntRange(1, 6).Draw(t, "minions"), twoRegions[:1], nil)
		simulation.runUntil(epoch.Add(time.Second))
		for number := range rapid.IntRange(1, 200).Draw(t, "operations") {
			simulation.after(simulation.randomDuration(0, 12*time.Second), func() { simulation.beginOperation(number) })
		}
		for range rapid.IntRange(0, 8).Draw(t, "disturbances") {
			simulation.after(simulation.randomDuration(0, 12*time.Second), simulation.injectFault)
		}
		for range rapid.IntRange(0, 8).Draw(t, "exclusions") {
			simulation.after(simulation.randomDuration(0, 12*time.Second), simulation.excludeMinion)
		}
		simulation.runUntil(epoch.Add(lastFaultEnd))
		simulation.endFaults()
		simulation.runUntil(simulation.now.Add(recoveryTime))
		simulation.checkProbes()
		if len(simulation.failures) > 0 {
			t.Fatalf("%d failures:\n%s", len(simulation.failures), strings.Join(simulation.failures[:min(10, len(simulation.failures))], "\n"))
		}
	})
}

// issueProbes issues as many requests as all minions together have slots.
func (simulation *simulation) issueProbes() []*simRequest {
	var probes []*simRequest
	for range 8 * len(simulation.minions) {
		call := commander.Call{
			Workspace: "a", Service: "rota", Method: "swap", Deadline: simulation.now.Add(8 * time.Second),
		}
		number := len(simulation.issued)
		node := simulation.nodes[number%len(simulation.nodes)]
		probes = append(probes, simulation.issue(node, fmt.Sprintf("probe%d", number), call, time.Second))
	}
	return probes
}

// checkProbes issues requests for all slots, which must all be served, and then more
// requests than the minions can serve, of which each minion must run some. A smaller
// load need not reach each minion, because entries do not share their choices.
func (simulation *simulation) checkProbes() {
	probes := simulation.issueProbes()
	simulation.runUntil(simulation.now.Add(10 * time.Second))
	for _, probe := range probes {
		if probe.answers != 1 || probe.err != nil {
			simulation.fail("%s has %d answers, the last %v", probe.operation, probe.answers, probe.err)
		}
	}
	for _, minion := range simulation.minions {
		minion.served = 0
	}
	for range 8 {
		simulation.issueProbes()
		simulation.runUntil(simulation.now.Add(500 * time.Millisecond))
	}
	for _, minion := range simulation.minions {
		if name := identifier.Minion(minion.vm.Name); minion.served == 0 {
			simulation.fail("%s, which is %s, has run no request", name, simulation.minionState(name))
		}
	}
}
