package planner

import (
	"cmp"
	"slices"
	"time"

	"corianderroad/specifier"
)

// Reclaiming of room for urgent steps.
const (
	// orderSlack covers the looks and orders around the stop of a run.
	orderSlack = 500 * time.Millisecond
	// reservationSlack is how long reserved room is kept beyond the stop of what
	// was in its way.
	reservationSlack = time.Second
	// wasteLimit bounds the work thrown away for a step that must not start yet,
	// in multiples of its own work.
	wasteLimit = 2.0
)

// victim is a run, or the runs of a gang, that can be stopped for another step.
type victim struct {
	runs []*run
	// cost is the work thrown away, in core-seconds.
	cost float64
}

// reclaim makes room for a step of priority 0 by stopping work of lower
// priority, as late as its job can still be on time, or its workspace's
// guarantee be kept. Until then room may become free by itself.
func (planner *Planner) reclaim(now time.Time, waiting *waiting) {
	step := waiting.step
	if waiting.queue.Priority != 0 || step.spec.LongRunning || planner.reservations.has(step) {
		return
	}
	stopping := planner.bounds.StopTimeout + orderSlack
	must := !now.Before(step.occurrence.due.Add(planner.bounds.Reclaim - stopping))
	if !must && (waiting.hopeless || now.Before(waiting.latest.Add(-stopping))) {
		return
	}
	cleared := planner.makeRoom(now, waiting)
	if cleared == nil || (!must && cleared.cost > wasteLimit*step.estimatedWork(len(waiting.indexes))) {
		return
	}
	planner.reservations.hold(step, cleared.places, now.Add(planner.bounds.StopTimeout+reservationSlack))
	for _, victim := range cleared.victims {
		for _, run := range victim.runs {
			planner.stop(now, run, "preempted for "+string(step.occurrence.job.spec.ID))
		}
	}
}

// estimatedWork returns the core-seconds of a number of the step's tasks.
func (step *step) estimatedWork(count int) float64 {
	request := step.spec.Request.Times(count)
	return step.spec.EstimatedRunTime.Seconds() * float64(request.MilliCPU+request.Accelerators*acceleratorWeight) / milliPerCore
}

const milliPerCore = 1000

// makeRoom returns where a step fits once the victims have ended, at the least
// cost that a greedy choice finds. It returns nil if there is no way.
func (planner *Planner) makeRoom(now time.Time, waiting *waiting) *clearing {
	racks := make(map[string][]*minion)
	for _, minion := range planner.sortedMinions() {
		if minion.report.Service != waiting.queue.Service || !minion.takes(now) || !waiting.step.suits(minion) {
			continue
		}
		if waiting.step.spec.DataRack != "" && minion.rack != waiting.step.spec.DataRack {
			continue
		}
		group := ""
		if waiting.step.spec.SameRack {
			group = string(minion.rack)
		}
		racks[group] = append(racks[group], minion)
	}
	names := make([]string, 0, len(racks))
	for name := range racks {
		names = append(names, name)
	}
	slices.Sort(names)
	var best *clearing
	for _, name := range names {
		cleared := planner.clear(now, waiting, racks[name])
		if cleared != nil && (best == nil || cleared.cost < best.cost) {
			best = cleared
		}
	}
	return best
}

// clearing is room for a step with what must be stopped for it.
type clearing struct {
	places  map[*minion]specifier.Resources
	victims []*victim
	cost    float64
}

// clear finds room on the given minions, task by task where it costs least.
func (planner *Planner) clear(now time.Time, waiting *waiting, minions []*minion) *clearing {
	request := claim(waiting.step.spec)
	cleared := &clearing{places: make(map[*minion]specifier.Resources)}
	free := make(map[*minion]specifier.Resources)
	counts := make(map[*minion]int)
	for _, minion := range minions {
		free[minion] = planner.reservations.free(waiting.step, minion).Add(minion.ending())
	}
	taken := make(map[*run]bool)
	for range waiting.indexes {
		var best *minion
		var bestVictims []*victim
		bestCost := 0.0
		for _, minion := range minions {
			if counts[minion] >= waiting.step.perMinion() {
				continue
			}
			victims, cost, ok := planner.victims(now, minion, free[minion], request, taken)
			if ok && (best == nil || cost < bestCost) {
				best, bestVictims, bestCost = minion, victims, cost
			}
		}
		if best == nil {
			return nil
		}
		for _, victim := range bestVictims {
			for _, run := range victim.runs {
				taken[run] = true
				if _, ours := free[run.minion]; ours {
					free[run.minion] = free[run.minion].Add(claim(run.step.spec))
				}
			}
		}
		cleared.victims = append(cleared.victims, bestVictims...)
		cleared.cost += bestCost
		free[best] = free[best].Sub(request)
		cleared.places[best] = cleared.places[best].Add(request)
		counts[best]++
	}
	return cleared
}

// ending returns what the runs that are being stopped will set free.
func (minion *minion) ending() specifier.Resources {
	var sum specifier.Resources
	for _, run := range minion.runs {
		if run.state == stopping {
			sum = sum.Add(claim(run.step.spec))
		}
	}
	return sum
}

// victims returns what must be stopped on a minion for one more request.
func (planner *Planner) victims(now time.Time, minion *minion, free, request specifier.Resources, taken map[*run]bool) ([]*victim, float64, bool) {
	if free.Holds(request) {
		return nil, 0, true
	}
	var options []*victim
	for _, run := range minion.sortedRuns() {
		if !taken[run] && planner.preemptible(run) {
			options = append(options, planner.asVictim(now, run))
		}
	}
	slices.SortStableFunc(options, func(one, other *victim) int { return cmp.Compare(one.cost, other.cost) })
	var chosen []*victim
	cost := 0.0
	covered := make(map[*run]bool)
	for _, option := range options {
		if covered[option.runs[0]] {
			continue
		}
		for _, run := range option.runs {
			covered[run] = true
			if run.minion == minion {
				free = free.Add(claim(run.step.spec))
			}
		}
		chosen = append(chosen, option)
		cost += option.cost
		if free.Holds(request) {
			return chosen, cost, true
		}
	}
	return nil, 0, false
}

// preemptible reports whether a run gives way to priority 0.
func (planner *Planner) preemptible(run *run) bool {
	queue, ok := planner.policy.Queue(run.job().spec.Queue)
	return ok && queue.Priority > 0 && run.state != stopping && !run.step.spec.LongRunning
}

// asVictim returns a run with all that ends with it.
func (planner *Planner) asVictim(now time.Time, run *run) *victim {
	if !run.step.spec.Gang {
		return single(run, run.lostWork(now))
	}
	whole := &victim{}
	for index := range run.step.tasks {
		if member := run.step.tasks[index].run; member != nil && member.state != stopping {
			whole.runs = append(whole.runs, member)
			whole.cost += member.lostWork(now)
		}
	}
	return whole
}

func single(only *run, cost float64) *victim { return &victim{runs: []*run{only}, cost: cost} }

// checkpointAge is the work that a run with checkpoints loses at most.
const checkpointAge = time.Second

// lostWork returns the core-seconds that a stop of the run throws away. An
// accelerator counts as 8 cores.
func (run *run) lostWork(now time.Time) float64 {
	age := now.Sub(run.startedAt)
	if run.step.spec.Checkpoints {
		age = min(age, checkpointAge)
	}
	request := run.step.spec.Request
	return age.Seconds() * float64(request.MilliCPU+request.Accelerators*acceleratorWeight) / milliPerCore
}
