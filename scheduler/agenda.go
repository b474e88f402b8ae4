package scheduler

import (
	"container/heap"
	"time"
)

// appointment is a time at which a job's gang wants to be driven.
type appointment struct {
	at  time.Time
	job *job
}

// agenda is a heap of appointments. A job has at most one that counts, its
// wake; others are passed over.
type agenda struct{ entries appointments }

type appointments []appointment

// Len implements heap.Interface.
func (entries appointments) Len() int { return len(entries) }

// Less implements heap.Interface. Ties go by name, so that runs can be repeated.
func (entries appointments) Less(i, j int) bool {
	if !entries[i].at.Equal(entries[j].at) {
		return entries[i].at.Before(entries[j].at)
	}
	return entries[i].job.spec.Job < entries[j].job.spec.Job
}

// Swap implements heap.Interface.
func (entries appointments) Swap(i, j int) { entries[i], entries[j] = entries[j], entries[i] }

// Push implements heap.Interface.
func (entries *appointments) Push(entry any) { *entries = append(*entries, entry.(appointment)) }

// Pop implements heap.Interface.
func (entries *appointments) Pop() any {
	last := (*entries)[len(*entries)-1]
	(*entries)[len(*entries)-1] = appointment{}
	*entries = (*entries)[:len(*entries)-1]
	return last
}

// schedule makes sure that the job is driven at the given time or earlier.
func (agenda *agenda) schedule(job *job, at time.Time) {
	if at.IsZero() || (!job.wake.IsZero() && !at.Before(job.wake)) {
		return
	}
	job.wake = at
	heap.Push(&agenda.entries, appointment{at, job})
}

// due removes and returns the jobs whose time has come.
func (agenda *agenda) due(now time.Time) []*job {
	var jobs []*job
	for len(agenda.entries) > 0 && !agenda.entries[0].at.After(now) {
		entry := heap.Pop(&agenda.entries).(appointment)
		if entry.job.wake.Equal(entry.at) {
			entry.job.wake = time.Time{}
			jobs = append(jobs, entry.job)
		}
	}
	return jobs
}

// next returns the time of the first appointment, zero if there is none.
func (agenda *agenda) next() time.Time {
	for len(agenda.entries) > 0 {
		if entry := agenda.entries[0]; entry.job.wake.Equal(entry.at) {
			return entry.at
		}
		heap.Pop(&agenda.entries)
	}
	return time.Time{}
}
