package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/planner"
	"corianderroad/specifier"
)

// waitsMinions is the number of minions in the tests of the waits, each with room for 8 tasks of backlogJob.
const waitsMinions = 8

// newWaitsRun returns a simulation with the queues of a load, whose first node is the holder.
func newWaitsRun(features planner.Features, minions int) *loadRun {
	run := &loadRun{simulation: newSimulation(1, 0, minions), firstStarts: make(map[specifier.Task]time.Time)}
	run.features = features
	run.addEvacuations(0)
	run.addNode("n0")
	run.addNode("n1")
	run.makeHolder(run.nodes[0])
	run.advance(3 * time.Second)
	return run
}

// submitBacklog submits jobs of priority 2, each of which needs the pool for half a second by its
// declared run time.
func (loadRun *loadRun) submitBacklog(jobs int) {
	for range jobs {
		loadRun.ordinal++
		loadRun.submit(specifier.Job{
			ID: identifier.Job(fmt.Sprintf("b%05d", loadRun.ordinal)), Queue: "wide",
			Steps: []specifier.Step{{Tasks: 8, Request: specifier.Resources{MilliCPU: 2000, MemoryMB: 1000, Accelerators: 1}, EstimatedRunTime: 4 * time.Second}},
		})
	}
}

// wideWait returns the wait that a node has computed for the queue of the backlog, false if there is none.
func (loadRun *loadRun) wideWait(node int) (messenger.QueueWait, bool) {
	if waits := loadRun.nodes[node].waits; waits != nil {
		for _, wait := range waits.Queues {
			if wait.Queue == "wide" {
				return wait, true
			}
		}
	}
	return messenger.QueueWait{}, false
}

var withRefusals = planner.Features{EarlyRefusals: true}

// TestWaitFollowsTheBacklog guards against waits that differ from the work that waits, that are published
// without a backlog, or that end with it too late.
func TestWaitFollowsTheBacklog(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	run := newWaitsRun(withRefusals, waitsMinions)
	run.submitBacklog(6) // all of them fit
	run.advance(2 * time.Second)
	c.Assert(run.nodes[0].waits, quicktest.IsNil)
	run.submitBacklog(60)
	run.advance(2 * time.Second)
	wait, ok := run.wideWait(0)
	c.Assert(ok, quicktest.IsTrue)
	// 58 jobs wait for 29 s. New jobs of the priority take up to all but a fifth of the capacity.
	c.Assert(wait.TimelyWait > 25*time.Second && wait.TimelyWait < 33*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", wait))
	c.Assert(wait.Wait >= wait.TimelyWait && wait.Wait <= 5*33*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", wait))
	c.Assert(wait.Tasks, quicktest.Equals, 8)
	c.Assert(wait.RunTime, quicktest.Equals, 4*time.Second)
	c.Assert(wait.LargestMinion.Accelerators, quicktest.Equals, 8)
	run.advance(45 * time.Second)
	c.Assert(run.nodes[0].waits, quicktest.IsNil)
	c.Assert(run.violations, quicktest.HasLen, 0)
}

// TestNoWaitsWithoutTheFeature guards against renewals that change where the rule is off.
func TestNoWaitsWithoutTheFeature(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	run := newWaitsRun(planner.Features{GangReservations: true, LossAwareStops: true}, waitsMinions)
	run.submitBacklog(60)
	run.advance(10 * time.Second)
	c.Assert(run.nodes[0].waits, quicktest.IsNil)
	c.Assert(run.nodes[0].waitsComputed, quicktest.Equals, 0)
}

// TestNoWaitsWhileMinionsAreMissing guards against refusals because minions do not answer: their work comes
// back with them.
func TestNoWaitsWhileMinionsAreMissing(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	run := newWaitsRun(withRefusals, waitsMinions)
	run.submitBacklog(200)
	run.advance(3 * time.Second)
	_, ok := run.wideWait(0)
	c.Assert(ok, quicktest.IsTrue)
	for index := range waitsMinions / 2 {
		run.minions[identifier.Minion(fmt.Sprintf("m%02d", index))].unreachableFrom[run.nodes[0]] = true
	}
	run.advance(4 * time.Second)
	c.Assert(run.nodes[0].waits, quicktest.IsNil)
	for _, minion := range run.minions {
		minion.unreachableFrom[run.nodes[0]] = false
	}
	run.advance(4 * time.Second)
	_, ok = run.wideWait(0)
	c.Assert(ok, quicktest.IsTrue)
}

// TestNoWaitsDuringAnEvacuation guards against refusals because a failure domain is evacuated.
func TestNoWaitsDuringAnEvacuation(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	run := newWaitsRun(withRefusals, 24) // six domains
	run.submitBacklog(200)
	run.advance(3 * time.Second)
	_, ok := run.wideWait(0)
	c.Assert(ok, quicktest.IsTrue)
	domain := run.minions["m00"].failureDomain()
	run.evacuate(domain, true)
	run.advance(time.Second)
	c.Assert(run.nodes[0].waits, quicktest.IsNil)
	run.evacuate(domain, false)
	run.advance(3 * time.Second)
	_, ok = run.wideWait(0)
	c.Assert(ok, quicktest.IsTrue)
}

// TestNewHolderPublishesAfterItsFirstPasses guards against waits of a holder that does not know what runs,
// and against one that publishes none after a takeover.
func TestNewHolderPublishesAfterItsFirstPasses(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	run := newWaitsRun(withRefusals, waitsMinions)
	run.submitBacklog(300)
	run.advance(5 * time.Second)
	run.nodes[0].alive = false
	run.advance(1500 * time.Millisecond)
	run.makeHolder(run.nodes[1])
	settled := func() bool { return strings.Contains(run.decisionsAbout("n1"), "holder-settled") }
	for limit := run.now.Add(12 * time.Second); !settled(); run.advance(20 * time.Millisecond) {
		c.Assert(run.now.Before(limit), quicktest.IsTrue)
	}
	run.advance(900 * time.Millisecond)
	c.Assert(run.nodes[1].waitsComputed, quicktest.Equals, 0)
	run.advance(2 * time.Second)
	wait, ok := run.wideWait(1)
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(wait.Wait > 30*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", wait))
	c.Assert(run.violations, quicktest.HasLen, 0)
}

// TestNoWaitsWhileMinionsAreIdle guards against refusals by the wait of steps that no minion can run.
func TestNoWaitsWhileMinionsAreIdle(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	run := newWaitsRun(withRefusals, waitsMinions)
	for number := range 100 {
		run.submit(specifier.Job{
			ID: identifier.Job(fmt.Sprintf("l%05d", number)), Queue: "wide",
			Steps: []specifier.Step{{Tasks: 8, Request: specifier.Resources{MilliCPU: 2000, Accelerators: 1}, EstimatedRunTime: 4 * time.Second, Label: "rare"}},
		})
	}
	run.advance(5 * time.Second)
	c.Assert(run.nodes[0].waitsComputed, quicktest.Equals, 0)
}

// TestNoWaitsWhileRecordsAreSlow guards against refusals because the store is slow: the steps have room, and
// wait for the record of their first start.
func TestNoWaitsWhileRecordsAreSlow(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	run := newWaitsRun(withRefusals, waitsMinions)
	run.submit(specifier.Job{ID: "first", Queue: "wide", Steps: []specifier.Step{{
		Tasks: waitsMinions, Request: specifier.Resources{MilliCPU: 2000, Accelerators: 1}, EstimatedRunTime: time.Minute, MaxPerMinion: 1,
	}}})
	run.advance(time.Second)
	run.store.addedAppendTime = 4 * time.Second
	run.submitBacklog(100)
	run.advance(3 * time.Second)
	c.Assert(run.nodes[0].waitsComputed, quicktest.Equals, 0)
}

// TestNoWaitsWithoutTheStore guards against waits that a holder computes while its claim is not confirmed.
func TestNoWaitsWithoutTheStore(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	run := newWaitsRun(withRefusals, waitsMinions)
	run.submitBacklog(300)
	run.advance(3 * time.Second)
	run.store.down = true
	run.advance(2 * time.Second)
	computed := run.nodes[0].waitsComputed
	run.advance(3 * time.Second)
	c.Assert(run.nodes[0].waitsComputed, quicktest.Equals, computed)
	run.store.down = false
	run.advance(5 * time.Second)
	c.Assert(run.nodes[0].waitsComputed > computed, quicktest.IsTrue)
}

// TestWaitThatIsTooLongIsCorrected guards against a queue that stays closed because declared run times are
// five times too long.
func TestWaitThatIsTooLongIsCorrected(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	run := newWaitsRun(withRefusals, waitsMinions)
	run.workTime = func(fakeRun *fakeRun) time.Duration { return fakeRun.spec.EstimatedRunTime / 5 }
	for range 60 { // about as much as fits
		run.submitBacklog(10)
		run.advance(time.Second)
	}
	run.submitBacklog(100)
	run.advance(2 * time.Second)
	declared := 50 * time.Second
	wait, ok := run.wideWait(0)
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(wait.TimelyWait < declared/2, quicktest.IsTrue, quicktest.Commentf("%v", wait))
	c.Assert(wait.Wait < declared, quicktest.IsTrue, quicktest.Commentf("%v", wait))
}

// BenchmarkWaits measures what the computation of the waits adds to the decisions of a holder with 350
// minions and twice the work that fits.
func BenchmarkWaits(b *testing.B) {
	for _, enabled := range []bool{false, true} {
		b.Run(fmt.Sprint("enabled=", enabled), func(b *testing.B) {
			for b.Loop() {
				run := newLoadRunWith(1, 350, 2, 40*time.Second, planner.Features{GangReservations: true, EarlyRefusals: enabled})
				run.advance(40 * time.Second)
				b.ReportMetric(run.nodes[0].stepTime.Seconds()/40*100, "%core")
				b.ReportMetric(float64(run.nodes[0].waitsComputed), "computed")
			}
		})
	}
}
