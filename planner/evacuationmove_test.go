package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// runningIn returns the number of runs of a job in a domain.
func (simulation *simulation) runningIn(domain identifier.FailureDomain, job identifier.Job) int {
	count := 0
	for _, minion := range simulation.sortedMinions() {
		for task := range minion.runs {
			if minion.failureDomain() == domain && task.Job == job {
				count++
			}
		}
	}
	return count
}

// occupy keeps the minions of a domain busy for a time with a job of the given name.
func (simulation *simulation) occupy(domain identifier.FailureDomain, name string, runTime time.Duration) {
	for _, minion := range simulation.sortedMinions() {
		if minion.failureDomain() == domain {
			minion.kind = "wanted"
		}
	}
	simulation.deliverAllReports()
	step := wholeMinions(4, runTime)
	step.Label = "wanted"
	simulation.submit(jobOf(name, step))
	simulation.advance(100 * time.Millisecond)
}

// newOccupiedSimulation returns a simulation of the domains z0 and z1, in which a job named
// busy occupies z1 for a time.
func newOccupiedSimulation(busyTime time.Duration) *simulation {
	simulation := newEvacuationSimulation(1, 1, 8)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(100 * time.Millisecond)
	simulation.occupy("z1", "busy", busyTime)
	return simulation
}

// TestCheckpointedRunLeavesEvacuatedDomain guards against a long run with checkpoints that
// stays in an evacuated domain although there is capacity elsewhere, and against the stop of
// one that ends soon, that has no checkpoints, or for which there is no capacity elsewhere.
func TestCheckpointedRunLeavesEvacuatedDomain(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name        string
		runTime     time.Duration
		busyTime    time.Duration
		checkpoints bool
		moves       bool
	}{
		{"long", time.Minute, 500 * time.Millisecond, true, true},
		{"ends-soon", 9 * time.Second, 500 * time.Millisecond, true, false},
		{"without-checkpoints", time.Minute, 500 * time.Millisecond, false, false},
		{"without-capacity", time.Minute, time.Minute, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newOccupiedSimulation(test.busyTime)
			step := wholeMinions(2, test.runTime)
			step.Checkpoints = test.checkpoints
			simulation.submit(jobOf("a", step))
			simulation.advance(2 * time.Second)
			c.Assert(simulation.runningIn("z0", "a"), quicktest.Equals, 2)
			simulation.evacuate("z0", true)
			simulation.advance(3 * time.Second)
			c.Assert(simulation.runningIn("z1", "a") == 2, quicktest.Equals, test.moves)
			c.Assert(simulation.runningIn("z0", "a") == 0, quicktest.Equals, test.moves)
			c.Assert(simulation.violations, quicktest.HasLen, 0)
		})
	}
}

// TestCheckpointedGangLeavesEvacuatedDomainAsAWhole guards against a gang of which only the
// members in the evacuated domain are stopped, and against one that is not moved because its
// members elsewhere occupy the capacity that it needs.
func TestCheckpointedGangLeavesEvacuatedDomainAsAWhole(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newOccupiedSimulation(time.Second)
	gang := wholeMinions(4, time.Minute)
	gang.Gang, gang.Checkpoints = true, true
	simulation.minions["m00"].unregistered = true
	simulation.deliverAllReports()
	simulation.submit(jobOf("a", gang))
	simulation.advance(3 * time.Second)
	c.Assert(simulation.runningIn("z0", "a"), quicktest.Equals, 3)
	c.Assert(simulation.runningIn("z1", "a"), quicktest.Equals, 1)
	simulation.evacuate("z0", true)
	simulation.advance(3 * time.Second)
	c.Assert(simulation.runningIn("z1", "a"), quicktest.Equals, 4)
	c.Assert(strings.Count(strings.Join(simulation.decisions, "\n"), "rule=evacuation"), quicktest.Equals, 4)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestGangWithSilentMemberIsNotMoved guards against a gang that is stopped while one of its
// minions does not answer: it could not start again before the lease there has expired.
func TestGangWithSilentMemberIsNotMoved(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newOccupiedSimulation(time.Second)
	gang := wholeMinions(4, time.Minute)
	gang.Gang, gang.Checkpoints = true, true
	simulation.submit(jobOf("a", gang))
	simulation.advance(2 * time.Second)
	simulation.setReachable(false, "m01")
	simulation.advance(2500 * time.Millisecond)
	c.Assert(simulation.linesWith("m01 minion-lost"), quicktest.HasLen, 1)
	simulation.evacuate("z0", true)
	simulation.advance(time.Second)
	c.Assert(simulation.linesWith("rule=evacuation"), quicktest.HasLen, 0)
	simulation.setReachable(true, "m01")
	simulation.advance(3 * time.Second)
	c.Assert(simulation.runningIn("z1", "a"), quicktest.Equals, 4)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestLongRunningTasksLeaveEvacuatedDomainOneAfterAnother guards against a long-running step
// with more tasks unavailable than it allows, and against tasks that stay in the domain.
func TestLongRunningTasksLeaveEvacuatedDomainOneAfterAnother(t *testing.T) {
	t.Parallel()
	for _, maxUnavailable := range []int{0, 1} {
		c := quicktest.New(t)
		simulation := newOccupiedSimulation(500 * time.Millisecond)
		step := wholeMinions(3, 0)
		step.LongRunning, step.MaxUnavailable = true, maxUnavailable
		simulation.submit(jobOf("a", step))
		simulation.advance(3 * time.Second)
		c.Assert(simulation.runningIn("z0", "a"), quicktest.Equals, 3)
		simulation.evacuate("z0", true)
		least := 3
		for range 1000 {
			simulation.advance(10 * time.Millisecond)
			least = min(least, simulation.runningIn("z0", "a")+simulation.runningIn("z1", "a"))
		}
		c.Assert(simulation.runningIn("z1", "a"), quicktest.Equals, 3)
		c.Assert(least, quicktest.Equals, 2)
		c.Assert(simulation.violations, quicktest.HasLen, 0)
	}
}

// TestGangIsStoppedWithItsUnansweredMember guards against members of a gang that wait for one
// whose start in an evacuated domain got no answer and is not repeated.
func TestGangIsStoppedWithItsUnansweredMember(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvacuationSimulation(1, 1, 8)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.minions["m00"].faults.loses = func(order messenger.Order) bool {
		_, isStart := order.(messenger.StartRun)
		return isStart
	}
	gang := wholeMinions(8, 500*time.Millisecond)
	gang.Gang = true
	simulation.submit(jobOf("a", gang))
	simulation.advance(200 * time.Millisecond)
	c.Assert(simulation.runningIn("z1", "a"), quicktest.Equals, 4)
	simulation.evacuate("z0", true)
	simulation.advance(time.Second)
	c.Assert(simulation.runningIn("z0", "a")+simulation.runningIn("z1", "a"), quicktest.Equals, 0)
	simulation.minions["m00"].faults.loses = nil
	simulation.evacuate("z0", false)
	simulation.advance(8 * time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestPlannedTrialInEvacuatedDomainIsCancelled guards against a trial that waits for its record
// while its domain is evacuated, and then starts there.
func TestPlannedTrialInEvacuatedDomainIsCancelled(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newOccupiedSimulation(9 * time.Second)
	simulation.submit(jobOf("a", wholeMinions(1, 3*time.Second)))
	simulation.advance(500 * time.Millisecond)
	c.Assert(simulation.runningIn("z0", "a"), quicktest.Equals, 1)
	simulation.minions["m00"].crash()
	simulation.advance(100 * time.Millisecond)
	simulation.store.addedAppendTime = 2 * time.Second
	simulation.restart(simulation.minions["m00"])
	simulation.advance(time.Second)
	simulation.evacuate("z0", true)
	simulation.advance(2 * latency)
	before := simulation.operator.starts["z0"]
	simulation.advance(8 * time.Second)
	simulation.store.addedAppendTime = 0
	simulation.advance(20 * time.Second)
	c.Assert(simulation.operator.starts["z0"], quicktest.Equals, before)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
