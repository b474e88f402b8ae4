package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// hasBegun reports whether a minion has started a task of the job.
func (simulation *simulation) hasBegun(id identifier.Job) bool {
	for task, state := range simulation.tasks {
		if task.Job == id && len(state.startedRuns) > 0 {
			return true
		}
	}
	return false
}

// checkHasBegun checks that a job whose state becomes running in the journal has begun.
// Callers count it as one that does not wait any more.
func (simulation *simulation) checkHasBegun(update messenger.Progressed) {
	if update.Progress.State == specifier.Running && !simulation.hasBegun(update.Job) {
		simulation.reportViolation("%s is recorded as running and none of its tasks has started", update.Job)
	}
}

// checkBegunJobs checks that the journal has each job as running that has begun.
func (simulation *simulation) checkBegunJobs(c *quicktest.C) {
	for id := range simulation.jobs {
		if simulation.hasBegun(id) {
			c.Assert(simulation.recordedState(id), quicktest.Not(quicktest.Equals), specifier.Queued, quicktest.Commentf("%s", id))
		}
	}
}

// TestWaitingJobsAreNotRunning guards against jobs that wait for room and are shown as
// running, so that none of them is counted as pending: all of them find the same room.
func TestWaitingJobsAreNotRunning(t *testing.T) {
	t.Parallel()
	const jobs, minions = 20, 4
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, minions)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(500 * time.Millisecond)
	for number := range jobs {
		simulation.submit(jobOf(fmt.Sprintf("j%02d", number), wholeMinions(1, 3*time.Second)))
	}
	simulation.advance(time.Second)
	simulation.checkBegunJobs(c)
	simulation.advance(20 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	for id := range simulation.jobs {
		c.Assert(simulation.recordedState(id), quicktest.Equals, specifier.Completed)
	}
}

// TestJobWithoutAStartIsNotRunning guards against a job that is shown as running although
// no minion has carried out a start of it: after its record is durable, the start is
// refused, brings no answer, is lost with its minion, or the holder ends.
func TestJobWithoutAStartIsNotRunning(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]func(simulation *simulation, minion *fakeMinion){
		"refused": func(_ *simulation, minion *fakeMinion) {
			minion.faults.refuse = func(order messenger.Order) classifier.Code {
				if isStart(order) {
					return classifier.MinionBusy
				}
				return classifier.OK
			}
		},
		"unanswered": func(_ *simulation, minion *fakeMinion) { minion.faults.loses = isStart },
		"lost with its minion": func(simulation *simulation, minion *fakeMinion) {
			minion.faults.loses = func(order messenger.Order) bool {
				if isStart(order) {
					simulation.schedule(time.Millisecond, minion.crash)
				}
				return isStart(order)
			}
		},
		"lost with its holder": func(simulation *simulation, minion *fakeMinion) {
			minion.faults.loses = func(order messenger.Order) bool {
				simulation.nodes[0].alive = simulation.nodes[0].alive && !isStart(order)
				return isStart(order)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 2, 1)
			simulation.makeHolder(simulation.nodes[0])
			simulation.advance(time.Second)
			fail(simulation, simulation.minions["m00"])
			simulation.submit(jobOf("a", wholeMinions(1, time.Second)))
			simulation.advance(2 * time.Second)
			if !simulation.nodes[0].alive {
				simulation.makeHolder(simulation.nodes[1])
			}
			simulation.advance(10 * time.Second)
			c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Queued)
			c.Assert(simulation.violations, quicktest.HasLen, 0)
		})
	}
}

// TestBegunJobIsShownAsRunning guards against a job that has begun and is counted as
// pending for good, because its holder ended before it recorded that: the next one finds
// the run.
func TestBegunJobIsShownAsRunning(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 1)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf("a", wholeMinions(1, time.Minute)))
	for !simulation.hasBegun("a") {
		simulation.advance(time.Millisecond)
	}
	simulation.nodes[0].alive = false
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Queued)
	simulation.makeHolder(simulation.nodes[1])
	simulation.advance(time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Running)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
