package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/specifier"
)

// submitLasting submits a job of a step that lasts and advances until its tasks run.
func (simulation *simulation) submitLasting(c *quicktest.C, step specifier.Step) {
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf(string(lastingJob), step))
	simulation.advance(100 * time.Millisecond)
	c.Assert(simulation.countWorking(lastingJob), quicktest.Equals, step.Tasks)
}

// crashMinionsOfLasting crashes a number of the minions with tasks of the lasting job, for a
// reason of their own.
func (simulation *simulation) crashMinionsOfLasting(count int) {
	for _, minion := range simulation.sortedMinions() {
		if count > 0 && minion.alive && len(minion.runs) > 0 {
			count--
			minion.crash()
			simulation.schedule(restartTime, func() { simulation.restart(minion) })
		}
	}
}

// calmTime is how long the time before a wait must have been calm for the rule to count it.
const calmTime = 4 * time.Second

// checkLastingTasks advances and returns the first breach of the rule on tasks that last: one has
// had no run for maxRestartTime, and no disruption since the last one, which ends at a given time.
// The pool must have room for all tasks all the while.
func (simulation *simulation) checkLastingTasks(tasks int, calmSince time.Time, span time.Duration) string {
	lastRuns := make([]time.Time, tasks)
	breach := ""
	for until := simulation.now.Add(span); simulation.now.Before(until); simulation.advance(50 * time.Millisecond) {
		waiting, longest := 0, time.Duration(0)
		for index := range tasks {
			if len(simulation.taskState(specifier.Task{Job: lastingJob, Index: index}).running) > 0 {
				lastRuns[index] = simulation.now
			} else if waited := simulation.now.Sub(lastRuns[index]); waited > maxRestartTime {
				waiting, longest = waiting+1, max(longest, waited)
			}
		}
		if breach == "" && waiting > 0 && simulation.now.Sub(calmSince) >= calmTime+maxIdleTime {
			breach = fmt.Sprintf("%d tasks have had no run for up to %s, in calm for %s", waiting, longest, simulation.now.Sub(calmSince))
		}
	}
	return breach
}

// lastingScene is a step of tasks that last and what happens to its minions.
type lastingScene struct {
	tasks, minions int
	// maxPerMinion is the limit of the step, zero for none.
	maxPerMinion int
	// crashes are the numbers of minions that crash at a time, the first ones at an age of their
	// runs, the others interval apart.
	crashes       []int
	age, interval time.Duration
	// takeover means that the holder changes once the last minion is back.
	takeover bool
}

// check plays the scene and checks that the tasks run again in time.
func (lastingScene lastingScene) check(t *testing.T) {
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, lastingScene.minions)
	step := lastingStep(lastingScene.tasks)
	step.MaxPerMinion = lastingScene.maxPerMinion
	simulation.submitLasting(c, step)
	lastBack := time.Duration(0)
	for number, count := range lastingScene.crashes {
		at := lastingScene.age + time.Duration(number)*lastingScene.interval
		simulation.schedule(at, func() { simulation.crashMinionsOfLasting(count) })
		lastBack = at + restartTime
	}
	calmSince := simulation.now.Add(lastBack)
	if lastingScene.takeover {
		simulation.schedule(lastBack, func() { simulation.changeHolder(0, 1) })
		calmSince = calmSince.Add(claimTimeout)
	}
	breach := simulation.checkLastingTasks(lastingScene.tasks, calmSince, lastBack+40*time.Second)
	c.Check(simulation.violations, quicktest.HasLen, 0)
	c.Check(simulation.countWorking(lastingJob), quicktest.Equals, lastingScene.tasks)
	c.Assert(breach, quicktest.Equals, "")
}

// TestTasksThatLastRunAgainInTimeAfterCrash guards against tasks that last and wait for the
// trials of others of their step in a pool with room, after crashes soon after their start
// for which none of them is the reason (LOST).
func TestTasksThatLastRunAgainInTimeAfterCrash(t *testing.T) {
	t.Parallel()
	scenes := map[string]lastingScene{
		"one":          {tasks: 60, minions: 8, crashes: []int{1}},
		"one,takeover": {tasks: 60, minions: 8, crashes: []int{1}, takeover: true},
		"together":     {tasks: 180, minions: 16, crashes: []int{2}},
		"wide":         {tasks: 600, minions: 48, crashes: []int{4}},
		"one-each":     {tasks: 150, minions: 200, maxPerMinion: 1, crashes: []int{28}},
		"twice":        {tasks: 60, minions: 8, crashes: []int{1, 1}, interval: 6 * time.Second},
	}
	for name, scene := range scenes {
		for _, age := range []time.Duration{200 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
			scene.age = age
			t.Run(fmt.Sprintf("%s,age=%s", name, age), scene.check)
		}
	}
	for _, age := range []time.Duration{200 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprintf("twice,takeover,age=%s", age), unseenCrash(age).check)
	}
}

// TestTasksThatLastRunAgainInTimeAfterLateCrashes guards against tasks that last and wait (LOST)
// while the first of their step works on trial for as long as it had worked before its minion
// crashed for the second time, for which none of them is the reason.
func TestTasksThatLastRunAgainInTimeAfterLateCrashes(t *testing.T) {
	t.Parallel()
	for _, age := range []time.Duration{3 * time.Second, 6 * time.Second, 12 * time.Second, 40 * time.Second} {
		scene := lastingScene{tasks: 60, minions: 8, crashes: []int{1, 1}, age: age, interval: age + restartTime}
		t.Run(fmt.Sprintf("age=%s", age), scene.check)
	}
}

// unseenCrash returns a scene in which a takeover hides a second crash.
func unseenCrash(age time.Duration) lastingScene {
	return lastingScene{tasks: 60, minions: 8, crashes: []int{1, 1}, age: age, interval: 6 * time.Second, takeover: true}
}

// TestTasksThatLastRunAgainInTimeAfterUnseenCrash guards against tasks that last and wait longer
// than the rule allows (LOST) because a takeover hides a second crash: the new holder waits for
// the leases of the former one, and then for the first trial.
func TestTasksThatLastRunAgainInTimeAfterUnseenCrash(t *testing.T) {
	t.Parallel()
	unseenCrash(1500 * time.Millisecond).check(t)
}
