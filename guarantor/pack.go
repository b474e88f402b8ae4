package guarantor

import (
	"cmp"
	"slices"

	"corianderroad/commander"
)

// packAll packs every claim again.
func (ledger *Ledger) packAll() {
	for i := range ledger.claims {
		ledger.unpack(&ledger.claims[i])
	}
	ledger.packMissing()
}

// packMissing packs the claims that are not packed, as far as it finds a packing.
func (ledger *Ledger) packMissing() {
	for i := range ledger.claims {
		if claim := &ledger.claims[i]; len(claim.workers) == 0 {
			ledger.pack(claim)
		}
	}
}

// repack moves claims so that a use that was just counted fits, and reports
// whether it succeeded. It first moves only the claims on the overloaded workers,
// then all claims. Claims that were packed before must be packed again;
// others need not be.
func (ledger *Ledger) repack(use Use) bool {
	overloaded := make(map[int]bool)
	for _, worker := range use.Workers {
		if i, ok := ledger.index[worker]; ok && ledger.workers[i].load > ledger.workers[i].Accelerators {
			overloaded[i] = true
		}
	}
	if len(overloaded) == 0 {
		return true
	}
	before := ledger.assignment()
	for i := range ledger.claims {
		claim := &ledger.claims[i]
		if slices.ContainsFunc(claim.workers, func(index int) bool { return overloaded[index] }) {
			ledger.unpack(claim)
		}
	}
	if !ledger.isAnyOverloaded(overloaded) {
		ledger.packMissing()
		if ledger.isStillPacked(before) {
			return true
		}
		ledger.packAll()
		if ledger.isStillPacked(before) {
			return true
		}
	}
	ledger.restore(before)
	return false
}

func (ledger *Ledger) isAnyOverloaded(workers map[int]bool) bool {
	for i := range workers {
		if ledger.workers[i].load > ledger.workers[i].Accelerators {
			return true
		}
	}
	return false
}

// assignment returns the workers of each claim.
func (ledger *Ledger) assignment() [][]int {
	assignment := make([][]int, len(ledger.claims))
	for i, claim := range ledger.claims {
		assignment[i] = claim.workers
	}
	return assignment
}

// isStillPacked reports whether every claim that was packed before is packed now.
func (ledger *Ledger) isStillPacked(before [][]int) bool {
	for i, workers := range before {
		if len(workers) > 0 && len(ledger.claims[i].workers) == 0 {
			return false
		}
	}
	return true
}

func (ledger *Ledger) restore(assignment [][]int) {
	for i := range ledger.claims {
		ledger.unpack(&ledger.claims[i])
	}
	for i, workers := range assignment {
		ledger.assign(&ledger.claims[i], workers)
	}
}

func (ledger *Ledger) assign(claim *claimPacking, workers []int) {
	claim.workers = workers
	for _, worker := range workers {
		ledger.adjust(worker, claim.Workspace, claim.Shape.Accelerators, 0)
	}
}

func (ledger *Ledger) unpack(claim *claimPacking) {
	for _, worker := range claim.workers {
		ledger.adjust(worker, claim.Workspace, -claim.Shape.Accelerators, 0)
	}
	claim.workers = nil
}

// candidate is a worker that can hold one member of a claim.
type candidate struct {
	worker int // index in Ledger.workers
	// cost is what the member adds to the worker's load. It is less than the
	// member's accelerators where the workspace's own work occupies some of them.
	// remaining is what the member leaves free.
	cost, remaining int
}

// pack packs one claim where it adds the least load and, among equals, leaves the
// fewest accelerators free. The workers are in one rack, unless the shape allows
// several racks.
func (ledger *Ledger) pack(claim *claimPacking) {
	var best []candidate
	var bestCost, bestRemaining int
	ranges := ledger.racks
	if claim.Shape.Adjacency != commander.SameRack {
		ranges = []rackRange{{0, len(ledger.workers)}}
	}
	for _, rack := range ranges {
		candidates := ledger.candidates(claim, rack)
		if len(candidates) < claim.Shape.Members {
			continue
		}
		cost, remaining := 0, 0
		for i, candidate := range candidates {
			if i < claim.Shape.Members {
				cost += candidate.cost
				remaining += candidate.remaining
			} else {
				remaining += candidate.remaining + candidate.cost
			}
		}
		if best == nil || cost < bestCost || (cost == bestCost && remaining < bestRemaining) {
			best, bestCost, bestRemaining = candidates[:claim.Shape.Members], cost, remaining
		}
	}
	if best == nil {
		return
	}
	workers := make([]int, len(best))
	for i, candidate := range best {
		workers[i] = candidate.worker
	}
	ledger.assign(claim, workers)
}

func (ledger *Ledger) candidates(claim *claimPacking, rack rackRange) []candidate {
	var candidates []candidate
	for i := rack.from; i < rack.to; i++ {
		workerLoad := &ledger.workers[i]
		free := workerLoad.Accelerators - workerLoad.load
		workspaceLoad := workerLoad.workspaces[claim.Workspace]
		cost := max(workspaceLoad.claimed+claim.Shape.Accelerators, workspaceLoad.used) - max(workspaceLoad.claimed, workspaceLoad.used)
		if cost <= free && claim.Shape.Accelerators <= workerLoad.Accelerators {
			candidates = append(candidates, candidate{worker: i, cost: cost, remaining: free - cost})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.remaining, b.remaining), cmp.Compare(a.worker, b.worker))
	})
	return candidates
}
