package placer

// Fragmentation returns the part of the free accelerators that do not belong
// to a wholly unoccupied worker, from 0 to 1, and the largest number of free
// accelerators in one rack.
func (fleet *Fleet) Fragmentation() (fraction float64, largest int) {
	free, whole := 0, 0
	for _, rack := range fleet.racks {
		inRack := 0
		for i := rack.from; i < rack.to; i++ {
			slot := &fleet.slots[i]
			room := max(0, slot.Accelerators-slot.used)
			if !slot.usable {
				continue
			}
			inRack += room
			if slot.used == 0 {
				whole += room
			}
		}
		free += inRack
		largest = max(largest, inRack)
	}
	if free == 0 {
		return 0, 0
	}
	return 1 - float64(whole)/float64(free), largest
}
