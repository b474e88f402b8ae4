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
	for name, isListed := range map[string]bool{"listed": true, "entry-removed-during-the-wait": false} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation, restarted := newLifeWithLongLease(c)
			second := simulation.nodes[1]
			restarted.unreachableFrom[second] = true
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

// TestRefusedConnectionEndsNoLongLease guards against two runs of a task in the case above, if the
// minion refuses connections for a moment before it is cut off. It runs its task all the while.
func TestRefusedConnectionEndsNoLongLease(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation, restarted := newLifeWithLongLease(c)
	second := simulation.nodes[1]
	restarted.faults.refusesConnections = true
	simulation.advance(claimTimeout)
	simulation.makeHolder(second)
	simulation.schedule(500*time.Millisecond, func() {
		restarted.faults.refusesConnections, restarted.unreachableFrom[second] = false, true
	})
	simulation.advance(40 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.countWorking("a"), quicktest.Equals, 1)
}

// TestScatteredRefusalsEndNoLongLease guards against two runs of a task in the case above, if the minion
// refuses single connections seconds apart. All orders between them bring no answer.
func TestScatteredRefusalsEndNoLongLease(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation, restarted := newLifeWithLongLease(c)
	second := simulation.nodes[1]
	restarted.unreachableFrom[second] = true
	simulation.advance(claimTimeout)
	restarted.faults.refusedConnections = 1
	simulation.makeHolder(second)
	for delay := time.Second; delay < 8*time.Second; delay += time.Second {
		simulation.schedule(delay, func() { restarted.faults.refusedConnections = 1 })
	}
	simulation.advance(40 * time.Second)
	c.Check(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Check(simulation.countWorking("a"), quicktest.Equals, 1)
}

// TestRefusalsAfterASilenceEndNoLongLease guards against two runs of a task in the case above, if the
// minion brings no answer at first and refuses connections for a moment when the takeover is to end.
func TestRefusalsAfterASilenceEndNoLongLease(t *testing.T) {
	t.Parallel()
	for _, refusal := range []struct{ from, span time.Duration }{
		{4 * time.Second, 2 * time.Second}, {5 * time.Second, time.Second}, {6 * time.Second, 400 * time.Millisecond},
	} {
		c := quicktest.New(t)
		simulation, restarted := newLifeWithLongLease(c)
		second := simulation.nodes[1]
		restarted.unreachableFrom[second] = true
		simulation.advance(claimTimeout)
		simulation.makeHolder(second)
		simulation.schedule(refusal.from, func() { restarted.faults.refusesConnections = true })
		simulation.schedule(refusal.from+refusal.span, func() { restarted.faults.refusesConnections = false })
		simulation.advance(40 * time.Second)
		c.Check(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%v %s", refusal, simulation.decisionsAbout("a.")))
		c.Check(simulation.countWorking("a"), quicktest.Equals, 1)
	}
}

// TestLapsedEntryEndsNoLongLease guards against two runs of a task in the case above, if the minion has
// announced its departure and its entry lapses in an outage of the store. It runs its task all the while.
func TestLapsedEntryEndsNoLongLease(t *testing.T) {
	t.Parallel()
	for _, outage := range []struct{ from, span time.Duration }{
		{2 * time.Second, 3500 * time.Millisecond}, {3 * time.Second, 2 * time.Second}, {3500 * time.Millisecond, 1750 * time.Millisecond},
	} {
		c := quicktest.New(t)
		simulation, restarted := newLifeWithLongLease(c)
		second := simulation.nodes[1]
		restarted.faults.draining, restarted.faults.remaining = true, time.Minute
		restarted.unreachableFrom[second] = true
		simulation.advance(claimTimeout)
		simulation.makeHolder(second)
		simulation.advance(outage.from)
		simulation.stopStore([]*fakeMinion{restarted})
		simulation.advance(outage.span)
		simulation.returnStore()
		simulation.advance(40 * time.Second)
		c.Check(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%v %s", outage, simulation.decisionsAbout("a.")))
		c.Check(simulation.countWorking("a"), quicktest.Equals, 1)
	}
}

// TestEntryThatLapsesBeforeTheDepartureEndsNoLongLease guards against two runs of a task in the case above,
// if the minion is cut off from the store as well, so that its entry lapses in normal operation long
// before the departure that it has announced.
func TestEntryThatLapsesBeforeTheDepartureEndsNoLongLease(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation, restarted := newLifeWithLongLease(c)
	second := simulation.nodes[1]
	restarted.faults.draining, restarted.faults.remaining = true, time.Minute
	restarted.unreachableFrom[second] = true
	simulation.advance(claimTimeout)
	simulation.makeHolder(second)
	simulation.schedule(3*time.Second, func() {
		restarted.unregistered = true
		simulation.deliverAllReports()
	})
	simulation.advance(40 * time.Second)
	c.Check(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Check(simulation.countWorking("a"), quicktest.Equals, 1)
}

// newLifeWithLongLease returns a simulation of two nodes whose first has died as the holder, and a minion
// with a run of job a. An order to an earlier life has given it a longer lease than holders send.
func newLifeWithLongLease(c *quicktest.C) (*simulation, *fakeMinion) {
	const longLease = 10 * time.Second
	simulation := newLeasedSimulation(1, 2, 3, longLease)
	restarted := simulation.minions["m00"]
	simulation.makeHolder(simulation.nodes[0])
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
	simulation.nodes[0].alive = false
	simulation.minions["m01"].kind = "a"
	return simulation, restarted
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
