package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestStartTakenByNextLifeRunsOnce guards against two runs of a task at the same time: the
// next life of a minion takes a start before its entry is read, and its answer does not say
// which life has given it. The holder then counted the run as one of the earlier life, gave it
// up with that, as crashed by its task, and started the task elsewhere.
func TestStartTakenByNextLifeRunsOnce(t *testing.T) {
	t.Parallel()
	for name, wait := range map[string]time.Duration{
		"entry-read-before-the-answer": 10 * time.Millisecond,
		"entry-read-after-the-answer":  60 * time.Millisecond,
		"entry-read-late":              750 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, 3)
			simulation.makeHolder(simulation.nodes[0])
			simulation.advance(3 * time.Second)
			restarted := simulation.minions["m00"]
			restarted.faults.delay = 30 * time.Millisecond // it is in the other region
			restarted.crash()
			restarted.start()
			simulation.advance(100 * time.Millisecond)
			simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 4 * time.Second}))
			for len(restarted.runs) == 0 && simulation.now.Sub(restarted.started) < time.Second {
				simulation.advance(time.Millisecond)
			}
			c.Assert(restarted.runs, quicktest.HasLen, 1)
			simulation.schedule(wait, simulation.deliverAllReports)
			simulation.advance(20 * time.Second)
			c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
			c.Assert(strings.Contains(simulation.decisionsAbout("a."), "minion-crashed"), quicktest.IsFalse)
			c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
		})
	}
}

// TestLateStartAtNextLifeIsRefused guards against two runs of a task at the same time: a start
// is carried out seconds late, by the next life of a minion that the holder had removed in the
// meantime, together with what it knew of the orders that could still arrive there.
func TestLateStartAtNextLifeIsRefused(t *testing.T) {
	t.Parallel()
	for name, delay := range map[string]time.Duration{"a-second-after-the-restart": 7 * time.Second, "later": 9 * time.Second} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, 3)
			simulation.makeHolder(simulation.nodes[0])
			simulation.advance(3 * time.Second)
			crashed := simulation.minions["m00"]
			starts := 0
			crashed.faults.delays = func(order messenger.Order) time.Duration {
				if _, isStart := order.(messenger.StartRun); !isStart || starts > 0 {
					return 0
				}
				starts++
				return delay
			}
			simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 9 * time.Second}))
			simulation.advance(100 * time.Millisecond)
			c.Assert(starts, quicktest.Equals, 1)
			crashed.crash()
			simulation.advance(4500 * time.Millisecond)
			crashed.unregistered = true
			simulation.deliverAllReports()
			simulation.advance(900 * time.Millisecond)
			crashed.start()
			crashed.unregistered = false
			simulation.deliverAllReports()
			simulation.advance(25 * time.Second)
			c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
			c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
		})
	}
}

// TestLifeWithTheTokenOfAnEarlierOneIsNotUsed guards against a life that is taken for fenced
// although its token is that of an earlier life: the minion has restarted twice between two
// renewals of the claim. Orders to the earlier life still have an effect there.
func TestLifeWithTheTokenOfAnEarlierOneIsNotUsed(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 1)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(3 * time.Second)
	minion := simulation.minions["m00"]
	restart := func() {
		minion.crash()
		minion.start()
		simulation.deliverAllReports()
		simulation.advance(50 * time.Millisecond)
	}
	restart()
	token := minion.token
	restart()
	c.Assert(minion.token, quicktest.Equals, token)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Second}))
	for len(minion.runs) == 0 && simulation.now.Sub(minion.started) < time.Minute {
		simulation.advance(time.Millisecond)
	}
	c.Assert(minion.token > token, quicktest.IsTrue)
	c.Assert(simulation.now.Sub(minion.started) < time.Second, quicktest.IsTrue, quicktest.Commentf("%s", simulation.now.Sub(minion.started)))
}

// TestLeaseOfAnOrderToTheEarlierLife guards against two runs of a task at the same time: a poll
// that was sent to the earlier life of a minion gives the next one a lease on the earlier
// clock, as long as the minion grants it. The holder counted with the leases that it had sent
// to the next life, gave up its runs when it was cut off, and started them elsewhere.
func TestLeaseOfAnOrderToTheEarlierLife(t *testing.T) {
	t.Parallel()
	for name, isAnswered := range map[string]bool{"answered": true, "late": false} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, 2)
			node, restarted, other := simulation.nodes[0], simulation.minions["m00"], simulation.minions["m01"]
			other.kind = "b"
			simulation.makeHolder(node)
			simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute, Label: "a"}))
			simulation.advance(12 * time.Second)
			c.Assert(restarted.runs, quicktest.HasLen, 1)
			delays, reportDelay := 0, time.Second
			arrival := simulation.now.Add(2650 * time.Millisecond) // just after the restart
			restarted.faults.delays = func(order messenger.Order) time.Duration {
				poll, isPoll := order.(messenger.PollRuns)
				if isAnswered || !isPoll || poll.LeaseUntil == 0 || delays > 0 {
					return 0
				}
				delays++
				return arrival.Sub(simulation.now)
			}
			if !isAnswered {
				simulation.advance(2100 * time.Millisecond)
				reportDelay = 100 * time.Millisecond
			}
			restarted.crash()
			simulation.advance(500 * time.Millisecond)
			restarted.start()
			// The holder polls it before its entry is written.
			simulation.schedule(reportDelay, simulation.deliverAllReports)
			hasLongLease := func() bool { return len(restarted.runs) == 1 && restarted.lease-restarted.clock() > longestLease }
			for !hasLongLease() && simulation.now.Sub(restarted.started) < 10*time.Second {
				simulation.advance(time.Millisecond)
			}
			c.Assert(hasLongLease(), quicktest.IsTrue, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
			restarted.unreachableFrom[node] = true
			other.kind = "a"
			simulation.deliverAllReports()
			restarted.unregistered = true
			simulation.schedule(3*time.Second, simulation.deliverAllReports)
			simulation.advance(20 * time.Second)
			c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
			c.Assert(simulation.countWorking("a"), quicktest.Equals, 1)
		})
	}
}

// TestPollForTheEarlierLifeDiscardsNoEnd guards against a task that starts again after its
// recorded end: the next life of a minion takes a start and ends it as done, and a poll for the
// earlier life acknowledges that end by the earlier numbers before any holder has read it.
func TestPollForTheEarlierLifeDiscardsNoEnd(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.minions["m01"].kind = "b"
	simulation.deliverAllReports()
	restarted := simulation.minions["m00"]
	submit := func(id string, runTime time.Duration) {
		simulation.submit(jobOf(id, specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: runTime, Label: "a"}))
	}
	for _, id := range []string{"x", "y", "z"} { // so that the earlier life has some ends
		submit(id, 200*time.Millisecond)
		simulation.advance(time.Second)
	}
	submit("long", time.Minute) // so that the minion is polled
	simulation.advance(time.Second)
	isReachable := false
	restarted.faults.delays = func(order messenger.Order) time.Duration {
		if _, isStart := order.(messenger.StartRun); isStart {
			return 400 * time.Millisecond
		}
		return 0
	}
	restarted.faults.loses = func(order messenger.Order) bool {
		_, isStart := order.(messenger.StartRun)
		return !isStart && !isReachable
	}
	submit("a", 100*time.Millisecond)
	simulation.advance(100 * time.Millisecond)
	entry := restarted.report()
	restarted.formerEntry = &entry
	restarted.crash()
	restarted.start()
	simulation.advance(time.Second)
	isReachable = true
	simulation.advance(3 * time.Second)
	restarted.formerEntry = nil
	simulation.deliverAllReports()
	simulation.advance(10 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
}

// TestMinionIsUsedAgainAfterAWrongClock guards against a minion that gets no runs any more because
// one answer had a clock of the past, although no later life has taken its place.
func TestMinionIsUsedAgainAfterAWrongClock(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 1)
	node, minion := simulation.nodes[0], simulation.minions["m00"]
	simulation.makeHolder(node)
	simulation.advance(3 * time.Second)
	simulation.step(node, messenger.OrderAnswered{
		Sent: messenger.OrderMinion{
			Minion: minion.name, Incarnation: minion.incarnation, Token: minion.token, MinClock: minion.clock(), Order: messenger.StopRun{},
		},
		SentAt: simulation.now, Clock: minion.clock() - time.Second,
	})
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Second}))
	simulation.advance(2 * time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
}
