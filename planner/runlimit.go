package planner

import "corianderroad/identifier"

// workspaceMultiple is how many times the runs that stay free a workspace may have, so that a
// single one leaves a quarter of the limit to others.
const workspaceMultiple = 3

// runAllowance says how many runs a pass may start. A run needs memory at the holder, and its
// minion lists it in each answer, however little of the minion its task uses.
type runAllowance struct {
	limit, total int
	// byWorkspace are the runs of each workspace, nil while half of the limit is free: each
	// workspace may then start a quarter of it.
	byWorkspace map[identifier.Workspace]int
}

// newRunAllowance returns the allowance of a pass that begins now, nil if runs are not limited.
func (planner *Planner) newRunAllowance() *runAllowance {
	if planner.bounds.MaxRuns == 0 {
		return nil
	}
	allowance := &runAllowance{limit: planner.bounds.MaxRuns}
	for _, minion := range planner.minions {
		allowance.total += len(minion.runs)
	}
	if allowance.total > allowance.limit/2 {
		allowance.byWorkspace = planner.runsByWorkspace()
	}
	return allowance
}

func (planner *Planner) runsByWorkspace() map[identifier.Workspace]int {
	counts := make(map[identifier.Workspace]int)
	for _, minion := range planner.minions {
		for _, run := range minion.runs {
			counts[run.job().spec.Workspace]++
		}
	}
	return counts
}

// of returns how many runs a workspace may start.
func (allowance *runAllowance) of(workspace identifier.Workspace) int {
	free := max(allowance.limit-allowance.total, 0)
	if allowance.byWorkspace == nil {
		return min(free, allowance.limit/(workspaceMultiple+1))
	}
	return max((workspaceMultiple*free-allowance.byWorkspace[workspace])/(workspaceMultiple+1), 0)
}

// take counts runs that were started.
func (allowance *runAllowance) take(workspace identifier.Workspace, count int) {
	if allowance == nil {
		return
	}
	allowance.total += count
	if allowance.byWorkspace != nil {
		allowance.byWorkspace[workspace] += count
	}
}

// limitTasks reduces the tasks of a step to those that may be started. It returns false, and changes
// nothing, if none may: of a gang, and of a step whose tasks start together in one rack, all or none.
func (allowance *runAllowance) limitTasks(waitingStep *waitingStep) bool {
	if allowance == nil {
		return true
	}
	step := waitingStep.step
	allowed := allowance.of(step.occurrence.job.spec.Workspace)
	isWhole := step.spec.Gang || (step.spec.SameRack && !step.hasRuns())
	if allowed == 0 || (isWhole && allowed < waitingStep.taskCount) {
		return false
	}
	waitingStep.taskCount = min(waitingStep.taskCount, allowed)
	return true
}
