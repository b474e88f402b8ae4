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
	// cost is the work that is lost, in core-seconds.
	cost float64
	// stopped means that the victim is already stopped for an earlier task.
	stopped bool
}

// reclaimCandidate is a minion's capacity for one more task, with the victims
// that must be stopped for it.
type reclaimCandidate struct {
	minion  *minion
	free    specifier.Resources
	victims []*victim
	// remainingTasks is how many more tasks of the step the minion may run.
	remainingTasks int

	feasible bool
	selected []*victim
	cost     float64
	request  specifier.Resources
}

// selectVictims selects victims in the order of their cost until the request
// fits.
func (reclaimCandidate *reclaimCandidate) selectVictims(request specifier.Resources) {
	reclaimCandidate.request, reclaimCandidate.selected, reclaimCandidate.cost = request, nil, 0
	free := reclaimCandidate.free
	reclaimCandidate.feasible = reclaimCandidate.remainingTasks > 0 && free.Holds(request)
	if reclaimCandidate.feasible || reclaimCandidate.remainingTasks <= 0 {
		return
	}
	for _, victim := range reclaimCandidate.victims {
		if victim.stopped {
			continue
		}
		free = free.Add(victim.capacityOn(reclaimCandidate.minion))
		reclaimCandidate.selected = append(reclaimCandidate.selected, victim)
		reclaimCandidate.cost += victim.cost
		if free.Holds(request) {
			reclaimCandidate.feasible = true
			return
		}
	}
}

// assignTask assigns a task to the candidate and selects the victims for the
// next one.
func (reclaimCandidate *reclaimCandidate) assignTask(request specifier.Resources) {
	reclaimCandidate.free = reclaimCandidate.free.Sub(request)
	reclaimCandidate.remainingTasks--
	reclaimCandidate.selectVictims(request)
}

// markStopped marks a victim as stopped and adds the capacity that it frees on
// the candidate's minion.
func (reclaimCandidate *reclaimCandidate) markStopped(victim *victim) {
	victim.stopped = true
	if freed := victim.capacityOn(reclaimCandidate.minion); freed != (specifier.Resources{}) {
		reclaimCandidate.free = reclaimCandidate.free.Add(freed)
		reclaimCandidate.selectVictims(reclaimCandidate.request)
	}
}

// capacityOn returns what the victim's runs occupy on a minion.
func (victim *victim) capacityOn(minion *minion) specifier.Resources {
	var sum specifier.Resources
	for _, run := range victim.runs {
		if run.minion == minion {
			sum = sum.Add(requiredCapacity(run.step.spec))
		}
	}
	return sum
}

// victims returns the minion's runs that may be preempted for priority 0, the
// cheapest first. The runs of a gang end together, so that they are one victim.
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

// isPreemptible reports whether a run may be preempted for priority 0.
func (planner *Planner) isPreemptible(run *run) bool {
	queue := planner.queue(run.job())
	return queue != nil && queue.Priority > 0 && run.state != stopping && !run.step.spec.LongRunning
}

// gangVictim returns the victim for a gang: its runs that are not being stopped.
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

// maxCheckpointAge is the maximum work that a run with checkpoints loses.
const maxCheckpointAge = time.Second

// lostWork returns the core-seconds that are lost when the run is stopped. An
// accelerator counts as 8 cores.
func (run *run) lostWork(now time.Time) float64 {
	age := now.Sub(run.startedAt)
	if run.step.spec.Checkpoints {
		age = min(age, maxCheckpointAge)
	}
	return age.Seconds() * float64(run.step.spec.Request.Weight()) / specifier.MilliPerCore
}
