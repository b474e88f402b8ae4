package guarantor

import (
	"cmp"
	"slices"

	"corianderroad/commander"
)

// packAll packs every claim anew.
func (ledger *Ledger) packAll() {
	for i := range ledger.claims {
		ledger.unpack(&ledger.claims[i])
	}
	ledger.packMissing()
}

func (ledger *Ledger) packMissing() {
	for i := range ledger.claims {
		if claim := &ledger.claims[i]; len(claim.slots) == 0 {
			ledger.pack(claim)
		}
	}
}

// repack makes room for a use that was just counted. It moves the claims on
// the overloaded workers, then all claims. Claims that were not packed before
// do not have to be packed afterwards.
func (ledger *Ledger) repack(use Use) bool {
	overloaded := make(map[int]bool)
	for _, worker := range use.Workers {
		if i, ok := ledger.index[worker]; ok && ledger.slots[i].load > ledger.slots[i].Accelerators {
			overloaded[i] = true
		}
	}
	if len(overloaded) == 0 {
		return true
	}
	before := ledger.assignment()
	for i := range ledger.claims {
		claim := &ledger.claims[i]
		if slices.ContainsFunc(claim.slots, func(slot int) bool { return overloaded[slot] }) {
			ledger.unpack(claim)
		}
	}
	if !ledger.anyOver(overloaded) {
		ledger.packMissing()
		if ledger.asGood(before) {
			return true
		}
		ledger.packAll()
		if ledger.asGood(before) {
			return true
		}
	}
	ledger.restore(before)
	return false
}

func (ledger *Ledger) anyOver(slots map[int]bool) bool {
	for i := range slots {
		if ledger.slots[i].load > ledger.slots[i].Accelerators {
			return true
		}
	}
	return false
}

func (ledger *Ledger) assignment() [][]int {
	assignment := make([][]int, len(ledger.claims))
	for i, claim := range ledger.claims {
		assignment[i] = claim.slots
	}
	return assignment
}

func (ledger *Ledger) asGood(before [][]int) bool {
	for i, slots := range before {
		if len(slots) > 0 && len(ledger.claims[i].slots) == 0 {
			return false
		}
	}
	return true
}

func (ledger *Ledger) restore(assignment [][]int) {
	for i := range ledger.claims {
		ledger.unpack(&ledger.claims[i])
	}
	for i, slots := range assignment {
		ledger.assign(&ledger.claims[i], slots)
	}
}

func (ledger *Ledger) assign(claim *packed, slots []int) {
	claim.slots = slots
	for _, slot := range slots {
		ledger.change(slot, claim.Workspace, claim.Shape.Accelerators, 0)
	}
}

func (ledger *Ledger) unpack(claim *packed) {
	for _, slot := range claim.slots {
		ledger.change(slot, claim.Workspace, -claim.Shape.Accelerators, 0)
	}
	claim.slots = nil
}

// candidate is a worker that can take one member of a claim.
type candidate struct {
	slot int
	// cost is what the member adds to the load, less than its accelerators where
	// the workspace's own work stands. left is what remains of the worker.
	cost, left int
}

// pack packs one claim in the rack, or on the workers, where it adds the least
// load and leaves the least behind.
func (ledger *Ledger) pack(claim *packed) {
	var best []candidate
	var bestCost, bestLeft int
	ranges := ledger.racks
	if claim.Shape.Adjacency != commander.SameRack {
		ranges = []span{{0, len(ledger.slots)}}
	}
	for _, rack := range ranges {
		candidates := ledger.candidates(claim, rack)
		if len(candidates) < claim.Shape.Members {
			continue
		}
		cost, left := 0, 0
		for i, candidate := range candidates {
			if i < claim.Shape.Members {
				cost += candidate.cost
				left += candidate.left
			} else {
				left += candidate.left + candidate.cost
			}
		}
		if best == nil || cost < bestCost || (cost == bestCost && left < bestLeft) {
			best, bestCost, bestLeft = candidates[:claim.Shape.Members], cost, left
		}
	}
	if best == nil {
		return
	}
	slots := make([]int, len(best))
	for i, candidate := range best {
		slots[i] = candidate.slot
	}
	ledger.assign(claim, slots)
}

func (ledger *Ledger) candidates(claim *packed, rack span) []candidate {
	var candidates []candidate
	for i := rack.from; i < rack.to; i++ {
		slot := &ledger.slots[i]
		free := slot.Accelerators - slot.load
		cell := slot.cells[claim.Workspace]
		cost := max(cell.claimed+claim.Shape.Accelerators, cell.used) - max(cell.claimed, cell.used)
		if cost <= free && claim.Shape.Accelerators <= slot.Accelerators {
			candidates = append(candidates, candidate{slot: i, cost: cost, left: free - cost})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.left, b.left), cmp.Compare(a.slot, b.slot))
	})
	return candidates
}
