package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// TestLateStartBehindCutRunsOnce guards against two runs of a task at the same time: its start is
// carried out late by the next life of its minion, behind a cut that hides that life, after the
// leases of the earlier life have expired.
func TestLateStartBehindCutRunsOnce(t *testing.T) {
	t.Parallel()
	for _, refuses := range []bool{false, true} { // connections while it is down
		for _, delay := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprintf("refuses=%t,delay=%s", refuses, delay), func(t *testing.T) {
				c := quicktest.New(t)
				simulation, lost := newLostStart(delay, false)
				lost.faults.refusesConnections = refuses
				simulation.advance(time.Second)
				lost.start()
				lost.faults.refusesConnections = false
				simulation.advance(4500 * time.Millisecond)
				clear(lost.unreachableFrom)
				lost.unregistered = false
				simulation.deliverAllReports()
				simulation.advance(20 * time.Second)
				c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
				c.Assert(simulation.countWorking("a"), quicktest.Equals, 1)
			})
		}
	}
}

// newLostStart returns a simulation in which the first start of a job is carried out late and its
// minion is cut off, crashes and loses its entry meanwhile.
func newLostStart(delay time.Duration, isLasting bool) (*simulation, *fakeMinion) {
	simulation := newSimulation(1, 1, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(20 * time.Second)
	lost := simulation.minions["m00"]
	delayFirstStart(lost, delay)
	simulation.minions["m01"].kind = "b"
	simulation.deliverAllReports()
	simulation.submit(jobOf("a", specifier.Step{
		Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute, Label: "a", LongRunning: isLasting,
	}))
	simulation.advance(100 * time.Millisecond)
	simulation.minions["m01"].kind = "a"
	simulation.setReachable(false, lost.name)
	lost.crash()
	lost.unregistered = true
	simulation.schedule(4500*time.Millisecond, simulation.deliverAllReports) // three heartbeats
	return simulation, lost
}

// TestUnansweredStartWaitsForNoEndedMinion guards against tasks that wait too long because their
// start got no answer: from a minion that never returns for maxSilence at most, and not at all
// beyond the lease if nothing listens at its address any more, another minion is listed there, or
// the task lasts.
func TestUnansweredStartWaitsForNoEndedMinion(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		refuses, isLasting, isReplaced bool
		longest                        time.Duration
	}{
		"silent":   {longest: 13 * time.Second},
		"refuses":  {refuses: true, longest: 6 * time.Second},
		"replaced": {isReplaced: true, longest: 6 * time.Second},
		"lasting":  {isLasting: true, longest: 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation, lost := newLostStart(8*time.Second, test.isLasting)
			lost.faults.refusesConnections = test.refuses
			if test.isReplaced { // by one that can't be reached either
				simulation.schedule(2*time.Second, func() {
					next := newFakeMinion(simulation, "m00-1", lost.rack)
					next.address, next.kind, next.unreachableFrom = lost.address, "b", lost.unreachableFrom
					simulation.minions[next.name] = next
					simulation.deliverAllReports()
				})
			}
			simulation.advance(test.longest)
			c.Assert(simulation.countWorking("a"), quicktest.Equals, 1, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
		})
	}
}
