// Package guarantor ensures that the guaranteed shapes of all workspaces can be
// reclaimed at the same time. It maintains a packing of every shape on the
// workers of a region, which proves that the shapes fit together beside the work
// that must not be stopped for them. Packings are searched for by best fit, so
// the answer "it fits" is always right, and "it does not fit" may be wrong.
package guarantor

import (
	"cmp"
	"slices"

	"corianderroad/commander"
	"corianderroad/identifier"
)

// Worker describes a worker of a Ledger.
type Worker struct {
	Worker       identifier.Worker
	Rack         identifier.Rack
	Accelerators int
}

// Claim is one guaranteed shape of a workspace.
type Claim struct {
	Workspace identifier.Workspace
	Shape     commander.Shape
}

// Use is work of a workspace that only the workspace itself may stop. It counts
// as a part of the workspace's guarantee.
type Use struct {
	Workspace    identifier.Workspace
	Workers      []identifier.Worker
	Accelerators int
}

// workspaceLoad counts the accelerators that one workspace claims and uses on one
// worker.
type workspaceLoad struct {
	claimed int
	used    int
}

// workerLoad is the load of all workspaces on one worker.
type workerLoad struct {
	Worker
	// load is the sum over all workspaces of the larger of claimed and used,
	// because a workspace's own work occupies the workspace's own claim.
	load       int
	workspaces map[identifier.Workspace]workspaceLoad
}

// rackRange is the half-open range of the workers of one rack.
type rackRange struct{ from, to int }

// claimPacking is a claim with its place in the packing.
type claimPacking struct {
	Claim
	// workers holds the indices of the shape's workers, empty if the claim could
	// not be packed.
	workers []int
}

// Ledger is the packing of a region. It is not safe for concurrent use.
type Ledger struct {
	workers []workerLoad
	racks   []rackRange
	index   map[identifier.Worker]int
	claims  []claimPacking
}

// New returns a Ledger in which the claims are packed beside the uses as far as
// best fit finds a packing. The caller passes workers that are not usable with
// no accelerators.
func New(workers []Worker, claims []Claim, uses []Use) *Ledger {
	sorted := slices.Clone(workers)
	slices.SortFunc(sorted, func(a, b Worker) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Worker, b.Worker))
	})
	ledger := &Ledger{workers: make([]workerLoad, len(sorted)), index: make(map[identifier.Worker]int, len(sorted))}
	for i, worker := range sorted {
		if i == 0 || worker.Rack != sorted[i-1].Rack {
			ledger.racks = append(ledger.racks, rackRange{i, i})
		}
		ledger.racks[len(ledger.racks)-1].to = i + 1
		ledger.workers[i] = workerLoad{Worker: worker, workspaces: make(map[identifier.Workspace]workspaceLoad)}
		ledger.index[worker.Worker] = i
	}
	for _, use := range uses {
		ledger.countUse(use, 1)
	}
	for _, claim := range claims {
		ledger.claims = append(ledger.claims, claimPacking{Claim: claim})
	}
	// The shapes that are hardest to pack come first.
	slices.SortStableFunc(ledger.claims, func(a, b claimPacking) int {
		return cmp.Or(cmp.Compare(b.Shape.Adjacency, a.Shape.Adjacency),
			cmp.Compare(b.Shape.Accelerators, a.Shape.Accelerators), cmp.Compare(b.Shape.Members, a.Shape.Members),
			cmp.Compare(a.Workspace, b.Workspace))
	})
	ledger.packAll()
	return ledger
}

// Add adds a use and returns true if it finds a packing beside the use for all claims
// that are packed now. Otherwise it changes nothing and returns false.
func (ledger *Ledger) Add(use Use) bool {
	ledger.countUse(use, 1)
	if ledger.repack(use) {
		return true
	}
	ledger.countUse(use, -1)
	return false
}

// Remove removes a use that was added, and tries to pack the missing claims.
func (ledger *Ledger) Remove(use Use) {
	ledger.countUse(use, -1)
	if len(ledger.Missing()) > 0 {
		ledger.packMissing()
	}
}

// Missing returns the claims that could not be packed.
func (ledger *Ledger) Missing() []Claim {
	var missing []Claim
	for _, claim := range ledger.claims {
		if len(claim.workers) == 0 {
			missing = append(missing, claim.Claim)
		}
	}
	return missing
}

// UnusedClaim returns the accelerators of a worker that are claimed for a
// workspace and not used by it.
func (ledger *Ledger) UnusedClaim(workspace identifier.Workspace, worker identifier.Worker) int {
	i, ok := ledger.index[worker]
	if !ok {
		return 0
	}
	workspaceLoad := ledger.workers[i].workspaces[workspace]
	return max(0, workspaceLoad.claimed-workspaceLoad.used)
}

// Packing returns the claims and, in the same order, the workers of each claim,
// nil for a claim that is not packed. It proves that the packed claims fit.
func (ledger *Ledger) Packing() ([]Claim, [][]identifier.Worker) {
	claims, packing := make([]Claim, len(ledger.claims)), make([][]identifier.Worker, len(ledger.claims))
	for i, claim := range ledger.claims {
		claims[i] = claim.Claim
		for _, index := range claim.workers {
			packing[i] = append(packing[i], ledger.workers[index].Worker.Worker)
		}
	}
	return claims, packing
}

// adjust adds to the accelerators that a workspace claims and uses on a worker.
func (ledger *Ledger) adjust(i int, workspace identifier.Workspace, claimed, used int) {
	workerLoad := &ledger.workers[i]
	before := workerLoad.workspaces[workspace]
	after := workspaceLoad{before.claimed + claimed, before.used + used}
	workerLoad.load += max(after.claimed, after.used) - max(before.claimed, before.used)
	if after == (workspaceLoad{}) {
		delete(workerLoad.workspaces, workspace)
		return
	}
	workerLoad.workspaces[workspace] = after
}

// countUse adds a use to the loads of its workers, or subtracts it if sign is -1.
func (ledger *Ledger) countUse(use Use, sign int) {
	for _, worker := range use.Workers {
		if i, ok := ledger.index[worker]; ok {
			ledger.adjust(i, use.Workspace, 0, sign*use.Accelerators)
		}
	}
}
