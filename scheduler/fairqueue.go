package scheduler

import (
	"cmp"
	"container/heap"
	"slices"

	"corianderroad/identifier"
)

// fairQueue orders the waiting jobs of a pass: urgent jobs first, then workspaces
// below their guarantee, then by used accelerators over weight. It is a heap of
// the workspaces, because a placement changes the position of its own workspace
// only.
type fairQueue struct {
	pass    *pass
	entries []*fairQueueEntry
	// current is the entry from which the last call of next returned a job. It is
	// not in entries until next is called again.
	current *fairQueueEntry
}

// fairQueueEntry contains the remaining jobs and the weight of one workspace.
type fairQueueEntry struct {
	workspace identifier.Workspace
	jobs      []*job
	weight    int
}

func (pass *pass) newFairQueue() *fairQueue {
	fairQueue := &fairQueue{pass: pass}
	for workspace, queue := range pass.region.queues {
		if len(queue.jobs) == 0 {
			continue
		}
		fairQueue.entries = append(fairQueue.entries, &fairQueueEntry{
			workspace: workspace, jobs: slices.Clone(queue.jobs),
			weight: max(1, pass.scheduler.workspaces[workspace].Weight),
		})
	}
	heap.Init(fairQueue)
	return fairQueue
}

// next removes and returns the next job, nil if there is none.
func (fairQueue *fairQueue) next() *job {
	if fairQueue.current != nil && len(fairQueue.current.jobs) > 0 {
		heap.Push(fairQueue, fairQueue.current)
	}
	fairQueue.current = nil
	if len(fairQueue.entries) == 0 {
		return nil
	}
	fairQueue.current = heap.Pop(fairQueue).(*fairQueueEntry)
	job := fairQueue.current.jobs[0]
	fairQueue.current.jobs = fairQueue.current.jobs[1:]
	return job
}

// Len implements heap.Interface.
func (fairQueue *fairQueue) Len() int { return len(fairQueue.entries) }

// Less implements heap.Interface.
func (fairQueue *fairQueue) Less(i, j int) bool {
	return fairQueue.compare(fairQueue.entries[i], fairQueue.entries[j]) < 0
}

// Swap implements heap.Interface.
func (fairQueue *fairQueue) Swap(i, j int) {
	fairQueue.entries[i], fairQueue.entries[j] = fairQueue.entries[j], fairQueue.entries[i]
}

// Push implements heap.Interface.
func (fairQueue *fairQueue) Push(entry any) {
	fairQueue.entries = append(fairQueue.entries, entry.(*fairQueueEntry))
}

// Pop implements heap.Interface.
func (fairQueue *fairQueue) Pop() any {
	last := fairQueue.entries[len(fairQueue.entries)-1]
	fairQueue.entries = fairQueue.entries[:len(fairQueue.entries)-1]
	return last
}

// compare orders two workspaces by their first jobs.
func (fairQueue *fairQueue) compare(one, other *fairQueueEntry) int {
	a, b := one.jobs[0], other.jobs[0]
	if a.spec.Urgent != b.spec.Urgent || !fairQueue.pass.scheduler.parameters.isEnabled(FairOrder) {
		return compareJobs(a, b)
	}
	if below := fairQueue.pass.isWithinGuarantee(a); below != fairQueue.pass.isWithinGuarantee(b) {
		if below {
			return -1
		}
		return 1
	}
	used := fairQueue.pass.used
	return cmp.Or(cmp.Compare(used[one.workspace]*other.weight, used[other.workspace]*one.weight), compareJobs(a, b))
}
