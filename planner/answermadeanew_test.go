package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// confirmationsOfOthers returns the fault of a minion whose confirmations of some orders belong to other
// orders on their connections, and that carries these orders out later by a delay.
func confirmationsOfOthers(orders func(messenger.Order) time.Duration) minionFaults {
	return minionFaults{confirmsEarly: func(order messenger.Order) time.Duration {
		if stop, isStop := order.(messenger.StopRun); isStop && stop.BarsStart {
			return 0 // its answer is the first one on a connection
		}
		return orders(order)
	}}
}

// submitTwoTasks submits a job whose second start gets the fault: the job has begun with the first one.
func submitTwoTasks(simulation *simulation) {
	simulation.submit(jobOf("a", specifier.Step{Tasks: 2, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
}

// isSecondTask reports whether an order starts the second task of the job.
func isSecondTask(order messenger.Order) bool {
	start, ok := order.(messenger.StartRun)
	return ok && start.Task.Index == 1
}

// TestConfirmationOfAnotherStartEndsNoRun guards against a run that counts as lost although its start is still
// on its way: an answer that was made anew for an earlier order passes for that to the start, so that a list
// that was made before the start seems to miss the run.
func TestConfirmationOfAnotherStartEndsNoRun(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{time.Second, 3 * time.Second, 4 * time.Second} {
		c := quicktest.New(t)
		simulation := newSimulation(1, 1, 4)
		simulation.makeHolder(simulation.nodes[0])
		simulation.advance(time.Second)
		isFirst := true
		for _, minion := range simulation.sortedMinions() {
			minion.faults = confirmationsOfOthers(func(order messenger.Order) time.Duration {
				if !isSecondTask(order) || !isFirst {
					return 0
				}
				isFirst = false
				return delay
			})
		}
		submitTwoTasks(simulation)
		simulation.advance(10 * time.Second)
		c.Assert(isFirst, quicktest.IsFalse)
		c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s: %s", delay, simulation.decisionsAbout("a.")))
		c.Assert(simulation.countWorking("a"), quicktest.Equals, 2, quicktest.Commentf("%s: %s", delay, simulation.decisionsAbout("a.")))
	}
}

// TestConfirmationOfAnotherStopEndsNoRun guards against the same for a stop: the start of the run has got no
// answer, and the minion has received neither order when it makes its list.
func TestConfirmationOfAnotherStopEndsNoRun(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	chosen := ""
	for _, minion := range simulation.sortedMinions() {
		minion.faults = confirmationsOfOthers(func(order messenger.Order) time.Duration {
			if _, isStop := order.(messenger.StopRun); isStop {
				return 4 * time.Second
			}
			return 0
		})
		minion.faults.delays = func(order messenger.Order) time.Duration {
			if !isSecondTask(order) || (chosen != "" && chosen != string(minion.name)) {
				return 0
			}
			chosen = string(minion.name)
			return 4200 * time.Millisecond // longer than until a list that was made after the stop
		}
	}
	submitTwoTasks(simulation)
	simulation.advance(12 * time.Second)
	c.Assert(chosen, quicktest.Not(quicktest.Equals), "")
	c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.countWorking("a"), quicktest.Equals, 2, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
}

// TestRunThatVanishesUnlistedRunsAgain guards against a task that waits for ever, because its start was confirmed
// and never carried out.
func TestRunThatVanishesUnlistedRunsAgain(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	isFirst := true
	for _, minion := range simulation.sortedMinions() {
		minion.faults = confirmationsOfOthers(func(order messenger.Order) time.Duration {
			if !isSecondTask(order) || !isFirst {
				return 0
			}
			isFirst = false
			return time.Hour // never carried out
		})
	}
	submitTwoTasks(simulation)
	simulation.advance(6 * time.Second) // three polls
	c.Assert(simulation.countWorking("a"), quicktest.Equals, 2, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
}

// TestUncertainRefusalDelaysTaskBriefly guards against a task that waits for up to two polls, 2.4 s, because its start
// was refused, but on a connection that had been used before, so that the refusal is not certain.
func TestUncertainRefusalDelaysTaskBriefly(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	for _, minion := range simulation.sortedMinions() { // a poll waits at each of them
		simulation.submit(jobOf("busy-"+string(minion.name), specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
	}
	simulation.advance(3 * time.Second)
	refused := 0
	for _, minion := range simulation.sortedMinions() {
		minion.faults.refusesTwice = true
		minion.faults.refuse = func(order messenger.Order) classifier.Code {
			if !isStart(order) || refused > 0 {
				return classifier.OK
			}
			refused++
			return classifier.NoCapacity
		}
	}
	submitTwoTasks(simulation)
	simulation.advance(400 * time.Millisecond)
	c.Assert(refused, quicktest.Equals, 1)
	c.Assert(simulation.countWorking("a"), quicktest.Equals, 2, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
