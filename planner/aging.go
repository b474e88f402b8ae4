package planner

import "time"

const (
	// agingFactor is the age in multiples of its job's objective from which on a late step
	// competes with steps that can be on time.
	agingFactor = 3
	// agedShare is the work of other steps of a priority for each unit of work of aged ones.
	// Late work without such a bound would make all later work late too.
	agedShare = 4
)

// aging lets late steps start before those that can be on time, as far as a share of the
// started work of their priority allows. The credits are core-seconds by priority. There is
// none for a priority without aged steps.
type aging struct {
	credits map[int]float64
}

// rank is the place of a step in the order of its priority.
type rank int8

const (
	agedRank rank = iota
	timelyRank
	lateRank
)

// isAged reports whether a late step has waited for a multiple of its job's objective.
func (step *step) isAged(now, latestStart time.Time) bool {
	objective := latestStart.Add(step.criticalPath).Sub(step.occurrence.dueAt)
	return now.Sub(step.occurrence.dueAt) >= agingFactor*objective
}

// rankAgedSteps sets the ranks of the steps that are aged. It returns the work of the largest
// one of each priority.
func (planner *Planner) rankAgedSteps(now time.Time, steps []*waitingStep) map[int]float64 {
	if !planner.features.GangReservations {
		return nil
	}
	largest := make(map[int]float64)
	for _, waitingStep := range steps {
		if !waitingStep.late || waitingStep.step.spec.LongRunning || !waitingStep.step.isAged(now, waitingStep.latestStart) {
			continue
		}
		waitingStep.aged = true
		priority := waitingStep.queue.Priority
		largest[priority] = max(largest[priority], waitingStep.step.estimatedWork(waitingStep.taskCount))
		if planner.aging.credits[priority] >= 0 {
			waitingStep.rank = agedRank
		}
	}
	return largest
}

// limit bounds the credits by the work of the largest aged step of each priority. It discards
// those of priorities without any.
func (aging *aging) limit(largest map[int]float64) {
	for priority := range aging.credits {
		if _, hasAged := largest[priority]; !hasAged {
			delete(aging.credits, priority)
		}
	}
	for priority, work := range largest {
		if aging.credits == nil {
			aging.credits = make(map[int]float64)
		}
		aging.credits[priority] = min(aging.credits[priority], work)
	}
}

// noteStart accounts for started tasks of a step.
func (aging *aging) noteStart(waitingStep *waitingStep, tasks int) {
	priority := waitingStep.queue.Priority
	if _, hasAged := aging.credits[priority]; !hasAged {
		return
	}
	work := waitingStep.step.estimatedWork(tasks)
	if waitingStep.aged {
		aging.credits[priority] -= work
	} else {
		aging.credits[priority] += work / agedShare
	}
}
