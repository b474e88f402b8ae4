package router

import (
	"container/heap"
	"time"

	"corianderroad/estimator"
	"corianderroad/identifier"
)

// queue holds the attempts that wait at this owner for the minions of one
// service, ordered by class, fair share and deadline.
type queue struct {
	minions []*minion
	shares  shares
	classes [estimator.ClassCount]classQueue
}

// classQueue holds the waiting attempts of one class by workspace.
type classQueue struct {
	byWorkspace map[identifier.Workspace]*byDeadline
	count       int
	// expected is the sum of the estimated run times by workspace.
	expected map[identifier.Workspace]time.Duration
}

func newQueue() *queue {
	queue := &queue{shares: newShares()}
	for class := range queue.classes {
		queue.classes[class].byWorkspace = map[identifier.Workspace]*byDeadline{}
		queue.classes[class].expected = map[identifier.Workspace]time.Duration{}
	}
	return queue
}

func (queue *queue) length() int {
	return queue.classes[estimator.Short].count + queue.classes[estimator.Long].count
}

// push adds a waiting attempt.
func (queue *queue) push(attempt *attempt, weight int) {
	class := &queue.classes[attempt.class]
	attempts := class.byWorkspace[attempt.call.Workspace]
	if attempts == nil {
		attempts = &byDeadline{}
		class.byWorkspace[attempt.call.Workspace] = attempts
	}
	heap.Push(attempts, attempt)
	class.count++
	class.expected[attempt.call.Workspace] += attempt.estimate
	queue.shares.addWaiting(attempt.call.Workspace, weight)
}

// remove removes a waiting attempt from any position.
func (queue *queue) remove(attempt *attempt) {
	class := &queue.classes[attempt.class]
	attempts := class.byWorkspace[attempt.call.Workspace]
	heap.Remove(attempts, attempt.index)
	class.expected[attempt.call.Workspace] -= attempt.estimate
	if attempts.Len() == 0 {
		delete(class.byWorkspace, attempt.call.Workspace)
		delete(class.expected, attempt.call.Workspace)
	}
	class.count--
}

// next returns the attempt of a class that is served next, nil if none waits. It
// has the earliest deadline of the workspace with the least use relative to its
// weight.
func (queue *queue) next(class estimator.Class, rules rules) *attempt {
	var next *attempt
	var least time.Duration
	for workspace, attempts := range queue.classes[class].byWorkspace {
		earliest := (*attempts)[0]
		used := queue.shares.accounts[workspace].used
		if rules.noFairShares {
			used = time.Duration(earliest.call.Deadline.UnixNano())
		}
		if rules.fifo {
			used = time.Duration(earliest.sequence)
		}
		if next == nil || used < least || (used == least && workspace < next.call.Workspace) {
			next, least = earliest, used
		}
	}
	return next
}

// largestBacklog returns the workspace with the most waiting attempts of a class
// relative to its weight, and the ratio of the two.
func (queue *queue) largestBacklog(class estimator.Class) (identifier.Workspace, float64) {
	var worst identifier.Workspace
	var highest float64
	for workspace, attempts := range queue.classes[class].byWorkspace {
		ratio := float64(attempts.Len()) / float64(queue.shares.accounts[workspace].weight)
		if ratio > highest || (ratio == highest && workspace < worst) {
			worst, highest = workspace, ratio
		}
	}
	return worst, highest
}

// sorted returns the waiting attempts in a fixed order.
func (queue *queue) sorted() []*attempt {
	var sorted []*attempt
	for class := range queue.classes {
		for _, attempts := range queue.classes[class].byWorkspace {
			sorted = append(sorted, *attempts...)
		}
	}
	sortAttempts(sorted)
	return sorted
}

// byDeadline is a heap of waiting attempts by deadline.
type byDeadline []*attempt

func (attempts byDeadline) Len() int { return len(attempts) }
func (attempts byDeadline) Less(i, j int) bool {
	if !attempts[i].fifo && !attempts[i].call.Deadline.Equal(attempts[j].call.Deadline) {
		return attempts[i].call.Deadline.Before(attempts[j].call.Deadline)
	}
	return attempts[i].sequence < attempts[j].sequence
}

func (attempts byDeadline) Swap(i, j int) {
	attempts[i], attempts[j] = attempts[j], attempts[i]
	attempts[i].index, attempts[j].index = i, j
}

// Push implements heap.Interface.
func (attempts *byDeadline) Push(entry any) {
	added := entry.(*attempt)
	added.index = len(*attempts)
	*attempts = append(*attempts, added)
}

// Pop implements heap.Interface.
func (attempts *byDeadline) Pop() any {
	last := len(*attempts) - 1
	removed := (*attempts)[last]
	(*attempts)[last] = nil
	*attempts = (*attempts)[:last]
	return removed
}
