package evictor

import (
	"cmp"
	"slices"

	"corianderroad/specifier"
)

// plan is a choice that is being made.
type plan struct {
	room       *Room
	candidates []candidate
	stopped    []bool
	choice     Choice
}

// candidate is a minion of the room with the cheapest way to one more task there.
type candidate struct {
	// free is free now. expected also has the room of the runs that end soon and of the
	// victims that are stopped.
	free, expected specifier.Resources
	tasks          int
	// victims are those on the minion, the cheapest first.
	victims []int

	feasible, awaits bool
	selected         []int
	price            float64
}

func newPlan(room *Room, ending []bool) *plan {
	plan := &plan{room: room, candidates: make([]candidate, len(room.Minions)), stopped: make([]bool, len(room.Victims))}
	plan.choice.TasksOn = make([]int, len(room.Minions))
	for index := range room.Minions {
		minion := &room.Minions[index]
		plan.candidates[index] = candidate{free: minion.Free, expected: minion.Free, tasks: minion.MaxTasks}
	}
	for index := range room.Victims {
		for _, share := range room.Victims[index].Shares {
			candidate := &plan.candidates[share.Minion]
			if ending[index] {
				candidate.expected = candidate.expected.Add(share.Amount)
			} else {
				candidate.victims = append(candidate.victims, index)
			}
		}
	}
	for index := range plan.candidates {
		slices.SortStableFunc(plan.candidates[index].victims, plan.comparePrices)
		plan.selectVictims(&plan.candidates[index])
	}
	return plan
}

func (plan *plan) price(victim int) float64 { return plan.room.Victims[victim].Loss.Price }

func (plan *plan) comparePrices(one, other int) int {
	return cmp.Compare(plan.price(one), plan.price(other))
}

// fill assigns all tasks, each where it costs least, and leaves out the victims that turn
// out not to be needed.
func (plan *plan) fill() (Choice, bool) {
	for range plan.room.Tasks {
		best := plan.cheapest()
		if best < 0 {
			return Choice{}, false
		}
		chosen := &plan.candidates[best]
		plan.choice.Awaits = plan.choice.Awaits || chosen.awaits
		for _, victim := range slices.Clone(chosen.selected) {
			plan.stop(victim)
		}
		plan.choice.TasksOn[best]++
		chosen.free, chosen.expected = chosen.free.Sub(plan.room.Request), chosen.expected.Sub(plan.room.Request)
		chosen.tasks--
		plan.selectVictims(chosen)
	}
	plan.spareVictims()
	return plan.choice, true
}

func (plan *plan) cheapest() int {
	best := -1
	for index := range plan.candidates {
		candidate := &plan.candidates[index]
		if candidate.feasible && (best < 0 || candidate.isBetter(&plan.candidates[best])) {
			best = index
		}
	}
	return best
}

// isBetter reports whether a task costs less here. At the same price, room without a stop is
// better, and room that is free now is better than room that is expected.
func (candidate *candidate) isBetter(other *candidate) bool {
	if candidate.price != other.price {
		return candidate.price < other.price
	}
	if len(candidate.selected) != len(other.selected) {
		return len(candidate.selected) < len(other.selected)
	}
	return !candidate.awaits && other.awaits
}

// stop marks a victim as stopped and adds its room.
func (plan *plan) stop(victim int) {
	if plan.stopped[victim] {
		return
	}
	plan.stopped[victim] = true
	plan.choice.Stopped = append(plan.choice.Stopped, victim)
	plan.choice.Loss = plan.choice.Loss.add(plan.room.Victims[victim].Loss)
	for _, share := range plan.room.Victims[victim].Shares {
		candidate := &plan.candidates[share.Minion]
		candidate.expected = candidate.expected.Add(share.Amount)
		plan.selectVictims(candidate)
	}
}

// spareVictims leaves out victims whose room is not needed, the most expensive first.
func (plan *plan) spareVictims() {
	slices.SortStableFunc(plan.choice.Stopped, func(one, other int) int { return plan.comparePrices(other, one) })
	plan.choice.Stopped = slices.DeleteFunc(plan.choice.Stopped, func(victim int) bool {
		shares := plan.room.Victims[victim].Shares
		for _, share := range shares {
			if !plan.candidates[share.Minion].expected.Sub(share.Amount).Holds(specifier.Resources{}) && plan.choice.TasksOn[share.Minion] > 0 {
				return false
			}
		}
		for _, share := range shares {
			candidate := &plan.candidates[share.Minion]
			candidate.expected = candidate.expected.Sub(share.Amount)
		}
		plan.choice.Loss = plan.choice.Loss.sub(plan.room.Victims[victim].Loss)
		return true
	})
}
