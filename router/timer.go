package router

import (
	"container/heap"
	"time"
)

// timer calls a function at a given time. It can be cancelled, so that the heap holds
// no timers of finished requests, whose deadlines may be hours away.
type timer struct {
	at    time.Time
	fire  func(now time.Time)
	index int
}

// timers is a heap of timers by time.
type timers []*timer

func (timers timers) Len() int           { return len(timers) }
func (timers timers) Less(i, j int) bool { return timers[i].at.Before(timers[j].at) }
func (timers timers) Swap(i, j int) {
	timers[i], timers[j] = timers[j], timers[i]
	timers[i].index, timers[j].index = i, j
}

// Push implements heap.Interface.
func (timers *timers) Push(entry any) {
	added := entry.(*timer)
	added.index = len(*timers)
	*timers = append(*timers, added)
}

// Pop implements heap.Interface.
func (timers *timers) Pop() any {
	last := len(*timers) - 1
	removed := (*timers)[last]
	(*timers)[last] = nil
	*timers = (*timers)[:last]
	removed.index = -1
	return removed
}

// set adds a timer and returns it, so that it can be cancelled.
func (timers *timers) set(at time.Time, fire func(now time.Time)) *timer {
	added := &timer{at: at, fire: fire}
	heap.Push(timers, added)
	return added
}

// cancel removes a timer. It does nothing for nil or a timer that has fired.
func (timers *timers) cancel(cancelled *timer) {
	if cancelled != nil && cancelled.index >= 0 {
		heap.Remove(timers, cancelled.index)
	}
}

// fire calls the timers that are due.
func (timers *timers) fire(now time.Time) {
	for len(*timers) > 0 && !(*timers)[0].at.After(now) {
		heap.Pop(timers).(*timer).fire(now)
	}
}

// next returns the time of the earliest timer, zero if there is none.
func (timers timers) next() time.Time {
	if len(timers) == 0 {
		return time.Time{}
	}
	return timers[0].at
}
