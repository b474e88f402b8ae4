package placer

// Fragmentation returns the fraction of the free accelerators whose worker is
// partly occupied, from 0 to 1, and the largest number of free accelerators in
// one rack.
func (fleet *Fleet) Fragmentation() (fraction float64, largest int) {
	free, onEmptyWorkers := 0, 0
	for _, rack := range fleet.racks {
		inRack := 0
		for i := rack.from; i < rack.to; i++ {
			occupancy := &fleet.workers[i]
			unoccupied := max(0, occupancy.Accelerators-occupancy.used)
			if !occupancy.usable {
				continue
			}
			inRack += unoccupied
			if occupancy.used == 0 {
				onEmptyWorkers += unoccupied
			}
		}
		free += inRack
		largest = max(largest, inRack)
	}
	if free == 0 {
		return 0, 0
	}
	return 1 - float64(onEmptyWorkers)/float64(free), largest
}
