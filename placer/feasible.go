package placer

import (
	"corianderroad/commander"
)

// IsFeasible reports whether the shape would fit if every worker were unoccupied
// and usable.
func (fleet *Fleet) IsFeasible(shape commander.Shape) bool {
	total := 0
	for _, rack := range fleet.racks {
		inRack := 0
		for i := rack.from; i < rack.to; i++ {
			if fleet.workers[i].Accelerators >= shape.Accelerators {
				inRack++
			}
		}
		if shape.Adjacency == commander.SameRack && inRack >= shape.Members {
			return true
		}
		total += inRack
	}
	return shape.Adjacency != commander.SameRack && total >= shape.Members
}
