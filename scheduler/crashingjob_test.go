package scheduler_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/commander"
	"corianderroad/scheduler"
)

// Times of a task that crashes its worker.
const (
	crashDelay    = time.Second
	crashDowntime = 20 * time.Second
)

// TestJobThatCrashesItsWorkersEnds guards against a job that crashes one worker after the
// other for ever. A job whose tasks fail ends after nine attempts.
func TestJobThatCrashesItsWorkersEnds(t *testing.T) {
	simulation := newSimulation(t, 1)
	holder := simulation.addNode(scheduler.Parameters{})
	simulation.addWorkers(1, 4, 8)
	simulation.setMembers(holder)
	simulation.submit(commander.JobSpec{
		Job: "bad", Workspace: "lawns", Shape: commander.Shape{Members: 1, Accelerators: 8},
	}, behaviour{runTime: time.Minute, crashesWorkers: true})
	simulation.run(2 * time.Hour)
	_, ended := simulation.outcomes["bad"]
	quicktest.Assert(t, ended, quicktest.IsTrue, quicktest.Commentf("%d gangs have started", len(simulation.gangs)))
}
