package planner

import "corianderroad/identifier"

// guarantees tells which workspaces ask for no more than they are guaranteed.
// It is made for one pass and counts a workspace when it is first asked about.
type guarantees struct {
	planner *Planner
	kept    map[identifier.Workspace]bool
}

// covers reports whether all unfinished jobs of priority 0 of the job's
// workspace fit into its guarantee, so that the job may claim its room at once.
func (guarantees *guarantees) covers(known *job) bool {
	workspace := known.spec.Workspace
	covered, counted := guarantees.kept[workspace]
	if !counted {
		covered = guarantees.planner.claimed(workspace) <= guarantees.planner.guaranteed(workspace)
		if guarantees.kept == nil {
			guarantees.kept = make(map[identifier.Workspace]bool)
		}
		guarantees.kept[workspace] = covered
	}
	return covered
}

// claimed returns the accelerators that the unfinished jobs of priority 0 of a
// workspace need. A job counts with its first step, which is what must begin
// within the bound.
func (planner *Planner) claimed(workspace identifier.Workspace) int {
	sum := 0
	for _, known := range planner.live {
		queue := planner.queue(known)
		if queue != nil && queue.Priority == 0 && known.spec.Workspace == workspace && !known.spec.IsLongRunning() {
			first := &known.spec.Steps[0]
			sum += first.Tasks * first.Request.Accelerators
		}
	}
	return sum
}

func (planner *Planner) guaranteed(workspace identifier.Workspace) int {
	for index := range planner.policy.Workspaces {
		if planner.policy.Workspaces[index].Name == workspace {
			return planner.policy.Workspaces[index].Guaranteed
		}
	}
	return 0
}
