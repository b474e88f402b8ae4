package planner

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// TestNeighborOfCrashingTasksIsNotGivenUp guards against a job that is shown as failed because
// its task was four times on a minion that another one crashed (soak, seed 40002): the crashes
// make it suspect, and only one while it is alone on trial can end its job.
func TestNeighborOfCrashingTasksIsNotGivenUp(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	neighbor := &task{}
	for range maxCrashes {
		neighbor.ownHistory().crashes = append(neighbor.history().crashes, crash{age: 2 * recentStart, evidence: specifier.Proven, cleared: true})
	}
	c.Assert(neighbor.isGivenUp(), quicktest.IsFalse)
	c.Assert(neighbor.isSuspect(), quicktest.IsTrue)
	neighbor.ownHistory().crashes = append(neighbor.history().crashes, crash{evidence: specifier.Restarted, onTrial: true})
	c.Assert(neighbor.isGivenUp(), quicktest.IsTrue)
}

// TestGangWhoseMembersCrashInTurnIsGivenUp guards against a gang that is started too often
// (BUDGET, soak, seed 50001), because each run crashes the minion of another member.
func TestGangWhoseMembersCrashInTurnIsGivenUp(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	gang := &step{spec: &specifier.Step{Gang: true}, tasks: make([]task, 3), crashedTasks: []int{0, 1, 2}}
	crashIn := func(run uint64, index int) {
		added := crash{placement: placement{run: run}, evidence: specifier.Restarted, onTrial: run == maxCrashes}
		gang.tasks[index].ownHistory().crashes = append(gang.tasks[index].history().crashes, added)
	}
	for run := range uint64(maxCrashes) {
		c.Assert(gang.hasGivenUpTask(time.Time{}), quicktest.IsFalse)
		crashIn(run+1, int(run)%len(gang.tasks))
	}
	c.Assert(gang.hasGivenUpTask(time.Time{}), quicktest.IsTrue)
}

// TestClearedTaskHoldsUpNoTrial guards against a step that waits for ever (soak, seed 51020): a
// task with more crashes than the suspect one is not suspect, and no run of it ends.
func TestClearedTaskHoldsUpNoTrial(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	cleared := crash{placement: placement{run: 1}, age: time.Second, evidence: specifier.Proven, cleared: true}
	late := crash{placement: placement{run: 2}, age: 2 * recentStart, evidence: specifier.Proven}
	step := &step{spec: &specifier.Step{}, tasks: make([]task, 2), crashedTasks: []int{0, 1}, isLikelyCause: true}
	step.tasks[0].ownHistory().crashes = []crash{cleared, late}
	step.tasks[1].ownHistory().crashes = []crash{{placement: placement{run: 3}, age: time.Second, evidence: specifier.Proven}}
	c.Assert(step.tasks[0].isSuspect(), quicktest.IsFalse)
	c.Assert(step.tasksForTrial(time.Time{}), quicktest.DeepEquals, []int{1})
}
