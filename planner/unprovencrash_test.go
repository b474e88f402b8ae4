package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// unprovenScene is a task that crashes its minions, of which some crashes prove nothing.
type unprovenScene struct {
	delay, downTime time.Duration
	// hidden are the numbers of the crashes that a takeover hides, and shared those at which the
	// minions of another job crash as well.
	hidden, shared map[int]bool
}

// crashMinionsOf crashes all minions that have only runs of a job, for a reason of their own.
func (simulation *simulation) crashMinionsOf(job string) {
	for _, minion := range simulation.sortedMinions() {
		if !minion.alive || len(minion.runs) == 0 || string(minion.sortedRuns()[0].task.Job) != job {
			continue
		}
		waiters := minion.waiters
		minion.crash()
		for _, wake := range waiters {
			wake()
		}
		simulation.schedule(crashDownTime, func() { simulation.bringBack(minion) })
	}
}

// play plays the scene until the job has ended, and returns the number of crashes.
func (scene unprovenScene) play(simulation *simulation) int {
	const limit = 3 * time.Minute
	simulation.jobsCrash("bad", scene.delay)
	simulation.crashing.downTime = scene.downTime
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("others", wholeMinions(6, 10*time.Minute)))
	simulation.advance(10 * time.Second)
	simulation.submit(jobOf("bad", wholeMinions(1, time.Minute)))
	known, holder := 0, 0
	for until := simulation.now.Add(limit); simulation.now.Before(until) && !simulation.recordedState("bad").IsFinal(); {
		simulation.advance(5 * time.Millisecond)
		if simulation.crashing.crashes == known {
			continue
		}
		known = simulation.crashing.crashes
		if scene.hidden[known] {
			simulation.changeHolder(holder, 1-holder)
			holder = 1 - holder
		}
		if scene.shared[known] {
			simulation.crashMinionsOf("others")
		}
	}
	return simulation.crashing.crashes
}

// TestTaskWithUnprovenCrashesIsGivenUp guards against a task that is started too often (BUDGET)
// because one or two of its crashes prove nothing: a takeover hides one, or other minions fall
// silent at the same moment.
func TestTaskWithUnprovenCrashesIsGivenUp(t *testing.T) {
	t.Parallel()
	scenes := map[string]unprovenScene{
		"hidden,shared":         {downTime: crashDownTime, hidden: map[int]bool{1: true}, shared: map[int]bool{2: true}},
		"hidden,shared,late":    {delay: 4 * time.Second, downTime: 5 * time.Second, hidden: map[int]bool{1: true}, shared: map[int]bool{2: true}},
		"shared-twice-on-trial": {delay: 4 * time.Second, downTime: crashDownTime, shared: map[int]bool{3: true, 4: true}},
	}
	for name, scene := range scenes {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 2, 12)
			crashes := scene.play(simulation)
			comment := quicktest.Commentf("%s", simulation.decisionsAbout("bad"))
			t.Logf("%d crashes", crashes)
			c.Check(simulation.violations, quicktest.HasLen, 0, comment)
			c.Assert(simulation.recordedState("bad"), quicktest.Equals, specifier.Failed, comment)
		})
	}
}
