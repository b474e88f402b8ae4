package scheduler

import (
	"cmp"
	"slices"

	"corianderroad/identifier"
)

// line is the order in which a pass considers the waiting jobs: urgent jobs
// first, then workspaces below their guarantee, then by share over weight.
type line struct {
	pass  *pass
	turns []*turn
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
	return line
}

// next returns the next job and moves the line on, nil at its end.
func (line *line) next() *job {
	var best *turn
	for _, turn := range line.turns {
		if len(turn.jobs) > 0 && (best == nil || line.compare(turn, best) < 0) {
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
