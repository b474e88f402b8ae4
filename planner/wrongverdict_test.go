package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestCrashesOfBusyRacksFailNoJob guards against a job that is given up (LOST) although whole
// racks crash at once: minions with runs of the same step, or with runs that have just
// started, do not count as others that crashed with one.
func TestCrashesOfBusyRacksFailNoJob(t *testing.T) {
	t.Parallel()
	const (
		seeds = 12
		waves = 10
	)
	scenes := []struct {
		name    string
		jobs    int
		tasks   int
		minions int
		runTime time.Duration
	}{
		{"one-step", 1, 90, 12, 30 * time.Second},
		{"one-step-narrow", 1, 12, 12, 30 * time.Second},
		{"short-tasks", 80, 12, 12, 1500 * time.Millisecond},
		{"short-tasks-wide", 200, 12, 48, 1500 * time.Millisecond},
	}
	for _, scene := range scenes {
		for _, gang := range []bool{false, true} {
			for _, share := range []float64{0.3, 0.6} {
				t.Run(fmt.Sprintf("%s,gang=%t,share=%.1f", scene.name, gang, share), func(t *testing.T) {
					t.Parallel()
					failed, incomplete := 0, 0
					for seed := range uint64(seeds) {
						simulation := newSimulation(seed, 1, scene.minions)
						random := rand.New(rand.NewPCG(seed, 6))
						simulation.makeHolder(simulation.nodes[0])
						simulation.advance(time.Second)
						for number := range scene.jobs {
							step := smallStep(scene.tasks, scene.runTime)
							step.Gang = gang
							simulation.schedule(time.Duration(number)*40*time.Second/time.Duration(scene.jobs), func() {
								simulation.submit(jobOf(fmt.Sprintf("good%d", number), step))
							})
						}
						for range waves {
							simulation.advance(3*time.Second + time.Duration(random.Int64N(int64(2*time.Second))))
							simulation.crashRacks(random, share)
						}
						simulation.advance(150 * time.Second)
						for number := range scene.jobs {
							switch simulation.recordedState(identifier.Job(fmt.Sprintf("good%d", number))) {
							case specifier.Failed:
								failed++
							case specifier.Completed:
							default:
								incomplete++
							}
						}
					}
					t.Logf("%d failed and %d not complete of %d jobs", failed, incomplete, seeds*scene.jobs)
					quicktest.New(t).Assert(failed, quicktest.Equals, 0)
				})
			}
		}
	}
}

// crashRacks crashes all minions of some racks at once.
func (simulation *simulation) crashRacks(random *rand.Rand, share float64) {
	chosen := make(map[int]bool)
	for rack := range (len(simulation.minions) + 3) / 4 {
		chosen[rack] = random.Float64() < share
	}
	for _, minion := range simulation.sortedMinions() {
		if chosen[minion.rack] && minion.alive {
			minion.crash()
			simulation.schedule(crashDownTime, func() { simulation.bringBack(minion) })
		}
	}
}

// TestRunThatEndedBehindCutFailsNoJob guards against a job that is shown as failed (LOST)
// although each run of its task had ended as done, before its minion started anew: the minion
// could not list the end.
func TestRunThatEndedBehindCutFailsNoJob(t *testing.T) {
	t.Parallel()
	for _, refuses := range []bool{false, true} {
		t.Run(fmt.Sprintf("refuses=%t", refuses), func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, 8)
			simulation.makeHolder(simulation.nodes[0])
			simulation.advance(time.Second)
			simulation.submit(jobOf("good", smallStep(1, time.Second)))
			simulation.cutEachRun(specifier.Task{Job: "good"}, 20*time.Second, 500*time.Millisecond, func(minion *fakeMinion) {
				minion.faults.garbles = func(messenger.Order) classifier.Code { return classifier.OutcomeUnknown }
				simulation.setReachable(false, minion.name)
				simulation.schedule(1500*time.Millisecond, func() { // the run has ended one second ago
					minion.crash()
					minion.faults.garbles = nil
					minion.faults.refusesConnections = refuses
				})
				simulation.schedule(2500*time.Millisecond, func() {
					minion.faults.refusesConnections = false
					minion.start()
					simulation.setReachable(true, minion.name)
					simulation.deliverAllReports()
				})
			})
			simulation.advance(time.Minute)
			simulation.checkFailures()
			comment := quicktest.Commentf("%s", simulation.decisionsAbout("good"))
			c.Check(simulation.violations, quicktest.HasLen, 0, comment)
			c.Assert(simulation.recordedState("good"), quicktest.Equals, specifier.Completed, comment)
		})
	}
}

// cutEachRun calls strike for the minion of each run of a task, when it has worked for a time.
func (simulation *simulation) cutEachRun(task specifier.Task, span, worked time.Duration, strike func(*fakeMinion)) {
	struck := make(map[*fakeRun]bool)
	for until := simulation.now.Add(span); simulation.now.Before(until); {
		simulation.advance(10 * time.Millisecond)
		if run := simulation.runOf(task); run != nil && !struck[run] && simulation.now.Sub(run.started) >= worked {
			struck[run] = true
			strike(run.minion)
		}
	}
}

// TestWallClocksThatDifferFailNoJob guards against a job that is shown as failed (LOST) because
// the wall clocks of minions are behind: their next lives seem to begin before the leases of
// the runs ended.
func TestWallClocksThatDifferFailNoJob(t *testing.T) {
	t.Parallel()
	for _, behind := range []time.Duration{0, 2 * time.Second, 3 * time.Second} {
		t.Run(behind.String(), func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, 8)
			for _, minion := range simulation.sortedMinions() {
				minion.incarnation -= identifier.Incarnation(behind.Milliseconds())
			}
			simulation.makeHolder(simulation.nodes[0])
			simulation.advance(time.Second)
			simulation.submit(jobOf("good", smallStep(1, 30*time.Second)))
			simulation.cutEachRun(specifier.Task{Job: "good"}, 60*time.Second, 500*time.Millisecond, func(minion *fakeMinion) {
				simulation.setReachable(false, minion.name)
				simulation.schedule(5500*time.Millisecond, func() { // its runs have lapsed a second ago
					minion.start()
					minion.incarnation -= identifier.Incarnation(behind.Milliseconds())
					simulation.setReachable(true, minion.name)
					simulation.deliverAllReports()
				})
			})
			simulation.advance(time.Minute)
			simulation.checkFailures()
			t.Logf("%d crashes recorded as proven", simulation.provenCrashes("good"))
			c.Check(simulation.provenCrashes("good"), quicktest.Equals, 0)
			c.Check(simulation.violations, quicktest.HasLen, 0)
			c.Assert(simulation.recordedState("good"), quicktest.Equals, specifier.Completed, quicktest.Commentf("%s", simulation.decisionsAbout("good")))
		})
	}
}

// provenCrashes returns the largest number of crashes of a job that are recorded as proven.
func (simulation *simulation) provenCrashes(id identifier.Job) int {
	most := 0
	for _, record := range simulation.progress {
		count := 0
		for _, crash := range record.Progress.Crashes {
			if record.Job == id && crash.Evidence == specifier.Proven {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// TestBrokenGangBehindCutFailsNoJob guards against a gang that is shown as failed (LOST): the
// run of one member had been broken behind a cut, because another member lost its minion, and
// its own minion started anew later.
func TestBrokenGangBehindCutFailsNoJob(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 12)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	step := wholeMinions(2, 30*time.Second)
	step.Gang = true
	simulation.submit(jobOf("good", step))
	member := specifier.Task{Job: "good", Index: 1}
	simulation.cutEachRun(member, 60*time.Second, 500*time.Millisecond, func(minion *fakeMinion) {
		run := simulation.runOf(member)
		simulation.setReachable(false, minion.name)
		simulation.schedule(time.Second, func() { // the other member's end breaks the gang
			minion.endRun(run, messenger.EndGangBroken)
			simulation.breakGang(run, messenger.EndStopped)
		})
		simulation.schedule(2*time.Second, func() {
			minion.start()
			simulation.setReachable(true, minion.name)
			simulation.deliverAllReports()
		})
	})
	simulation.advance(time.Minute)
	simulation.checkFailures()
	comment := quicktest.Commentf("%s", simulation.decisionsAbout("good"))
	c.Check(simulation.violations, quicktest.HasLen, 0, comment)
	c.Assert(simulation.recordedState("good"), quicktest.Equals, specifier.Completed, comment)
}

// TestStopWithLostAnswerFailsNoJob guards against a job that is shown as failed (LOST): a stop
// reached a minion whose answers were lost, and the minion started anew after that run.
func TestStopWithLostAnswerFailsNoJob(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 12)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	step := wholeMinions(2, 30*time.Second)
	step.Gang = true
	simulation.submit(jobOf("good", step))
	member, other := specifier.Task{Job: "good", Index: 1}, specifier.Task{Job: "good"}
	simulation.cutEachRun(member, 80*time.Second, 500*time.Millisecond, func(minion *fakeMinion) {
		minion.faults.garbles = func(messenger.Order) classifier.Code { return classifier.OutcomeUnknown }
		if run := simulation.runOf(other); run != nil {
			simulation.schedule(1500*time.Millisecond, func() { run.minion.endRun(run, messenger.EndStopped) })
		}
		simulation.schedule(3500*time.Millisecond, func() {
			minion.faults.garbles = nil
			minion.start()
			simulation.deliverAllReports()
		})
	})
	simulation.advance(time.Minute)
	simulation.checkFailures()
	comment := quicktest.Commentf("%s", simulation.decisionsAbout("good"))
	c.Check(simulation.violations, quicktest.HasLen, 0, comment)
	c.Assert(simulation.recordedState("good"), quicktest.Equals, specifier.Completed, comment)
}

// TestUnsentTrialsFailNoJob guards against a job that is shown as failed (LOST): trials were
// recorded by holders that ended before they sent the starts, and the minions started anew.
func TestUnsentTrialsFailNoJob(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 8)
	simulation.jobsCrash("none", 0)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf("good", smallStep(1, 30*time.Second)))
	task := specifier.Task{Job: "good"}
	simulation.advance(100 * time.Millisecond)
	simulation.crashUnder(simulation.runOf(task))
	seen := make(map[identifier.Minion]bool)
	for round := range 6 {
		placed := identifier.Minion("")
		for _, minion := range simulation.sortedMinions() {
			minion.faults.loses = func(order messenger.Order) bool {
				start, isStart := order.(messenger.StartRun)
				if isStart && start.Task == task {
					placed = minion.name
				}
				return isStart && start.Task == task
			}
		}
		for until := simulation.now.Add(30 * time.Second); placed == "" && simulation.now.Before(until); {
			simulation.advance(10 * time.Millisecond)
		}
		if placed == "" || simulation.recordedState("good").IsFinal() {
			break
		}
		seen[placed] = true
		simulation.changeHolder(round%2, 1-round%2)
		minion := simulation.minions[placed]
		minion.crash()
		simulation.schedule(crashDownTime, func() { simulation.bringBack(minion) })
		simulation.advance(20 * time.Millisecond)
	}
	for _, minion := range simulation.sortedMinions() {
		minion.faults.loses = nil
	}
	simulation.advance(time.Minute)
	simulation.checkFailures()
	comment := quicktest.Commentf("%d minions\n%s", len(seen), simulation.decisionsAbout("good"))
	c.Check(simulation.violations, quicktest.HasLen, 0, comment)
	c.Assert(simulation.recordedState("good"), quicktest.Equals, specifier.Completed, comment)
}

// TestCommonCauseOutlivesTakeover guards against a job that is shown as failed (LOST): racks
// crash at once while its task is alone on trial, and the holder that has noted it ends before
// the other minions are back.
func TestCommonCauseOutlivesTakeover(t *testing.T) {
	t.Parallel()
	const seeds = 12
	for _, takeovers := range []bool{false, true} {
		for _, stagger := range []time.Duration{0, 300 * time.Millisecond} {
			t.Run(fmt.Sprintf("takeovers=%t,stagger=%s", takeovers, stagger), func(t *testing.T) {
				failed := 0
				for seed := range uint64(seeds) {
					simulation := newSimulation(seed, 2, 16)
					simulation.crashing.refuses = true
					simulation.makeHolder(simulation.nodes[0])
					simulation.advance(time.Second)
					simulation.submit(jobOf("good", smallStep(1, 60*time.Second)))
					round := 0
					simulation.cutEachRun(specifier.Task{Job: "good"}, 60*time.Second, 700*time.Millisecond, func(minion *fakeMinion) {
						delay := time.Duration(0)
						for _, other := range simulation.sortedMinions() {
							if !other.alive || (other != minion && other.rack == minion.rack%3) {
								continue
							}
							other.crash()
							other.faults.refusesConnections = true
							back := crashDownTime
							if other != minion {
								back += min(stagger+delay, 400*time.Millisecond)
								delay += 7 * time.Millisecond
							}
							simulation.schedule(back, func() { simulation.bringBack(other) })
						}
						if takeovers {
							from := round % 2
							simulation.schedule(crashDownTime+100*time.Millisecond, func() { simulation.changeHolder(from, 1-from) })
							round++
						}
					})
					simulation.advance(90 * time.Second)
					if simulation.recordedState("good") == specifier.Failed {
						failed++
					}
				}
				t.Logf("%d failed of %d jobs", failed, seeds)
				quicktest.New(t).Assert(failed, quicktest.Equals, 0)
			})
		}
	}
}
