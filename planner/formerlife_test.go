package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestLeaseOfALifeThatBeganBeforeATakeover guards against two runs of a task at the same time:
// an order to the earlier life of a minion gives the next one a long lease, the holder starts a
// task there and dies, and the minion is cut off. The next holder counted with the leases that
// holders send, and started the task elsewhere while its run went on.
func TestLeaseOfALifeThatBeganBeforeATakeover(t *testing.T) {
	t.Parallel()
	const longLease = 10 * time.Second
	for name, isListed := range map[string]bool{"listed": true, "entry-removed-during-the-wait": false} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newLeasedSimulation(1, 2, 3, longLease)
			first, second := simulation.nodes[0], simulation.nodes[1]
			restarted := simulation.minions["m00"]
			simulation.makeHolder(first)
			simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute, Label: "a"}))
			simulation.advance(40 * time.Second)
			simulation.minions["m01"].kind, simulation.minions["m02"].kind = "b", "b"
			simulation.deliverAllReports()
			c.Assert(restarted.runs, quicktest.HasLen, 1)
			restarted.crash()
			simulation.advance(600 * time.Millisecond)
			restarted.start()
			simulation.schedule(3*time.Second, simulation.deliverAllReports) // a poll comes before
			for len(restarted.runs) == 0 && simulation.now.Sub(restarted.started) < 10*time.Second {
				simulation.advance(time.Millisecond)
			}
			c.Assert(restarted.lease-restarted.clock() > longestLease, quicktest.IsTrue)
			first.alive = false
			restarted.unreachableFrom[second] = true
			simulation.minions["m01"].kind = "a"
			simulation.advance(claimTimeout)
			simulation.makeHolder(second)
			if !isListed {
				simulation.schedule(3*time.Second, func() {
					restarted.unregistered = true
					simulation.deliverAllReports()
				})
			}
			simulation.advance(40 * time.Second)
			c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
			c.Assert(simulation.countWorking("a"), quicktest.Equals, 1)
		})
	}
}

// TestTakeoverWaitsForNoOtherMinion guards against a takeover that takes longer than the leases
// that holders send, although no minion may have a longer one: those that began lately answer,
// or have ended, and those that do not answer began long ago.
func TestTakeoverWaitsForNoOtherMinion(t *testing.T) {
	t.Parallel()
	const longLease = 10 * time.Second
	for name, disrupt := range map[string]func(minion *fakeMinion){
		"answers":        func(minion *fakeMinion) { minion.start() },
		"began-long-ago": func(minion *fakeMinion) { minion.faults.loses = func(messenger.Order) bool { return true } },
		"refuses":        func(minion *fakeMinion) { minion.start(); minion.faults.refusesConnections = true },
		"began-and-left": func(minion *fakeMinion) {
			minion.start()
			minion.faults.draining = true
			minion.faults.loses = func(messenger.Order) bool { return true }
			minion.simulation.schedule(3*time.Second, func() {
				minion.unregistered = true
				minion.simulation.deliverAllReports()
			})
		},
		"began-and-crashed": func(minion *fakeMinion) { minion.start(); minion.crash(); minion.faults.refusesConnections = true },
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newLeasedSimulation(1, 2, 3, longLease)
			first, second := simulation.nodes[0], simulation.nodes[1]
			simulation.makeHolder(first)
			simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
			simulation.advance(40 * time.Second)
			disrupt(simulation.minions["m00"])
			first.alive = false
			simulation.advance(claimTimeout)
			simulation.makeHolder(second)
			simulation.advance(7 * time.Second)
			c.Assert(simulation.countWorking("a") >= 1, quicktest.IsTrue, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
			c.Assert(simulation.violations, quicktest.HasLen, 0)
		})
	}
}

// TestTakeoverEndsWithoutAMinionThatNeverReturns guards against tasks that wait long after a
// takeover for a minion that began shortly before and is lost for good: no lease that was
// received before the former holder's last order lasts longer than minions grant.
func TestTakeoverEndsWithoutAMinionThatNeverReturns(t *testing.T) {
	t.Parallel()
	const longLease = 10 * time.Second
	c := quicktest.New(t)
	simulation := newLeasedSimulation(1, 2, 3, longLease)
	first, second := simulation.nodes[0], simulation.nodes[1]
	simulation.makeHolder(first)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
	simulation.advance(40 * time.Second)
	lost := simulation.minions["m00"]
	c.Assert(lost.runs, quicktest.HasLen, 1)
	lost.start()
	lost.faults.loses = func(messenger.Order) bool { return true }
	first.alive = false
	simulation.advance(claimTimeout)
	simulation.makeHolder(second)
	simulation.advance(5 * time.Second)
	lost.unregistered = true
	simulation.deliverAllReports()
	simulation.advance(8 * time.Second)
	c.Assert(simulation.countWorking("a"), quicktest.Equals, 1, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
