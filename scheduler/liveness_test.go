package scheduler_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/identifier"
	"corianderroad/messenger"
)

const (
	// recoveryTime bounds the time from the end of all faults until the region has a
	// holder that places. An outcome whose append was lost is appended again after
	// 2 min.
	recoveryTime = 3 * time.Minute
	// maxJobTime bounds the time that one job keeps others waiting: its run time of
	// at most 220 s, and 60 s for a preemption, a release and the next pass.
	maxJobTime = 280 * time.Second
	// maxProbeDelay bounds the start of a job on an unoccupied worker.
	maxProbeDelay = 10 * time.Second
)

// exclusion adds faults to chaos after which workers or nodes are excluded from new
// work until a particular event arrives.
type exclusion struct {
	*chaos
	listed  []messenger.VM
	drained []*node
}

func newExclusion(t *rapid.T) *exclusion {
	chaos := newChaos(t)
	// Only time ends a quarantine, after up to an hour.
	chaos.noFailures = true
	return &exclusion{chaos: chaos, listed: slices.Clone(chaos.vms)}
}

// changeList delivers a VM list in which one worker is missing, is leaving or has
// another address, or which is empty.
func (exclusion *exclusion) changeList() {
	i := rapid.IntRange(0, len(exclusion.vms)-1).Draw(exclusion.t, "changed")
	complete := slices.Clone(exclusion.vms)
	switch rapid.SampledFrom([]string{"missing", "leaving", "moved", "empty"}).Draw(exclusion.t, "change") {
	case "missing":
		exclusion.vms = slices.Delete(exclusion.vms, i, i+1)
	case "leaving":
		exclusion.vms[i].Leaving = true
	case "moved":
		port := rapid.Uint16().Draw(exclusion.t, "port")
		exclusion.vms[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
	case "empty":
		exclusion.vms = nil
	}
	exclusion.listVMs()
	exclusion.vms = complete
	// Lists arrive in the order in which they were read.
	exclusion.run(time.Second)
}

func (exclusion *exclusion) drainNode() {
	drained := rapid.SampledFrom(exclusion.nodes).Draw(exclusion.t, "drained")
	if !slices.Contains(exclusion.drained, drained) {
		exclusion.drained = append(exclusion.drained, drained)
	}
	drained.step(messenger.DrainArrived{})
	exclusion.setMembers(slices.DeleteFunc(slices.Clone(exclusion.nodes), func(node *node) bool {
		return slices.Contains(exclusion.drained, node)
	})...)
}

func (exclusion *exclusion) performExclusion() {
	switch rapid.SampledFrom([]string{"list", "list", "list", "drain", "claim", "other", "other", "other", "other"}).Draw(exclusion.t, "exclusion") {
	case "list":
		exclusion.changeList()
	case "drain":
		exclusion.drainNode()
	case "claim":
		exclusion.claimElsewhere()
	case "other":
		exclusion.performRandomAction()
	}
	exclusion.run(time.Duration(rapid.IntRange(0, 5000).Draw(exclusion.t, "pause")) * time.Millisecond)
}

// endAll ends all faults and waits until the region has a holder.
func (exclusion *exclusion) endAll() {
	exclusion.logUnavailable, exclusion.requestLossRate, exclusion.answerLossRate, exclusion.maxTransit = false, 0, 0, 5*time.Millisecond
	for _, worker := range exclusion.workers {
		if !worker.up {
			worker.restart()
		}
	}
	for _, node := range exclusion.drained {
		node.reboot()
	}
	exclusion.vms = exclusion.listed
	exclusion.listVMs()
	exclusion.run(time.Minute)
	exclusion.setMembers(exclusion.nodes...)
	exclusion.run(recoveryTime)
}

// TestEveryWorkerAndJobRecovers guards against a worker that answers and gets no work
// any more, and against an accepted job that fits and is not started, after faults
// that exclude workers or nodes have ended.
func TestEveryWorkerAndJobRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		exclusion := newExclusion(t)
		for range rapid.IntRange(1, 25).Draw(t, "acts") {
			exclusion.performExclusion()
		}
		exclusion.endAll()
		exclusion.run(time.Duration(len(exclusion.specs)) * maxJobTime)
		for name, spec := range exclusion.specs {
			exclusion.checkOutcome(name, spec)
		}
		for i := range exclusion.vms {
			exclusion.submitSingle(identifier.Job(fmt.Sprintf("probe%d", i)), time.Hour)
		}
		exclusion.run(maxProbeDelay)
		for name, worker := range exclusion.workers {
			if len(worker.tasks) != 1 || worker.tasks[0].State != messenger.Running {
				t.Fatalf("worker %s has tasks %v %s after jobs for all workers were accepted", name, worker.tasks, maxProbeDelay)
			}
		}
	})
}
