// Package guarantor keeps the guaranteed shapes of all workspaces reclaimable
// together. It holds a packing of every shape on the workers of a region: a
// witness that the shapes fit at the same time beside the work that may not be
// stopped for them. A packing is found by best fit, so that the answer "it
// fits" is always right, and "it does not fit" may be wrong.
package guarantor

import (
	"cmp"
	"slices"

	"corianderroad/commander"
	"corianderroad/identifier"
)

// Worker is a worker as it enters a Ledger.
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

// Use is work of a workspace that only the workspace itself may stop: it stands
// for a part of the workspace's guarantee.
type Use struct {
	Workspace    identifier.Workspace
	Workers      []identifier.Worker
	Accelerators int
}

// cell is what one workspace has on one worker.
type cell struct {
	claimed int
	used    int
}

type slot struct {
	Worker
	// load is the sum over all workspaces of the larger of claimed and used:
	// a workspace's own work stands on its own claim.
	load  int
	cells map[identifier.Workspace]cell
}

type span struct{ from, to int }

type packed struct {
	Claim
	// slots are the workers of the shape, empty if it could not be packed.
	slots []int
}

// Ledger is the packing of a region. It is not safe for concurrent use.
type Ledger struct {
	slots  []slot
	racks  []span
	index  map[identifier.Worker]int
	claims []packed
}

// New returns a Ledger in which as many of the claims as possible are packed
// beside the uses. Workers that cannot be counted on have no accelerators.
func New(workers []Worker, claims []Claim, uses []Use) *Ledger {
	sorted := slices.Clone(workers)
	slices.SortFunc(sorted, func(a, b Worker) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Worker, b.Worker))
	})
	ledger := &Ledger{slots: make([]slot, len(sorted)), index: make(map[identifier.Worker]int, len(sorted))}
	for i, worker := range sorted {
		if i == 0 || worker.Rack != sorted[i-1].Rack {
			ledger.racks = append(ledger.racks, span{i, i})
		}
		ledger.racks[len(ledger.racks)-1].to = i + 1
		ledger.slots[i] = slot{Worker: worker, cells: make(map[identifier.Workspace]cell)}
		ledger.index[worker.Worker] = i
	}
	for _, use := range uses {
		ledger.use(use, 1)
	}
	for _, claim := range claims {
		ledger.claims = append(ledger.claims, packed{Claim: claim})
	}
	// Shapes that are hardest to pack come first.
	slices.SortStableFunc(ledger.claims, func(a, b packed) int {
		return cmp.Or(cmp.Compare(b.Shape.Adjacency, a.Shape.Adjacency),
			cmp.Compare(b.Shape.Accelerators, a.Shape.Accelerators), cmp.Compare(b.Shape.Members, a.Shape.Members),
			cmp.Compare(a.Workspace, b.Workspace))
	})
	ledger.packAll()
	return ledger
}

// Add counts a use if all claims that are packed can still be packed beside
// it. It changes nothing and returns false if it finds no such packing.
func (ledger *Ledger) Add(use Use) bool {
	ledger.use(use, 1)
	if ledger.repack(use) {
		return true
	}
	ledger.use(use, -1)
	return false
}

// Remove takes back a use that was added.
func (ledger *Ledger) Remove(use Use) {
	ledger.use(use, -1)
	if len(ledger.Missing()) > 0 {
		ledger.packMissing()
	}
}

// Missing returns the claims that could not be packed.
func (ledger *Ledger) Missing() []Claim {
	var missing []Claim
	for _, claim := range ledger.claims {
		if len(claim.slots) == 0 {
			missing = append(missing, claim.Claim)
		}
	}
	return missing
}

// Room returns the accelerators of a worker that are claimed for a workspace
// and not used by it.
func (ledger *Ledger) Room(workspace identifier.Workspace, worker identifier.Worker) int {
	i, ok := ledger.index[worker]
	if !ok {
		return 0
	}
	cell := ledger.slots[i].cells[workspace]
	return max(0, cell.claimed-cell.used)
}

// Packing returns the workers of each claim, nil for one that is not packed,
// together with the claims in the same order. It is the witness of the check.
func (ledger *Ledger) Packing() ([]Claim, [][]identifier.Worker) {
	claims, packing := make([]Claim, len(ledger.claims)), make([][]identifier.Worker, len(ledger.claims))
	for i, claim := range ledger.claims {
		claims[i] = claim.Claim
		for _, slot := range claim.slots {
			packing[i] = append(packing[i], ledger.slots[slot].Worker.Worker)
		}
	}
	return claims, packing
}

// change adds to what a workspace has on a worker.
func (ledger *Ledger) change(i int, workspace identifier.Workspace, claimed, used int) {
	slot := &ledger.slots[i]
	before := slot.cells[workspace]
	after := cell{before.claimed + claimed, before.used + used}
	slot.load += max(after.claimed, after.used) - max(before.claimed, before.used)
	if after == (cell{}) {
		delete(slot.cells, workspace)
		return
	}
	slot.cells[workspace] = after
}

func (ledger *Ledger) use(use Use, sign int) {
	for _, worker := range use.Workers {
		if i, ok := ledger.index[worker]; ok {
			ledger.change(i, use.Workspace, 0, sign*use.Accelerators)
		}
	}
}
