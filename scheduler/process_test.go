package scheduler_test

import (
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/scheduler"
)

// newVMsListed returns the VM list as this node receives it now.
func (node *node) newVMsListed() messenger.VMsListed {
	listed := slices.DeleteFunc(slices.Clone(node.simulation.vms), func(vm messenger.VM) bool { return node.unlisted[vm.Name] })
	return messenger.VMsListed{At: node.simulation.now, VMs: listed}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// pause pauses the node's process; its events are delivered afterwards.
func (node *node) pause(duration time.Duration) {
	node.pausedUntil = node.simulation.now.Add(duration)
	node.simulation.after(duration, func() {
		events := node.inbox
		node.inbox = nil
		for _, event := range events {
			node.step(event)
		}
	})
}

// reboot replaces the node's process by a new one, which applies the log from the
// start.
func (node *node) reboot() {
	simulation := node.simulation
	node.identity.Incarnation++
	node.scheduler = scheduler.New(node.identity, scheduler.Parameters{})
	node.caughtUp = false
	node.applied, node.pausedUntil, node.inbox, node.nextTick = 0, time.Time{}, nil, time.Time{}
	node.claim, node.term = messenger.RegionClaim{}, 0
	node.applyLog(identifier.Offset(len(simulation.log)))
	node.step(node.newVMsListed())
	simulation.after(node.configurationDelay, func() {
		node.step(messenger.ConfigurationChanged{Configuration: simulation.configuration})
	})
	simulation.setMembers(simulation.nodes...)
}
