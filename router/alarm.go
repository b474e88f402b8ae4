package router

import (
	"container/heap"
	"time"
)

// alarm is a call of ring at a time. It can be cancelled, so that the heap
// holds no entry of a finished request, whose deadline may be hours away.
type alarm struct {
	at    time.Time
	ring  func(now time.Time)
	index int
}

// alarms is a heap of alarms by time.
type alarms []*alarm

func (alarms alarms) Len() int           { return len(alarms) }
func (alarms alarms) Less(i, j int) bool { return alarms[i].at.Before(alarms[j].at) }
func (alarms alarms) Swap(i, j int) {
	alarms[i], alarms[j] = alarms[j], alarms[i]
	alarms[i].index, alarms[j].index = i, j
}

// Push implements heap.Interface.
func (alarms *alarms) Push(entry any) {
	added := entry.(*alarm)
	added.index = len(*alarms)
	*alarms = append(*alarms, added)
}

// Pop implements heap.Interface.
func (alarms *alarms) Pop() any {
	last := len(*alarms) - 1
	removed := (*alarms)[last]
	(*alarms)[last] = nil
	*alarms = (*alarms)[:last]
	removed.index = -1
	return removed
}

// set adds an alarm and returns it for cancel.
func (alarms *alarms) set(at time.Time, ring func(now time.Time)) *alarm {
	added := &alarm{at: at, ring: ring}
	heap.Push(alarms, added)
	return added
}

// cancel removes an alarm. It does nothing for nil or an alarm that rang.
func (alarms *alarms) cancel(cancelled *alarm) {
	if cancelled != nil && cancelled.index >= 0 {
		heap.Remove(alarms, cancelled.index)
	}
}

// ring calls the alarms that are due.
func (alarms *alarms) ring(now time.Time) {
	for len(*alarms) > 0 && !(*alarms)[0].at.After(now) {
		heap.Pop(alarms).(*alarm).ring(now)
	}
}

// next returns the time of the earliest alarm, zero if there is none.
func (alarms alarms) next() time.Time {
	if len(alarms) == 0 {
		return time.Time{}
	}
	return alarms[0].at
}
