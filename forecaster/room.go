package forecaster

import "corianderroad/specifier"

// room is the capacity for a demand as the runs end one after the other.
type room struct {
	forecaster *Forecaster
	demand     *Demand
	// free is the free capacity of each minion, and fits how many tasks of the demand fit into it.
	free []specifier.Resources
	fits []int
	// isOpen are the minions that may take tasks of the demand.
	isOpen []bool
	// byGroup is how many tasks fit on the minions of each rack, or on all of them in one group.
	byGroup []int
}

func (forecaster *Forecaster) newRoom(demand *Demand) *room {
	count := len(forecaster.minions)
	groups := 1
	if demand.IsOnOneRack {
		groups = len(forecaster.rackIndex)
	}
	return &room{
		forecaster: forecaster, demand: demand,
		free: make([]specifier.Resources, count), fits: make([]int, count), isOpen: make([]bool, count), byGroup: make([]int, groups),
	}
}

// open counts what is free now on a minion if it may take tasks of the demand. It reports whether
// all tasks fit.
func (room *room) open(minion int) bool {
	demand, free := room.demand, room.forecaster.minions[minion].Free
	if demand.IsOnOneRack && demand.Rack != "" && room.forecaster.minions[minion].Rack != demand.Rack {
		return false
	}
	if demand.CanRunOn != nil && !demand.CanRunOn(minion) {
		return false
	}
	if demand.ReservedOn != nil {
		free = free.Add(demand.ReservedOn(minion))
	}
	room.isOpen[minion] = true
	return room.update(minion, free)
}

// add adds what the end of a run frees. It reports whether all tasks fit.
func (room *room) add(run run) bool {
	return room.isOpen[run.minion] && room.update(run.minion, room.free[run.minion].Add(run.frees))
}

// update notes the free capacity of a minion. It reports whether all tasks fit.
func (room *room) update(minion int, free specifier.Resources) bool {
	group, fits := 0, 0
	if room.demand.IsOnOneRack {
		group = room.forecaster.racks[minion]
	}
	if free.Holds(specifier.Resources{}) { // otherwise more is in use than the minion has
		fits = free.Fit(room.demand.Request, room.demand.MaxPerMinion)
	}
	room.byGroup[group] += fits - room.fits[minion]
	room.free[minion], room.fits[minion] = free, fits
	return room.byGroup[group] >= room.demand.Tasks
}
