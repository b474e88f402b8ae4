package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// TestCrashingTasksThatStartTogetherAreGivenUp guards against tasks of several jobs that
// crash their minions for ever (BUDGET): their crashes at the same age look like one common
// cause, and count against none of them.
func TestCrashingTasksThatStartTogetherAreGivenUp(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{700 * time.Millisecond, 3 * time.Second, 5 * time.Second} {
		for _, jobs := range []int{2, 6} {
			t.Run(fmt.Sprintf("delay=%s,jobs=%d", delay, jobs), func(t *testing.T) {
				c := quicktest.New(t)
				simulation := newSimulation(1, 1, 32)
				simulation.jobsCrash("bad", delay)
				simulation.makeHolder(simulation.nodes[0])
				simulation.advance(time.Second)
				for number := range jobs {
					simulation.submit(jobOf(fmt.Sprintf("bad%d", number), wholeMinions(5, 20*time.Second)))
				}
				simulation.advance(3 * time.Minute)
				t.Logf("%d crashes, %d violations", simulation.crashing.crashes, len(simulation.violations))
				c.Check(simulation.violations, quicktest.HasLen, 0)
				for number := range jobs {
					c.Check(simulation.recordedState(identifier.Job(fmt.Sprintf("bad%d", number))), quicktest.Equals, specifier.Failed)
				}
			})
		}
	}
}

// TestTaskWithCrashesOfVaryingAgeIsGivenUp guards against a task that crashes its minions at
// varying ages and is started too often (BUDGET), because a run that has worked for a little
// longer than the earlier ones makes the planner forget their crashes.
func TestTaskWithCrashesOfVaryingAgeIsGivenUp(t *testing.T) {
	t.Parallel()
	const seeds = 40
	for _, longest := range []time.Duration{3 * time.Second, 8 * time.Second, 15 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			violating := 0
			for seed := range uint64(seeds) {
				simulation := newSimulation(seed, 1, 8)
				random := rand.New(rand.NewPCG(seed, 5))
				simulation.jobsCrash("bad", 0)
				simulation.crashing.contains = func(specifier.Task) bool {
					simulation.crashing.delay = 50*time.Millisecond + time.Duration(random.Int64N(int64(longest)))
					return true
				}
				simulation.makeHolder(simulation.nodes[0])
				simulation.submit(jobOf("bad", smallStep(1, time.Minute)))
				simulation.advance(5 * time.Minute)
				if len(simulation.violations) > 0 || simulation.recordedState("bad") != specifier.Failed {
					violating++
				}
			}
			t.Logf("%d of %d seeds", violating, seeds)
			quicktest.New(t).Assert(violating, quicktest.Equals, 0)
		})
	}
}

// TestInnocentJobsBesideLateCrashesComplete guards against a job that is shown as failed (LOST)
// because its tasks are on trial beside runs of others that crash their minions late, and
// against starts of those others beyond BUDGET.
func TestInnocentJobsBesideLateCrashesComplete(t *testing.T) {
	t.Parallel()
	const (
		badJobs  = 10
		goodJobs = 20
		seeds    = 6
	)
	for _, delay := range []time.Duration{2200 * time.Millisecond, 4 * time.Second, 8 * time.Second} {
		for _, badTasks := range []int{1, 8} {
			t.Run(fmt.Sprintf("delay=%s,tasks=%d", delay, badTasks), func(t *testing.T) {
				failed, incomplete, violations, crashes := 0, 0, 0, 0
				for seed := range uint64(seeds) {
					simulation := newSimulation(seed, 1, 16)
					random := rand.New(rand.NewPCG(seed, 7))
					simulation.jobsCrash("bad", delay)
					simulation.makeHolder(simulation.nodes[0])
					for number := range goodJobs {
						simulation.schedule(time.Duration(random.Int64N(int64(10*time.Second))), func() {
							if number < badJobs {
								simulation.submit(jobOf(fmt.Sprintf("bad%d", number), smallStep(badTasks, 20*time.Second)))
							}
							simulation.submit(jobOf(fmt.Sprintf("good%d", number), smallStep(12, 12*time.Second)))
						})
					}
					simulation.advance(5 * time.Minute)
					for number := range goodJobs {
						switch simulation.recordedState(identifier.Job(fmt.Sprintf("good%d", number))) {
						case specifier.Failed:
							failed++
						case specifier.Completed:
						default:
							incomplete++
						}
					}
					violations += len(simulation.violations)
					crashes += simulation.crashing.crashes
				}
				t.Logf("%d failed and %d not complete of %d jobs, %d violations, %d crashes", failed, incomplete, seeds*goodJobs, violations, crashes)
				c := quicktest.New(t)
				c.Check(failed, quicktest.Equals, 0)
				c.Check(incomplete, quicktest.Equals, 0)
				c.Check(violations, quicktest.Equals, 0)
			})
		}
	}
}

// TestTaskThatCrashesMinionsLateIsGivenUp guards against a single task that is started too often
// (BUDGET) because it crashes its minions seconds after its start.
func TestTaskThatCrashesMinionsLateIsGivenUp(t *testing.T) {
	t.Parallel()
	for _, delay := range []time.Duration{3 * time.Second, 6 * time.Second, 8 * time.Second, 15 * time.Second, 40 * time.Second} {
		for _, refuses := range []bool{false, true} {
			for _, gang := range []bool{false, true} {
				t.Run(fmt.Sprintf("delay=%s,refuses=%t,gang=%t", delay, refuses, gang), func(t *testing.T) {
					c := quicktest.New(t)
					simulation := newSimulation(1, 1, 8)
					simulation.jobsCrash("bad", delay)
					simulation.crashing.refuses, simulation.crashing.renames = refuses, true
					simulation.makeHolder(simulation.nodes[0])
					simulation.advance(time.Second)
					step := wholeMinions(2, time.Minute)
					step.Gang = gang
					simulation.submit(jobOf("bad", step))
					simulation.advance(10 * time.Minute)
					t.Logf("%s, %d crashes", simulation.recordedState("bad"), simulation.crashing.crashes)
					c.Check(simulation.violations, quicktest.HasLen, 0)
					c.Assert(simulation.recordedState("bad"), quicktest.Equals, specifier.Failed)
				})
			}
		}
	}
}

// TestTaskWhoseMinionsAreDownForLongIsGivenUp guards against a task that crashes its minions for
// ever (BUDGET) because they are down for long and refuse no connections, as a virtual machine
// that ends with its processes does.
func TestTaskWhoseMinionsAreDownForLongIsGivenUp(t *testing.T) {
	t.Parallel()
	for _, downTime := range []time.Duration{5 * time.Second, 9 * time.Second, 20 * time.Second} {
		for _, renames := range []bool{false, true} {
			t.Run(fmt.Sprintf("down=%s,renames=%t", downTime, renames), func(t *testing.T) {
				c := quicktest.New(t)
				simulation := newSimulation(1, 1, 8)
				simulation.jobsCrash("bad", 50*time.Millisecond)
				simulation.crashing.downTime, simulation.crashing.renames = downTime, renames
				simulation.makeHolder(simulation.nodes[0])
				simulation.submit(jobOf("bad", smallStep(1, 4*time.Second)))
				simulation.advance(10 * time.Minute)
				recorded := simulation.recordedCrashes(specifier.Task{Job: "bad"})
				t.Logf("%s, %d crashes, %d of them recorded", simulation.recordedState("bad"), simulation.crashing.crashes, recorded)
				c.Check(simulation.violations, quicktest.HasLen, 0)
				c.Assert(simulation.recordedState("bad"), quicktest.Equals, specifier.Failed)
			})
		}
	}
}

// TestCrashingTaskOfVeryWideStepIsGivenUp guards against a task that is started too often
// (BUDGET) because the record has no room for its crashes or placements, and each crash is
// followed by a takeover.
func TestCrashingTaskOfVeryWideStepIsGivenUp(t *testing.T) {
	t.Parallel()
	const minions = 80
	for _, tasks := range []int{400, 600} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 2, minions)
			simulation.jobsCrash("wide", 500*time.Millisecond)
			simulation.crashing.contains = func(task specifier.Task) bool { return task.Index == tasks-1 }
			simulation.makeHolder(simulation.nodes[0])
			simulation.advance(time.Second)
			simulation.submit(jobOf("wide", smallStep(tasks, 5*time.Minute)))
			known, round := 0, 0
			for until := simulation.now.Add(4 * time.Minute); simulation.now.Before(until) && !simulation.recordedState("wide").IsFinal(); {
				simulation.advance(100 * time.Millisecond)
				if simulation.crashing.crashes > known {
					known = simulation.crashing.crashes
					simulation.changeHolder(round%2, 1-round%2)
					round++
				}
			}
			t.Logf("%s, %d crashes", simulation.recordedState("wide"), simulation.crashing.crashes)
			c.Check(simulation.violations, quicktest.HasLen, 0)
			c.Assert(simulation.recordedState("wide"), quicktest.Equals, specifier.Failed)
		})
	}
}
