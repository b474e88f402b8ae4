package planner

import "corianderroad/identifier"

// guarantees caches which workspaces request no more than they are guaranteed.
// It is created for one pass and evaluates a workspace on its first use.
type guarantees struct {
	planner *Planner
	covered map[identifier.Workspace]bool
}

// covers reports whether all unfinished jobs of priority 0 of the job's
// workspace fit into its guarantee, so that the job may reclaim capacity at
// once.
func (guarantees *guarantees) covers(job *job) bool {
	workspace := job.spec.Workspace
	covered, cached := guarantees.covered[workspace]
	if !cached {
		covered = guarantees.planner.demandedAccelerators(workspace) <= guarantees.planner.guaranteedAccelerators(workspace)
		if guarantees.covered == nil {
			guarantees.covered = make(map[identifier.Workspace]bool)
		}
		guarantees.covered[workspace] = covered
	}
	return covered
}

// demandedAccelerators returns the accelerators that the unfinished jobs of
// priority 0 of a workspace need. A job counts with its first step, because
// that step must start within the reclaim bound.
func (planner *Planner) demandedAccelerators(workspace identifier.Workspace) int {
	sum := 0
	for _, job := range planner.openJobs {
		queue := planner.queue(job)
		if queue != nil && queue.Priority == 0 && job.spec.Workspace == workspace && !job.spec.IsLongRunning() {
			first := &job.spec.Steps[0]
			sum += first.Tasks * first.Request.Accelerators
		}
	}
	return sum
}

func (planner *Planner) guaranteedAccelerators(workspace identifier.Workspace) int {
	for index := range planner.policy.Workspaces {
		if planner.policy.Workspaces[index].Name == workspace {
			return planner.policy.Workspaces[index].Guaranteed
		}
	}
	return 0
}
