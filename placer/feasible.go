package placer

import (
	"corianderroad/commander"
)

// Feasible says whether the shape would fit if every worker were unoccupied
// and usable.
func (fleet *Fleet) Feasible(shape commander.Shape) bool {
	all := 0
	for _, rack := range fleet.racks {
		fitting := 0
		for i := rack.from; i < rack.to; i++ {
			if fleet.slots[i].Accelerators >= shape.Accelerators {
				fitting++
			}
		}
		if shape.Adjacency == commander.SameRack && fitting >= shape.Members {
			return true
		}
		all += fitting
	}
	return shape.Adjacency != commander.SameRack && all >= shape.Members
}
