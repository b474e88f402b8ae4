package planner

import (
	"testing"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// TestNeighborOfCrashingTasksIsNotGivenUp guards against a job that is shown as failed because
// its task was four times on a minion that another one crashed (soak, seed 40002): the crashes
// make it suspect, and only one while it is alone on trial can end its job.
func TestNeighborOfCrashingTasksIsNotGivenUp(t *testing.T) {
	c := quicktest.New(t)
	neighbor := &task{}
	for range maxCrashes {
		neighbor.crashes = append(neighbor.crashes, crash{age: 2 * recentStart, evidence: specifier.Proven, cleared: true})
	}
	c.Assert(neighbor.isGivenUp(), quicktest.IsFalse)
	c.Assert(neighbor.isSuspect(), quicktest.IsTrue)
	neighbor.crashes = append(neighbor.crashes, crash{evidence: specifier.Restarted, onTrial: true})
	c.Assert(neighbor.isGivenUp(), quicktest.IsTrue)
}
