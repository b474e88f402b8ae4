package scheduler

import (
	"cmp"
	"slices"

	"corianderroad/identifier"
)

// line is the order in which a pass considers the waiting jobs: urgent jobs
// first, then workspaces below their guarantee, then by share over weight.
type line struct {
	turns []*turn
}

// turn is the position of one workspace in the line.
type turn struct {
	workspace identifier.Workspace
	jobs      []*job
	used      int
	weight    int
}

func (pass *pass) lines() *line {
	used := pass.region.usage(pass.scheduler)
	line := &line{}
	for workspace, queue := range pass.region.queues {
		if len(queue.jobs) == 0 {
			continue
		}
		line.turns = append(line.turns, &turn{
			workspace: workspace, jobs: slices.Clone(queue.jobs), used: used[workspace],
			weight: max(1, pass.scheduler.workspaces[workspace].Weight),
		})
	}
	return line
}

// usage returns the accelerators that each workspace occupies in the region.
func (region *region) usage(scheduler *Scheduler) map[identifier.Workspace]int {
	used := make(map[identifier.Workspace]int)
	for _, job := range scheduler.jobs {
		if job.region == region.name {
			used[job.spec.Workspace] += len(job.holding) * job.spec.Shape.Accelerators
		}
	}
	return used
}

// next returns the next job and moves the line on, nil at its end.
func (line *line) next() *job {
	var best *turn
	for _, turn := range line.turns {
		if len(turn.jobs) > 0 && (best == nil || turn.compare(best) < 0) {
			best = turn
		}
	}
	if best == nil {
		return nil
	}
	job := best.jobs[0]
	best.jobs = best.jobs[1:]
	return job
}

// placed counts what a job of the line now uses.
func (line *line) placed(job *job) {
	for _, turn := range line.turns {
		if turn.workspace == job.spec.Workspace {
			turn.used += job.spec.Shape.Total()
		}
	}
}

func (turn *turn) compare(other *turn) int {
	a, b := turn.jobs[0], other.jobs[0]
	if a.spec.Urgent != b.spec.Urgent {
		return compareJobs(a, b)
	}
	return cmp.Or(cmp.Compare(turn.used*other.weight, other.used*turn.weight), compareJobs(a, b))
}
