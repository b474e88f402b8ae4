package scheduler

import (
	"container/heap"
	"time"
)

// wakeup is a time at which the gang of a job must be advanced.
type wakeup struct {
	at  time.Time
	job *job
}

// wakeups is the timer queue of the gangs. A job has at most one valid wakeup,
// that at job.nextWakeup; the others are skipped when they are reached.
type wakeups struct{ entries wakeupHeap }

type wakeupHeap []wakeup

// Len implements heap.Interface.
func (entries wakeupHeap) Len() int { return len(entries) }

// Less implements heap.Interface. Equal times are ordered by the job's name, so
// that runs are reproducible.
func (entries wakeupHeap) Less(i, j int) bool {
	if !entries[i].at.Equal(entries[j].at) {
		return entries[i].at.Before(entries[j].at)
	}
	return entries[i].job.spec.Job < entries[j].job.spec.Job
}

// Swap implements heap.Interface.
func (entries wakeupHeap) Swap(i, j int) { entries[i], entries[j] = entries[j], entries[i] }

// Push implements heap.Interface.
func (entries *wakeupHeap) Push(entry any) { *entries = append(*entries, entry.(wakeup)) }

// Pop implements heap.Interface.
func (entries *wakeupHeap) Pop() any {
	last := (*entries)[len(*entries)-1]
	(*entries)[len(*entries)-1] = wakeup{}
	*entries = (*entries)[:len(*entries)-1]
	return last
}

// schedule ensures that the gang of the job is advanced at the given time or
// earlier.
func (wakeups *wakeups) schedule(job *job, at time.Time) {
	if at.IsZero() || (!job.nextWakeup.IsZero() && !at.Before(job.nextWakeup)) {
		return
	}
	job.nextWakeup = at
	heap.Push(&wakeups.entries, wakeup{at, job})
}

// due removes the wakeups that are due and returns their jobs.
func (wakeups *wakeups) due(now time.Time) []*job {
	var jobs []*job
	for len(wakeups.entries) > 0 && !wakeups.entries[0].at.After(now) {
		entry := heap.Pop(&wakeups.entries).(wakeup)
		if entry.job.nextWakeup.Equal(entry.at) {
			entry.job.nextWakeup = time.Time{}
			jobs = append(jobs, entry.job)
		}
	}
	return jobs
}

// next returns the time of the first wakeup, zero if there is none.
func (wakeups *wakeups) next() time.Time {
	for len(wakeups.entries) > 0 {
		if entry := wakeups.entries[0]; entry.job.nextWakeup.Equal(entry.at) {
			return entry.at
		}
		heap.Pop(&wakeups.entries)
	}
	return time.Time{}
}
