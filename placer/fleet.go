// Package placer chooses the workers of a gang. It tracks the occupancy of the
// workers of one region and places by best fit, so that large free blocks are
// left for large gangs.
package placer

import (
	"cmp"
	"slices"

	"corianderroad/identifier"
)

// maxTasksPerWorker bounds gangs that use no accelerators. With 17,000 tasks on
// 4,500 workers, the average is 4.
const maxTasksPerWorker = 32

// Worker describes a worker of a Fleet.
type Worker struct {
	Worker       identifier.Worker
	Rack         identifier.Rack
	Accelerators int
}

// occupancy counts the used and reserved accelerators of one worker.
type occupancy struct {
	Worker
	rack     int
	used     int
	reserved int
	tasks    int
	usable   bool
}

// available returns the accelerators that a gang may occupy now, or -1 if the
// worker can't be chosen.
func (occupancy *occupancy) available() int {
	if !occupancy.usable || occupancy.tasks >= maxTasksPerWorker {
		return -1
	}
	return max(0, occupancy.Accelerators-occupancy.used-occupancy.reserved)
}

// rackRange is the half-open range of the workers of one rack.
type rackRange struct{ from, to int }

// Fleet is the occupancy of the workers of one region. It is not safe for
// concurrent use.
type Fleet struct {
	workers []occupancy
	racks   []rackRange
	index   map[identifier.Worker]int
	scratch scratch
}

// NewFleet returns a Fleet of unoccupied, usable workers.
func NewFleet(workers []Worker) *Fleet {
	sorted := slices.Clone(workers)
	slices.SortFunc(sorted, func(a, b Worker) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Worker, b.Worker))
	})
	fleet := &Fleet{workers: make([]occupancy, len(sorted)), index: make(map[identifier.Worker]int, len(sorted))}
	for i, worker := range sorted {
		if i == 0 || worker.Rack != sorted[i-1].Rack {
			fleet.racks = append(fleet.racks, rackRange{i, i})
		}
		fleet.racks[len(fleet.racks)-1].to = i + 1
		fleet.workers[i] = occupancy{Worker: worker, rack: len(fleet.racks) - 1, usable: true}
		fleet.index[worker.Worker] = i
	}
	return fleet
}

// Occupy occupies accelerators of a worker for one task.
func (fleet *Fleet) Occupy(worker identifier.Worker, accelerators int) {
	if i, ok := fleet.index[worker]; ok {
		fleet.workers[i].used += accelerators
		fleet.workers[i].tasks++
	}
}

// Release frees the accelerators that Occupy occupied.
func (fleet *Fleet) Release(worker identifier.Worker, accelerators int) {
	if i, ok := fleet.index[worker]; ok {
		fleet.workers[i].used -= accelerators
		fleet.workers[i].tasks--
	}
}

// Reserve reserves accelerators of a worker for a gang that waits for them to
// become free. A negative number ends the reservation.
func (fleet *Fleet) Reserve(worker identifier.Worker, accelerators int) {
	if i, ok := fleet.index[worker]; ok {
		fleet.workers[i].reserved += accelerators
	}
}

// SetUsable sets whether a worker may be chosen, and reports whether that changed.
func (fleet *Fleet) SetUsable(worker identifier.Worker, usable bool) bool {
	i, ok := fleet.index[worker]
	changed := ok && fleet.workers[i].usable != usable
	if changed {
		fleet.workers[i].usable = usable
	}
	return changed
}

// Available returns the accelerators that a gang may occupy now: those that are
// neither occupied nor reserved, zero if the worker is not usable.
func (fleet *Fleet) Available(worker identifier.Worker) int {
	i, ok := fleet.index[worker]
	if !ok {
		return 0
	}
	return max(0, fleet.workers[i].available())
}

// Free returns the unoccupied and the total accelerators of a worker.
func (fleet *Fleet) Free(worker identifier.Worker) (free, total int) {
	i, ok := fleet.index[worker]
	if !ok {
		return 0, 0
	}
	return fleet.workers[i].Accelerators - fleet.workers[i].used, fleet.workers[i].Accelerators
}
