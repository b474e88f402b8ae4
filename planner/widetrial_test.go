package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

const (
	// restartTime is how long a minion is down when it crashes for a reason of its own.
	restartTime = 2 * time.Second
	// minionsPerRack is the size of the simulation's racks.
	minionsPerRack = 4
	// tasksPerMinion is how many tasks of smallStep fit on a minion.
	tasksPerMinion = 8
	// wideJob is the job of a wideStep.
	wideJob = identifier.Job("wide")
)

// wideStep is a step that occupies most of a pool of minions.
type wideStep struct {
	tasks, minions int
	runTime        time.Duration
}

// outage is the crash of some minions for a reason of their own.
type outage struct {
	at          time.Duration
	first, size int
}

// completionBound is the time in which the step completes: it may lose all its work until the
// last minion is back, and then needs at most a few times its ideal time.
func (wideStep wideStep) completionBound(outages []outage) time.Duration {
	const timesIdeal = 3
	slots := wideStep.minions * tasksPerMinion
	waves := (wideStep.tasks + slots - 1) / slots
	lastBack := outages[len(outages)-1].at + restartTime
	return lastBack + time.Duration(timesIdeal*waves)*wideStep.runTime
}

// submitWide submits the step and advances until all its tasks run.
func (simulation *simulation) submitWide(c *quicktest.C, wideStep wideStep) {
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf(string(wideJob), smallStep(wideStep.tasks, wideStep.runTime)))
	simulation.advance(40 * time.Millisecond)
	c.Assert(simulation.countWorking(wideJob), quicktest.Equals, wideStep.tasks)
}

func (simulation *simulation) scheduleOutage(outage outage) {
	simulation.schedule(outage.at, func() {
		for _, minion := range simulation.sortedMinions()[outage.first : outage.first+outage.size] {
			minion.crash()
			simulation.schedule(restartTime, func() { simulation.restart(minion) })
		}
	})
}

// rackOutages returns outages of whole racks, one each four seconds.
func rackOutages(racks ...int) []outage {
	var outages []outage
	for index, rack := range racks {
		outages = append(outages, outage{at: time.Duration(index+1) * 4 * time.Second, first: minionsPerRack * rack, size: minionsPerRack})
	}
	return outages
}

// rollingOutages returns outages of one minion after the other.
func rollingOutages(minions int, interval time.Duration) []outage {
	var outages []outage
	for number := range minions {
		outages = append(outages, outage{at: time.Duration(number+1) * interval, first: number, size: 1})
	}
	return outages
}

// timeToEnd advances until the wide job has ended, at most for a limit, and returns the time.
func (simulation *simulation) timeToEnd(limit time.Duration) time.Duration {
	begin := simulation.now
	for !simulation.recordedState(wideJob).IsFinal() && simulation.now.Sub(begin) < limit {
		simulation.advance(100 * time.Millisecond)
	}
	return simulation.now.Sub(begin)
}

// TestWideStepCompletesAfterOutages guards against a job that its caller has lost because its
// many tasks are tried one at a time, after crashes of minions for which none is the reason.
func TestWideStepCompletesAfterOutages(t *testing.T) {
	t.Parallel()
	scenes := []struct {
		name string
		wideStep
		outages []outage
	}{
		{"racks", wideStep{90, 12, 20 * time.Second}, rackOutages(0, 1, 2, 0)},
		{"racks-again", wideStep{90, 12, 20 * time.Second}, rackOutages(0, 1, 0, 2)},
		{"racks-short", wideStep{90, 12, 8 * time.Second}, rackOutages(0, 1, 2, 0)},
		{"racks-long", wideStep{90, 12, 40 * time.Second}, rackOutages(0, 1, 2, 0)},
		{"racks-wide", wideStep{200, 48, 20 * time.Second}, rackOutages(0, 1, 2, 0, 3, 1)},
		{"rolling", wideStep{90, 12, 20 * time.Second}, rollingOutages(12, 1300*time.Millisecond)},
		{"rolling-wide", wideStep{200, 48, 20 * time.Second}, rollingOutages(48, 300*time.Millisecond)},
		{"rolling-narrow", wideStep{30, 12, 20 * time.Second}, rollingOutages(12, 1300*time.Millisecond)},
	}
	for _, scene := range scenes {
		for _, takeover := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s,takeover=%t", scene.name, takeover), func(t *testing.T) {
				c := quicktest.New(t)
				simulation := newSimulation(1, 2, scene.minions)
				simulation.submitWide(c, scene.wideStep)
				for _, outage := range scene.outages {
					simulation.scheduleOutage(outage)
				}
				if takeover {
					simulation.schedule(18*time.Second, func() { simulation.changeHolder(0, 1) })
				}
				bound := scene.completionBound(scene.outages)
				took := simulation.timeToEnd(10 * time.Minute)
				t.Logf("%s after %s, bound %s", simulation.recordedState(wideJob), took, bound)
				c.Check(simulation.violations, quicktest.HasLen, 0)
				c.Assert(simulation.recordedState(wideJob), quicktest.Equals, specifier.Completed)
				c.Assert(took <= bound, quicktest.IsTrue)
			})
		}
	}
}

// TestCrashingTasksOfWideStepAreFound guards against tasks that crash their minions for ever
// because the other tasks of their step hide them (BUDGET).
func TestCrashingTasksOfWideStepAreFound(t *testing.T) {
	t.Parallel()
	for _, wide := range []wideStep{{90, 12, 20 * time.Second}, {200, 48, 20 * time.Second}} {
		for _, delay := range append([]time.Duration{4 * time.Second, 10 * time.Second}, crashDelays...) {
			for _, crashing := range []int{1, 3, wide.tasks} {
				for _, takeovers := range []bool{false, true} {
					t.Run(fmt.Sprintf("tasks=%d,delay=%s,crashing=%d,takeovers=%t", wide.tasks, delay, crashing, takeovers), func(t *testing.T) {
						checkCrashingWideStep(t, wide, delay, crashing, takeovers)
					})
				}
			}
		}
	}
}

// checkCrashingWideStep checks that the job of a step is given up of which some tasks, spread
// evenly, crash their minions, and how many minions it costs.
func checkCrashingWideStep(t *testing.T, wide wideStep, delay time.Duration, crashing int, takeovers bool) {
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, wide.minions)
	simulation.jobsCrash(string(wideJob), delay)
	simulation.crashing.contains = func(task specifier.Task) bool { return task.Index%(wide.tasks/crashing) == 0 }
	simulation.submitWithTakeovers(wide, takeovers)
	took := simulation.timeToEnd(10 * time.Minute)
	t.Logf("%s after %s, %d crashes, %d runs of others", simulation.recordedReason(wideJob), took,
		simulation.crashing.crashes, simulation.crashing.innocentRuns)
	c.Check(simulation.violations, quicktest.HasLen, 0)
	c.Check(simulation.crashing.crashes <= maxWideCrashes(wide, crashing, takeovers), quicktest.IsTrue)
	c.Assert(simulation.recordedState(wideJob), quicktest.Equals, specifier.Failed)
}

// maxWideCrashes returns how many minions a wide step with crashing tasks may cost: each of
// them twice until there is evidence against all tasks, once more if a takeover hides the crash
// under the first run, and then those of one job.
func maxWideCrashes(wide wideStep, crashing int, takeovers bool) int {
	waves := 2
	if takeovers {
		waves++
	}
	return min(crashing*maxCrashesPerJob, waves*wide.minions+maxCrashesPerJob)
}

// submitWithTakeovers submits a wide step, and changes the holder some times if wanted.
func (simulation *simulation) submitWithTakeovers(wide wideStep, takeovers bool) {
	const changes = 4
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf(string(wideJob), smallStep(wide.tasks, wide.runTime)))
	for round := range changes {
		if takeovers {
			simulation.schedule(time.Duration(round+1)*7*time.Second, func() { simulation.changeHolder(round%2, 1-round%2) })
		}
	}
}
