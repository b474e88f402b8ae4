package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

const (
	// reportInterval is the time between two reports of a minion.
	reportInterval = time.Second
	// shrinkTolerance is how long after a minion has shrunk its former capacity may be
	// used: the time after which its report must have been read, and one report more.
	shrinkTolerance = 4*time.Second + reportInterval
)

// formerCapacity is the capacity that a minion had until a time.
type formerCapacity struct {
	amount specifier.Resources
	until  time.Time
}

// resize changes the capacity of a minion. Its next report tells it.
func (simulation *simulation) resize(minion *fakeMinion, capacity specifier.Resources) {
	minion.formerCapacities = append(minion.formerCapacities, formerCapacity{minion.capacity, simulation.now})
	minion.capacity = capacity
	simulation.noteFault("minion-resized %s to %+v", minion.name, capacity)
	simulation.schedule(time.Duration(simulation.random.Int64N(int64(reportInterval))), func() {
		for _, node := range simulation.nodes {
			simulation.deliverReport(node, minion)
		}
	})
}

// checkCapacity checks that a start does not bring a minion that does not guard its
// capacity over it, nor over any that it had shortly before.
func (minion *fakeMinion) checkCapacity(started *fakeRun) {
	simulation, used := minion.simulation, minion.used()
	if minion.capacity.Holds(used) {
		return
	}
	for _, former := range minion.formerCapacities {
		if simulation.now.Sub(former.until) < shrinkTolerance && former.amount.Holds(used) {
			return
		}
	}
	simulation.reportViolation("%s: run %d brings %s to %+v of %+v", started.task, started.number, minion.name, used, minion.capacity)
}

// listRegularly lets the nodes that follow the reports see each second which minions have an
// entry. That of a minion without access to the store expires.
func (simulation *simulation) listRegularly() {
	for _, node := range simulation.nodes {
		if simulation.store.followers[node] && simulation.store.isReachableFrom(node) {
			simulation.deliverReports(node)
		}
	}
	simulation.schedule(reportInterval, simulation.listRegularly)
}

// TestStartsFitShrinkingMinions guards against starts that bring a minion over its capacity
// after it has shrunk (LIMIT): from a reservation, as a member of a gang, beside runs that are
// being stopped, or by a holder that has just taken over; and against jobs that do not
// complete once the minions have grown again.
func TestStartsFitShrinkingMinions(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		simulation := newLivenessSimulation(rapid.Uint64().Draw(t, "seed"))
		simulation.delayVariation = rapid.SampledFrom([]time.Duration{0, 60 * time.Millisecond, 400 * time.Millisecond}).Draw(t, "spread")
		simulation.lostAnswerShare = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "lose-answers")
		for _, minion := range simulation.sortedMinions() {
			minion.isUnguarded = true
		}
		simulation.makeHolder(simulation.nodes[0])
		simulation.listRegularly()
		full := simulation.sortedMinions()[0].capacity
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			minion := simulation.sortedMinions()[rapid.IntRange(0, livenessMinions-1).Draw(t, "minion")]
			quarters := rapid.IntRange(0, 4).Draw(t, "quarters")
			capacity := specifier.Resources{MilliCPU: full.MilliCPU * quarters / 4, MemoryMB: full.MemoryMB * quarters / 4, Accelerators: full.Accelerators * quarters / 4}
			simulation.schedule(time.Duration(rapid.IntRange(0, 12000).Draw(t, "change-at"))*time.Millisecond, func() { simulation.resize(minion, capacity) })
		}
		var jobs []identifier.Job
		for number := range rapid.IntRange(1, 16).Draw(t, "jobs") {
			at := time.Duration(rapid.IntRange(0, 12000).Draw(t, "at")) * time.Millisecond
			job := drawJob(t, fmt.Sprintf("j%02d", number), simulation.now.Add(at))
			if !job.IsLongRunning() {
				jobs = append(jobs, job.ID)
			}
			simulation.schedule(at, func() { simulation.submit(job) })
		}
		injectFaults(t, simulation)
		simulation.advance(14 * time.Second)
		simulation.lostAnswerShare, simulation.delayVariation = 0, 0
		for _, minion := range simulation.sortedMinions() {
			simulation.resize(minion, full)
		}
		simulation.advance(90 * time.Second)
		if len(simulation.violations) > 0 {
			_, subject, _ := strings.Cut(simulation.violations[0], " ")
			job, _, _ := strings.Cut(subject, ".")
			t.Fatalf("%s\n%s", strings.Join(simulation.violations, "\n"), simulation.decisionsAbout(job))
		}
		for _, id := range jobs {
			if state := simulation.recordedState(id); !state.IsFinal() {
				t.Fatalf("job %s is %s after the minions have grown again\n%s", id, state, simulation.decisionsAbout(string(id)))
			}
		}
	})
}

// TestStepThatFitsNowhereWaits guards against a step that is started over the capacity of
// minions that have shrunk, or of which nobody can see why it waits.
func TestStepThatFitsNowhereWaits(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	for _, minion := range simulation.sortedMinions() {
		minion.isUnguarded = true
		simulation.resize(minion, taskOf(8000, 2))
	}
	simulation.advance(2 * time.Second)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(16000, 8), EstimatedRunTime: time.Second}))
	simulation.advance(8 * time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Queued)
	c.Assert(strings.Contains(simulation.decisionsAbout("a"), "a step-waits: no-capacity"), quicktest.IsTrue)
	for _, minion := range simulation.sortedMinions() {
		simulation.resize(minion, specifier.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 8})
	}
	simulation.advance(4 * time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestUnansweredStartIsNotRepeatedOnAShrunkenMinion guards against a start that is sent
// again, and then carried out, after its minion has shrunk below what runs there.
func TestUnansweredStartIsNotRepeatedOnAShrunkenMinion(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 1)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	minion := simulation.minions["m00"]
	minion.isUnguarded = true
	minion.faults.refuse = func(order messenger.Order) classifier.Code {
		if _, isStart := order.(messenger.StartRun); isStart {
			return classifier.MinionBusy
		}
		return classifier.OK
	}
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(16000, 8), EstimatedRunTime: time.Second}))
	simulation.advance(500 * time.Millisecond)
	simulation.resize(minion, taskOf(8000, 2))
	simulation.advance(shrinkTolerance)
	minion.faults.refuse = nil
	simulation.advance(10 * time.Second)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).startedRuns, quicktest.HasLen, 0)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestNoStartByAnOldReport guards against a holder that renews its claim but can't read the
// minions' reports any more, and starts tasks by the capacity that a minion had long ago.
func TestNoStartByAnOldReport(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.reportRegularly()
	simulation.advance(2 * time.Second)
	simulation.store.reportsUnreadableFrom[simulation.nodes[0]] = true
	simulation.advance(time.Second)
	full := simulation.minions["m00"].capacity
	for _, minion := range simulation.sortedMinions() {
		minion.isUnguarded = true
		simulation.resize(minion, taskOf(8000, 2))
	}
	simulation.advance(shrinkTolerance + time.Second)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(16000, 8), EstimatedRunTime: time.Second}))
	simulation.advance(8 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).startedRuns, quicktest.HasLen, 0)
	c.Assert(strings.Contains(simulation.decisionsAbout("a"), "a step-waits: reports-outdated"), quicktest.IsTrue, quicktest.Commentf("%s", simulation.decisionsAbout("a")))
	simulation.store.reportsUnreadableFrom[simulation.nodes[0]] = false
	for _, minion := range simulation.sortedMinions() {
		simulation.resize(minion, full)
	}
	simulation.advance(5 * time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
}

// reportRegularly lets all minions write a report each reportInterval.
func (simulation *simulation) reportRegularly() {
	for _, node := range simulation.nodes {
		for _, minion := range simulation.sortedMinions() {
			simulation.deliverReport(node, minion)
		}
	}
	simulation.schedule(reportInterval, simulation.reportRegularly)
}

// TestNothingStartsOnAMinionOverItsCapacity guards against a start on a minion that has shrunk
// below what runs there, of a task that needs nothing of the resource that lacks.
func TestNothingStartsOnAMinionOverItsCapacity(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 1)
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(16000, 1), EstimatedRunTime: 20 * time.Second}))
	simulation.advance(time.Second)
	minion := simulation.minions["m00"]
	minion.isUnguarded = true
	simulation.resize(minion, specifier.Resources{MilliCPU: 8000, MemoryMB: 64000, Accelerators: 8})
	simulation.advance(shrinkTolerance)
	simulation.submit(jobOf("b", specifier.Step{Tasks: 1, Request: taskOf(4000, 0), EstimatedRunTime: time.Second, Backfill: true}))
	simulation.advance(5 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	simulation.advance(20 * time.Second)
	c.Assert(simulation.recordedState("b"), quicktest.Equals, specifier.Completed)
}
