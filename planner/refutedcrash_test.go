package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// TestRefutedCrashOpensTheMinionOfItsTrial guards against a minion that stays closed because
// a trial was planned on it for a task of which it turns out that no minion has crashed
// under it: its minion had only been out of reach.
func TestRefutedCrashOpensTheMinionOfItsTrial(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.lostAnswerShare = 1
	simulation.submit(jobOf("a", smallStep(1, time.Minute)))
	simulation.advance(100 * time.Millisecond)
	simulation.lostAnswerShare = 0
	cut := simulation.runningOn(specifier.Task{Job: "a"})
	simulation.setReachable(false, cut.name)
	cut.unregistered = true
	simulation.deliverAllReports()
	simulation.store.addedAppendTime = 4 * time.Second // the trial waits for its record
	for !strings.Contains(simulation.decisionsAbout("a."), "minion-crashed") {
		simulation.advance(10 * time.Millisecond)
	}
	simulation.advance(time.Second)
	simulation.setReachable(true, cut.name)
	cut.unregistered = false
	simulation.deliverAllReports()
	simulation.advance(10 * time.Second)
	simulation.store.addedAppendTime = 0
	simulation.submit(jobOf("b", specifier.Step{Tasks: 2, Request: taskOf(20000, 4), EstimatedRunTime: time.Second, Gang: true}))
	simulation.advance(10 * time.Second)
	comment := quicktest.Commentf("%s", simulation.decisionsAbout(""))
	c.Assert(simulation.recordedState("b"), quicktest.Equals, specifier.Completed, comment)
	c.Assert(simulation.countWorking("a"), quicktest.Equals, 1, comment)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
