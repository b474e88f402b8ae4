package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// sharedEvidence returns the recorded crashes on trial, by the minion that crashed, under which
// several tasks of a plain step were on trial.
func (simulation *simulation) sharedEvidence() []string {
	type life struct {
		minion      identifier.Minion
		incarnation identifier.Incarnation
	}
	tasks, shared := make(map[life]specifier.Task), []string(nil)
	for _, record := range simulation.progress {
		for _, crash := range record.Progress.Crashes {
			if !crash.OnTrial {
				continue
			}
			crashed := life{crash.Minion, crash.Incarnation}
			task := specifier.Task{Job: record.Job, Occurrence: crash.Occurrence, Step: crash.Step, Index: crash.Index}
			if known, isKnown := tasks[crashed]; isKnown && known != task {
				shared = append(shared, fmt.Sprintf("%s: %s and %s", crash.Minion, known, task))
			}
			tasks[crashed] = task
		}
	}
	return shared
}

// TestSharedTrialIsNoEvidence guards against a task that is given up for crashes of minions
// on which others were on trial with it.
func TestSharedTrialIsNoEvidence(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{50 * time.Millisecond, 700 * time.Millisecond, 1900 * time.Millisecond, 4 * time.Second} {
		for _, takeovers := range []bool{false, true} {
			t.Run(fmt.Sprintf("delay=%s,takeovers=%t", delay, takeovers), func(t *testing.T) {
				c := quicktest.New(t)
				simulation := newSimulation(1, 2, 12)
				simulation.jobsCrash(string(wideJob), delay)
				simulation.crashing.contains = func(task specifier.Task) bool { return task.Index%8 == 7 }
				simulation.submitWithTakeovers(wideStep{90, 12, 20 * time.Second}, takeovers)
				simulation.timeToEnd(5 * time.Minute)
				c.Assert(simulation.recordedState(wideJob), quicktest.Equals, specifier.Failed)
				c.Assert(simulation.sharedEvidence(), quicktest.HasLen, 0)
				c.Assert(simulation.violations, quicktest.HasLen, 0)
			})
		}
	}
}

// TestCrashOnTrialRequiresWholeTrial guards against a task that is cleared after a short trial
// although a minion has crashed while it was alone on trial there.
func TestCrashOnTrialRequiresWholeTrial(t *testing.T) {
	t.Parallel()
	const (
		// age is for how long the runs work that crash their minions, wholeTrial the time that
		// the next one then has to work.
		age        = 6 * time.Second
		wholeTrial = age + age/2
	)
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 8)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf("a", smallStep(1, time.Minute)))
	task := specifier.Task{Job: "a"}
	for _, worked := range []time.Duration{age, age, time.Second} { // the third one is on trial
		simulation.advanceUntilRunning(c, task)
		simulation.advance(worked)
		minion := simulation.runningOn(task)
		minion.crash()
		simulation.schedule(restartTime, func() { simulation.restart(minion) })
	}
	simulation.advanceUntilRunning(c, task)
	simulation.advance(wholeTrial)
	c.Assert(simulation.decisionsAbout("a.0.0.0"), quicktest.Contains, "on-trial=true crashes=3")
	c.Assert(simulation.hasDecision("task-cleared"), quicktest.IsFalse, quicktest.Commentf("%s", simulation.decisionsAbout("a.0.0.0")))
	simulation.advance(2 * time.Second)
	c.Assert(simulation.hasDecision("task-cleared"), quicktest.IsTrue)
}

func (simulation *simulation) hasDecision(outcome string) bool {
	for _, line := range simulation.decisions {
		if strings.Contains(line, outcome) {
			return true
		}
	}
	return false
}

// advanceUntilRunning advances until a task runs on a minion.
func (simulation *simulation) advanceUntilRunning(c *quicktest.C, task specifier.Task) {
	const limit = 20 * time.Second
	until := simulation.now.Add(limit)
	for simulation.runningOn(task) == nil && simulation.now.Before(until) {
		simulation.advance(10 * time.Millisecond)
	}
	c.Assert(simulation.runningOn(task), quicktest.IsNotNil)
}
