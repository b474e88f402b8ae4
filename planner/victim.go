package planner

import (
	"cmp"
	"slices"
	"time"

	"corianderroad/specifier"
)

// victim is a run, or the runs of a gang, that can be stopped for another step.
type victim struct {
	runs []*run
	// cost is the work thrown away, in core-seconds.
	cost float64
	// taken means that the victim is stopped already for an earlier task.
	stopped bool
}

// offer is a minion's room for one more task, with what must be stopped for it.
type reclaimCandidate struct {
	minion  *minion
	free    specifier.Resources
	victims []*victim
	// left is how many more tasks of the step the minion may have.
	remainingTasks int

	feasible bool
	selected []*victim
	cost     float64
	request  specifier.Resources
}

// price finds the cheapest victims that make room for the request.
func (candidate *reclaimCandidate) selectVictims(request specifier.Resources) {
	candidate.request, candidate.selected, candidate.cost = request, nil, 0
	free := candidate.free
	candidate.feasible = candidate.remainingTasks > 0 && free.Holds(request)
	if candidate.feasible || candidate.remainingTasks <= 0 {
		return
	}
	for _, victim := range candidate.victims {
		if victim.stopped {
			continue
		}
		free = free.Add(victim.capacityOn(candidate.minion))
		candidate.selected = append(candidate.selected, victim)
		candidate.cost += victim.cost
		if free.Holds(request) {
			candidate.feasible = true
			return
		}
	}
}

// take uses the offer for a task and prices the next.
func (candidate *reclaimCandidate) assignTask(request specifier.Resources) {
	candidate.free = candidate.free.Sub(request)
	candidate.remainingTasks--
	candidate.selectVictims(request)
}

// lose notes that a victim is stopped, wherever its runs are.
func (candidate *reclaimCandidate) markStopped(victim *victim) {
	victim.stopped = true
	if freed := victim.capacityOn(candidate.minion); freed != (specifier.Resources{}) {
		candidate.free = candidate.free.Add(freed)
		candidate.selectVictims(candidate.request)
	}
}

// claimOn returns what the victim's runs take on a minion.
func (victim *victim) capacityOn(minion *minion) specifier.Resources {
	var sum specifier.Resources
	for _, run := range victim.runs {
		if run.minion == minion {
			sum = sum.Add(requiredCapacity(run.step.spec))
		}
	}
	return sum
}

// victims returns the minion's runs that give way to priority 0, the cheapest
// first. The runs of a gang end together, so that they are one victim.
func (planner *Planner) victims(now time.Time, minion *minion, gangs map[gangRunKey]*victim) []*victim {
	var victims []*victim
	for _, run := range minion.sortedRuns() {
		if !planner.isPreemptible(run) {
			continue
		}
		if !run.step.spec.Gang {
			victims = append(victims, singleVictim(run, run.lostWork(now)))
			continue
		}
		key := gangRunKey{run.id.Job, run.id.Occurrence, run.id.Step, run.number}
		gang := gangs[key]
		if gang == nil {
			gang = planner.gangVictim(now, run.step)
			gangs[key] = gang
		}
		if !slices.Contains(victims, gang) {
			victims = append(victims, gang)
		}
	}
	slices.SortStableFunc(victims, func(one, other *victim) int { return cmp.Compare(one.cost, other.cost) })
	return victims
}

func singleVictim(member *run, cost float64) *victim {
	return &victim{runs: []*run{member}, cost: cost}
}

// preemptible reports whether a run gives way to priority 0.
func (planner *Planner) isPreemptible(run *run) bool {
	queue := planner.queue(run.job())
	return queue != nil && queue.Priority > 0 && run.state != stopping && !run.step.spec.LongRunning
}

// wholeGang returns all runs of a gang that are not being stopped.
func (planner *Planner) gangVictim(now time.Time, step *step) *victim {
	gang := &victim{}
	for index := range step.tasks {
		if member := step.tasks[index].run; member != nil && member.state != stopping {
			gang.runs = append(gang.runs, member)
			gang.cost += member.lostWork(now)
		}
	}
	return gang
}

// checkpointAge is the work that a run with checkpoints loses at most.
const maxCheckpointAge = time.Second

// lostWork returns the core-seconds that a stop of the run throws away. An
// accelerator counts as 8 cores.
func (run *run) lostWork(now time.Time) float64 {
	age := now.Sub(run.startedAt)
	if run.step.spec.Checkpoints {
		age = min(age, maxCheckpointAge)
	}
	return age.Seconds() * float64(weight(run.step.spec.Request)) / milliPerCore
}
