package planner

import (
	"cmp"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// place starts as much of a step as has room, a gang whole or not at all. It
// reports whether nothing of the step is left to start.
func (planner *Planner) place(now time.Time, waiting *waiting, fleet []*minion) bool {
	step := waiting.step
	if step.spec.Gang && len(waiting.indexes) < len(step.tasks)-step.done {
		planner.stopRemains(now, step)
		return true
	}
	planner.prepareAdvice(now, waiting)
	whole := step.spec.Gang || (step.spec.SameRack && !step.hasRuns())
	chosen := planner.choose(now, waiting, fleet)
	if len(chosen) == 0 || (whole && len(chosen) < len(waiting.indexes)) {
		return false
	}
	if !planner.ticketed(now, waiting, chosen, fleet) {
		return true // waits for advice, not for room
	}
	if known := step.occurrence.job; !known.begun {
		if known.state == specifier.Queued {
			known.state = specifier.Running
			planner.recording.mark(known)
		}
		return true // starts once the record is durable
	}
	number := planner.nextRun()
	for place, minion := range chosen {
		if !step.spec.Gang {
			number = planner.nextRun()
		}
		planner.start(now, step, waiting.indexes[place], minion, number, step.ticket(minion))
	}
	planner.reservations.drop(step)
	return len(chosen) == len(waiting.indexes)
}

// stopRemains ends the members of a gang that is not whole, for example because
// a takeover found only some of them.
func (planner *Planner) stopRemains(now time.Time, step *step) {
	for index := range step.tasks {
		if run := step.tasks[index].run; run != nil {
			planner.stop(now, run, "its gang is not whole")
		}
	}
}

func (planner *Planner) nextRun() uint64 {
	planner.lastRun++
	return planner.lastRun
}

func (step *step) hasRuns() bool {
	for index := range step.tasks {
		if step.tasks[index].run != nil {
			return true
		}
	}
	return false
}

// choose returns a minion for each of the step's first tasks that has room.
func (planner *Planner) choose(now time.Time, waiting *waiting, fleet []*minion) []*minion {
	step := waiting.step
	suitable := make([]*minion, 0, len(fleet))
	for _, minion := range fleet {
		if step.suits(minion) {
			suitable = append(suitable, minion)
		}
	}
	insist := planner.insists(now, waiting)
	if step.spec.SameRack {
		if chosen := planner.chooseRack(step, waiting.indexes, suitable, insist); chosen != nil || insist {
			return chosen
		}
	}
	if step.spec.DataRack != "" && insist && !step.spec.SameRack {
		suitable = slices.DeleteFunc(suitable, func(minion *minion) bool { return minion.rack != step.spec.DataRack })
	}
	return planner.fill(step, waiting.indexes, suitable)
}

// suits reports whether the step may run on a minion, room aside.
func (step *step) suits(minion *minion) bool {
	return (step.spec.Label == "" || minion.hasLabel(step.spec.Label)) && step.allowed(minion)
}

// insists reports whether the step waits for its rack rather than run slowly
// elsewhere: while its job can be on time, unless the pool is mostly idle or no
// rack can ever hold the step.
func (planner *Planner) insists(now time.Time, waiting *waiting) bool {
	step := waiting.step
	if !step.spec.SameRack && step.spec.DataRack == "" {
		return false
	}
	if waiting.hopeless && !step.spec.LongRunning {
		return false
	}
	if !planner.rackCanHold(step) {
		return false
	}
	return now.Sub(step.waitingSince) < preferencePatience || planner.busy(waiting.queue.Service)
}

// busy reports whether at least half of a pool's processors or accelerators is in use.
func (planner *Planner) busy(service identifier.Service) bool {
	var used, capacity specifier.Resources
	for _, minion := range planner.minions {
		if minion.report.Service == service && minion.listed {
			used = used.Add(minion.used)
			capacity = capacity.Add(minion.report.Capacity)
		}
	}
	return 2*used.MilliCPU >= capacity.MilliCPU || (capacity.Accelerators > 0 && 2*used.Accelerators >= capacity.Accelerators)
}

// rackCanHold reports whether an empty rack that the step prefers has room for it.
func (planner *Planner) rackCanHold(step *step) bool {
	capacity := make(map[identifier.Rack]int)
	for _, minion := range planner.minions {
		if minion.listed && !minion.report.Draining && step.suits(minion) {
			capacity[minion.rack] += minion.report.Capacity.Fit(claim(step.spec), step.perMinion())
		}
	}
	if step.spec.DataRack != "" {
		return capacity[step.spec.DataRack] > 0
	}
	for _, count := range capacity {
		if count >= len(step.tasks) {
			return true
		}
	}
	return false
}

// perMinion bounds the tasks of the step on one minion.
func (step *step) perMinion() int {
	if step.spec.MaxPerMinion > 0 {
		return step.spec.MaxPerMinion
	}
	return len(step.tasks)
}

// room returns how many more tasks of the step a minion holds now.
func (planner *Planner) room(step *step, minion *minion) int {
	limit := step.perMinion()
	if step.spec.MaxPerMinion > 0 {
		for _, run := range minion.runs {
			if run.step == step {
				limit--
			}
		}
	}
	if limit <= 0 {
		return 0
	}
	return planner.reservations.free(step, minion).Fit(claim(step.spec), limit)
}

// chooseRack returns the minions of one rack that hold all the given tasks, in
// the rack with the least room left over, so that wide gaps stay whole. Without
// such a rack it returns nil.
func (planner *Planner) chooseRack(step *step, indexes []int, suitable []*minion, insist bool) []*minion {
	racks := make(map[identifier.Rack][]*minion)
	rooms := make(map[identifier.Rack]int)
	for _, minion := range suitable {
		racks[minion.rack] = append(racks[minion.rack], minion)
		rooms[minion.rack] += planner.room(step, minion)
	}
	wanted := step.rackInUse()
	if wanted == "" && insist {
		wanted = step.spec.DataRack
	}
	best := identifier.Rack("")
	for rack, room := range rooms {
		if room < len(indexes) || (wanted != "" && rack != wanted) {
			continue
		}
		if best == "" || cmp.Or(cmp.Compare(room, rooms[best]), cmp.Compare(rack, best)) < 0 {
			best = rack
		}
	}
	if best == "" {
		return nil
	}
	return planner.fill(step, indexes, racks[best])
}

// rackInUse returns the rack on which tasks of the step already run.
func (step *step) rackInUse() identifier.Rack {
	for index := range step.tasks {
		if run := step.tasks[index].run; run != nil {
			return run.minion.rack
		}
	}
	return ""
}

// fill returns a minion for each of the first tasks that fit. Minions near the
// data come first, then those where no serving task is disturbed, those with a ticket, then those that the tasks fill
// best, in the racks that are used most.
func (planner *Planner) fill(step *step, indexes []int, suitable []*minion) []*minion {
	type option struct {
		minion *minion
		room   int
		free   specifier.Resources
	}
	var options []option
	for _, minion := range suitable {
		if room := planner.room(step, minion); room > 0 {
			options = append(options, option{minion, room, planner.reservations.free(step, minion)})
		}
	}
	request := claim(step.spec)
	used := planner.rackUse()
	slices.SortFunc(options, func(one, other option) int {
		return cmp.Or(
			-compareBool(one.minion.rack == step.spec.DataRack, other.minion.rack == step.spec.DataRack),
			compareBool(step.disturbs(one.minion), step.disturbs(other.minion)),
			-compareBool(step.ticket(one.minion) != "", step.ticket(other.minion) != ""),
			cmp.Compare(leftOver(one.free, request), leftOver(other.free, request)),
			-cmp.Compare(used[one.minion.rack], used[other.minion.rack]),
			cmp.Compare(one.minion.report.Minion, other.minion.report.Minion),
		)
	})
	var chosen []*minion
	for _, index := range indexes {
		best := -1
		for place := range options {
			if options[place].room == 0 {
				continue
			}
			if best < 0 {
				best = place
			}
			// A task returns to the minion on which it failed last only if no other has room.
			if options[place].minion.report.Minion != step.tasks[index].avoid {
				best = place
				break
			}
		}
		if best < 0 {
			break
		}
		options[best].room--
		chosen = append(chosen, options[best].minion)
	}
	return chosen
}

// disturbs reports whether the step's tasks would share a minion between
// serving and backfill tasks.
func (step *step) disturbs(minion *minion) bool {
	if !step.spec.Backfill && step.spec.LatencyTarget == 0 {
		return false
	}
	for _, run := range minion.runs {
		if (step.spec.Backfill && run.step.spec.LatencyTarget > 0) || (step.spec.LatencyTarget > 0 && run.step.spec.Backfill) {
			return true
		}
	}
	return false
}

// rackUse returns how much of each rack is in use. Empty racks are left for
// steps that need one.
func (planner *Planner) rackUse() map[identifier.Rack]int {
	used := make(map[identifier.Rack]int)
	for _, minion := range planner.minions {
		used[minion.rack] += leftOver(minion.used, specifier.Resources{})
	}
	return used
}

// leftOver weighs what a minion has left beyond a request. Accelerators go
// first: large blocks of them are the rarest.
func leftOver(free, request specifier.Resources) int {
	left := free.Sub(request)
	return left.Accelerators*acceleratorWeight + left.MilliCPU
}

// acceleratorWeight is an accelerator's worth in thousandths of a core.
const acceleratorWeight = 8000
