package scheduler

import (
	"cmp"
	"container/heap"
	"slices"

	"corianderroad/identifier"
)

// line is the order in which a pass considers the waiting jobs: urgent jobs
// first, then workspaces below their guarantee, then by share over weight. It
// is a heap of the workspaces, because a placement changes the position of its
// own workspace only.
type line struct {
	pass  *pass
	turns []*turn
	// taken is the workspace of the job that next returned last.
	taken *turn
}

// turn is the position of one workspace in the line.
type turn struct {
	workspace identifier.Workspace
	jobs      []*job
	weight    int
}

func (pass *pass) line() *line {
	line := &line{pass: pass}
	for workspace, queue := range pass.region.queues {
		if len(queue.jobs) == 0 {
			continue
		}
		line.turns = append(line.turns, &turn{
			workspace: workspace, jobs: slices.Clone(queue.jobs),
			weight: max(1, pass.scheduler.workspaces[workspace].Weight),
		})
	}
	heap.Init(line)
	return line
}

// next returns the next job and moves the line on, nil at its end.
func (line *line) next() *job {
	if line.taken != nil && len(line.taken.jobs) > 0 {
		heap.Push(line, line.taken)
	}
	line.taken = nil
	if len(line.turns) == 0 {
		return nil
	}
	line.taken = heap.Pop(line).(*turn)
	job := line.taken.jobs[0]
	line.taken.jobs = line.taken.jobs[1:]
	return job
}

// Len implements heap.Interface.
func (line *line) Len() int { return len(line.turns) }

// Less implements heap.Interface.
func (line *line) Less(i, j int) bool { return line.compare(line.turns[i], line.turns[j]) < 0 }

// Swap implements heap.Interface.
func (line *line) Swap(i, j int) { line.turns[i], line.turns[j] = line.turns[j], line.turns[i] }

// Push implements heap.Interface.
func (line *line) Push(entry any) { line.turns = append(line.turns, entry.(*turn)) }

// Pop implements heap.Interface.
func (line *line) Pop() any {
	last := line.turns[len(line.turns)-1]
	line.turns = line.turns[:len(line.turns)-1]
	return last
}

// compare orders the heads of two workspaces.
func (line *line) compare(one, other *turn) int {
	a, b := one.jobs[0], other.jobs[0]
	if a.spec.Urgent != b.spec.Urgent || !line.pass.scheduler.parameters.uses(FairOrder) {
		return compareJobs(a, b)
	}
	if below := line.pass.within(a); below != line.pass.within(b) {
		if below {
			return -1
		}
		return 1
	}
	used := line.pass.used
	return cmp.Or(cmp.Compare(used[one.workspace]*other.weight, used[other.workspace]*one.weight), compareJobs(a, b))
}
