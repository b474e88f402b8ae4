package planner

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
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

// TestUnprovenCrashesEndNoJobByThemselves guards against a job that is shown as failed (LOST) for
// crashes that prove nothing: they count beside three certain ones only, of which the task was
// alone on trial in some that no other minions shared.
func TestUnprovenCrashesEndNoJobByThemselves(t *testing.T) {
	t.Parallel()
	unproven := crash{age: time.Second}
	onTrial := crash{age: time.Second, onTrial: true}
	certain := crash{age: time.Second, evidence: specifier.Restarted}
	shared := crash{age: time.Second, evidence: specifier.Restarted, onTrial: true}
	isolated := crash{age: time.Second, evidence: specifier.Restarted, onTrial: true, isIsolated: true}
	cases := []struct {
		crashes   []crash
		isGivenUp bool
	}{
		{[]crash{unproven, onTrial, onTrial, onTrial, isolated, isolated}, false},
		{[]crash{certain, isolated, isolated}, false},
		{[]crash{unproven, certain, certain, isolated}, false},
		{[]crash{unproven, unproven, certain, certain, isolated}, false},
		{[]crash{unproven, certain, shared, shared}, false},
		{[]crash{certain, certain, onTrial, onTrial, shared}, false},
		{[]crash{unproven, certain, isolated, isolated}, true},
		{[]crash{certain, certain, onTrial, onTrial, isolated}, true},
		{[]crash{certain, certain, certain, shared}, true},
	}
	for number, test := range cases {
		task := &task{}
		task.ownHistory().crashes = test.crashes
		quicktest.New(t).Check(task.isGivenUp(), quicktest.Equals, test.isGivenUp, quicktest.Commentf("case %d", number))
	}
}

// TestCrashBesideOthersIsNotIsolated guards against a job that is shown as failed (LOST) for
// crashes of its trials in which other minions crashed as well, also if tasks explain those.
func TestCrashBesideOthersIsNotIsolated(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	at := time.UnixMilli(1_000_000)
	next := identifier.Incarnation(at.UnixMilli())
	planner := &Planner{births: []birth{{at: at, hadTrial: true}, {at: at.Add(maxBirthSpread), hadTrial: true}}}
	c.Assert(planner.isIsolatedBirth(next), quicktest.IsTrue)
	planner.births = append(planner.births, birth{at: at, isExplained: true}, birth{at: at.Add(2 * maxBirthSpread), isExplained: true})
	c.Assert(planner.isIsolatedBirth(next), quicktest.IsTrue)
	planner.births = append(planner.births, birth{at: at.Add(-maxBirthSpread), isExplained: true})
	c.Assert(planner.isIsolatedBirth(next), quicktest.IsFalse)
	c.Assert(planner.isIsolatedBirth(0), quicktest.IsFalse)
}
