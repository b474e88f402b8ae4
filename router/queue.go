package router

import (
	"container/heap"
	"time"

	"corianderroad/estimator"
	"corianderroad/identifier"
)

// queue holds what waits at this owner for the minions of one service, in the
// order of class, fair share and deadline.
type queue struct {
	minions []*minion
	shares  shares
	classes [estimator.Classes]classQueue
}

// classQueue holds the waiting requests of one class by workspace.
type classQueue struct {
	byWorkspace map[identifier.Workspace]*byDeadline
	count       int
	// expected is the sum of the estimated run times by workspace.
	expected map[identifier.Workspace]time.Duration
}

func newQueue() *queue {
	added := &queue{shares: newShares()}
	for class := range added.classes {
		added.classes[class].byWorkspace = map[identifier.Workspace]*byDeadline{}
		added.classes[class].expected = map[identifier.Workspace]time.Duration{}
	}
	return added
}

func (queue *queue) length() int {
	return queue.classes[estimator.Short].count + queue.classes[estimator.Long].count
}

// push adds a waiting request.
func (queue *queue) push(added *work, weight int) {
	class := &queue.classes[added.class]
	waiting := class.byWorkspace[added.call.Workspace]
	if waiting == nil {
		waiting = &byDeadline{}
		class.byWorkspace[added.call.Workspace] = waiting
	}
	heap.Push(waiting, added)
	class.count++
	class.expected[added.call.Workspace] += added.estimate
	queue.shares.enter(added.call.Workspace, weight)
}

// remove takes out a waiting request, wherever it stands.
func (queue *queue) remove(removed *work) {
	class := &queue.classes[removed.class]
	waiting := class.byWorkspace[removed.call.Workspace]
	heap.Remove(waiting, removed.index)
	class.expected[removed.call.Workspace] -= removed.estimate
	if waiting.Len() == 0 {
		delete(class.byWorkspace, removed.call.Workspace)
		delete(class.expected, removed.call.Workspace)
	}
	class.count--
}

// first returns the request of a class that is served next, nil if none waits:
// the earliest deadline of the workspace that has used the least for its weight.
func (queue *queue) first(class estimator.Class, rules rules) *work {
	var next *work
	var least time.Duration
	for workspace, waiting := range queue.classes[class].byWorkspace {
		head := (*waiting)[0]
		used := queue.shares.accounts[workspace].used
		if rules.noShares {
			used = time.Duration(head.call.Deadline.UnixNano())
		}
		if rules.noOrder {
			used = time.Duration(head.sequence)
		}
		if next == nil || used < least || (used == least && workspace < next.call.Workspace) {
			next, least = head, used
		}
	}
	return next
}

// longest returns the workspace whose waiting requests of a class exceed its
// weight the most, and by how much.
func (queue *queue) longest(class estimator.Class) (identifier.Workspace, float64) {
	var worst identifier.Workspace
	var highest float64
	for workspace, waiting := range queue.classes[class].byWorkspace {
		ratio := float64(waiting.Len()) / float64(queue.shares.accounts[workspace].weight)
		if ratio > highest || (ratio == highest && workspace < worst) {
			worst, highest = workspace, ratio
		}
	}
	return worst, highest
}

// all returns the waiting requests in a fixed order.
func (queue *queue) all() []*work {
	var waiting []*work
	for class := range queue.classes {
		for _, entries := range queue.classes[class].byWorkspace {
			waiting = append(waiting, *entries...)
		}
	}
	sortWorks(waiting)
	return waiting
}

// byDeadline is a heap of waiting requests by deadline.
type byDeadline []*work

func (works byDeadline) Len() int { return len(works) }
func (works byDeadline) Less(i, j int) bool {
	if !works[i].fifo && !works[i].call.Deadline.Equal(works[j].call.Deadline) {
		return works[i].call.Deadline.Before(works[j].call.Deadline)
	}
	return works[i].sequence < works[j].sequence
}

func (works byDeadline) Swap(i, j int) {
	works[i], works[j] = works[j], works[i]
	works[i].index, works[j].index = i, j
}

// Push implements heap.Interface.
func (works *byDeadline) Push(entry any) {
	added := entry.(*work)
	added.index = len(*works)
	*works = append(*works, added)
}

// Pop implements heap.Interface.
func (works *byDeadline) Pop() any {
	last := len(*works) - 1
	removed := (*works)[last]
	(*works)[last] = nil
	*works = (*works)[:last]
	return removed
}
