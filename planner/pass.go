package planner

import (
	"cmp"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// waiting is a step with tasks that could be started.
type waiting struct {
	step    *step
	queue   specifier.Queue
	indexes []int
	// latest is when the step must start for its job to be on time.
	latest time.Time
	// hopeless jobs can't be on time any more.
	hopeless bool
}

// pass starts what can be started. It runs when something has changed, but not
// more often than the pace allows.
func (planner *Planner) pass(now time.Time) {
	since := now.Sub(planner.lastPass)
	if since < passEvery || (!planner.changed && since < idleTick) {
		return
	}
	planner.lastPass, planner.changed = now, false
	planner.reservations.expire(now)
	fleet := planner.openFleet(now)
	for _, waiting := range planner.waiting(now) {
		placed := planner.place(now, waiting, fleet[waiting.queue.Service])
		if !placed {
			planner.reclaim(now, waiting)
		}
	}
}

// openFleet returns the minions that take new runs, by service.
func (planner *Planner) openFleet(now time.Time) map[identifier.Service][]*minion {
	fleet := make(map[identifier.Service][]*minion)
	for _, minion := range planner.sortedMinions() {
		if minion.takes(now) {
			fleet[minion.report.Service] = append(fleet[minion.report.Service], minion)
		}
	}
	return fleet
}

// waiting returns the steps that could start, the most urgent first.
func (planner *Planner) waiting(now time.Time) []*waiting {
	var all []*waiting
	for _, known := range planner.live {
		queue, ok := planner.policy.Queue(known.spec.Queue)
		if !ok {
			continue
		}
		for _, occurrence := range known.occurrences {
			if now.Before(occurrence.due) {
				break
			}
			for _, step := range occurrence.steps {
				if waiting := step.waiting(now, queue); waiting != nil {
					all = append(all, waiting)
				}
			}
		}
	}
	slices.SortFunc(all, compare)
	return all
}

// waiting returns the step with its urgency, nil if it has nothing to start.
func (step *step) waiting(now time.Time, queue specifier.Queue) *waiting {
	if step.complete() || !step.ready() || (step.spec.Gang && step.unaccounted()) {
		step.waitingSince = time.Time{}
		return nil
	}
	indexes := step.unplaced(now)
	if len(indexes) == 0 {
		step.waitingSince = time.Time{}
		return nil
	}
	if step.waitingSince.IsZero() {
		step.waitingSince = now
	}
	latest := step.latestStart(queue)
	return &waiting{step: step, queue: queue, indexes: indexes, latest: latest, hopeless: now.After(latest)}
}

// unaccounted reports whether a task of the step may run unheard of.
func (step *step) unaccounted() bool {
	for index := range step.tasks {
		if step.tasks[index].unaccounted {
			return true
		}
	}
	return false
}

// latestStart returns when the step must start for the occurrence to end within
// the queue's objective, by the submitter's estimates.
func (step *step) latestStart(queue specifier.Queue) time.Time {
	job := &step.occurrence.job.spec
	total := longestChain(job.Steps, 0)
	left := longestChain(job.Steps, step.number)
	objective := step.occurrence.due.Add(time.Duration(queue.Stretch*float64(total)) + queue.Slack)
	return objective.Add(-left)
}

// longestChain returns the longest chain of estimated run times that begins at
// the given step, or at any step for 0.
func longestChain(steps []specifier.Step, from int) time.Duration {
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for index := from; index < len(steps); index++ {
		begin := time.Duration(0)
		for _, earlier := range steps[index].DependsOn {
			begin = max(begin, ends[earlier])
		}
		ends[index] = begin + steps[index].EstimatedRunTime
		longest = max(longest, ends[index])
	}
	return longest
}

// compare orders waiting steps: long-running tasks first, because they earn
// nothing while they are away; then by the queue's priority; then those that
// can still be on time, the most urgent first.
func compare(one, other *waiting) int {
	return cmp.Or(
		-compareBool(one.step.spec.LongRunning, other.step.spec.LongRunning),
		cmp.Compare(one.queue.Priority, other.queue.Priority),
		compareBool(one.hopeless, other.hopeless),
		one.latest.Compare(other.latest),
		cmp.Compare(one.step.occurrence.job.arrival, other.step.occurrence.job.arrival),
		cmp.Compare(one.step.occurrence.number, other.step.occurrence.number),
		cmp.Compare(one.step.number, other.step.number),
	)
}

func compareBool(one, other bool) int {
	switch {
	case one == other:
		return 0
	case other:
		return -1
	default:
		return 1
	}
}
