package evictor

import (
	"slices"

	"corianderroad/specifier"
)

// selectVictims selects the victims that make room for one more task on the candidate.
func (plan *plan) selectVictims(candidate *candidate) {
	request := plan.room.Request
	candidate.selected, candidate.price, candidate.awaits = candidate.selected[:0], 0, false
	candidate.feasible = candidate.tasks > 0 && candidate.free.Holds(request)
	if candidate.feasible || candidate.tasks <= 0 {
		return
	}
	if candidate.expected.Holds(request) {
		candidate.feasible, candidate.awaits = true, true
		return
	}
	free := candidate.expected
	for _, victim := range candidate.victims {
		if plan.stopped[victim] {
			continue
		}
		free = free.Add(plan.amountOn(victim, candidate))
		candidate.selected = append(candidate.selected, victim)
		candidate.price += plan.price(victim)
		if free.Holds(request) {
			candidate.feasible = true
			plan.reduceSelection(candidate, free)
			return
		}
	}
}

// reduceSelection leaves out the victims without which the task fits as well, the most
// expensive first.
func (plan *plan) reduceSelection(candidate *candidate, free specifier.Resources) {
	for index := len(candidate.selected) - 1; index >= 0 && len(candidate.selected) > 1; index-- {
		victim := candidate.selected[index]
		if rest := free.Sub(plan.amountOn(victim, candidate)); rest.Holds(plan.room.Request) {
			free = rest
			candidate.price -= plan.price(victim)
			candidate.selected = slices.Delete(candidate.selected, index, index+1)
		}
	}
}

// amountOn returns what a victim occupies on a candidate's minion.
func (plan *plan) amountOn(victim int, candidate *candidate) specifier.Resources {
	for _, share := range plan.room.Victims[victim].Shares {
		if &plan.candidates[share.Minion] == candidate {
			return share.Amount
		}
	}
	return specifier.Resources{}
}
