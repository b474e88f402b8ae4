package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// minCrashesOfFailedJob is the number of minions that must have crashed under one task before
// its job may be shown as failed.
const minCrashesOfFailedJob = 2

// innocentJobs is the number of jobs whose tasks neither fail nor crash their minions.
const innocentJobs = 3

// mostCrashedTask returns the largest number of minions that have crashed while they had a run
// of one and the same task of a job.
func (simulation *simulation) mostCrashedTask(id identifier.Job) int {
	most := 0
	for task, state := range simulation.tasks {
		if task.Job == id {
			most = max(most, state.lostWithMinion)
		}
	}
	return most
}

// checkFailures reports the jobs that are shown as failed although no minion, or only one, has
// crashed under any of their tasks. No task of them fails by itself.
func (simulation *simulation) checkFailures() {
	for id := range simulation.jobs {
		if simulation.recordedState(id) == specifier.Failed && simulation.mostCrashedTask(id) < minCrashesOfFailedJob {
			simulation.reportViolation("%s: shown as failed, %d minions have crashed under its most tried task", id, simulation.mostCrashedTask(id))
		}
	}
}

// minionsWithRuns returns the minions that run tasks, in the order of their names.
func (simulation *simulation) minionsWithRuns() []*fakeMinion {
	var busy []*fakeMinion
	for _, minion := range simulation.sortedMinions() {
		if len(minion.runs) > 0 {
			busy = append(busy, minion)
		}
	}
	return busy
}

// isolation is what happens to minions that are cut off from all nodes and from the store.
type isolation struct {
	// rebornAfter is when the minion starts anew behind the cut, zero for never. Its runs have
	// ended before if that is later than their leases.
	rebornAfter time.Duration
	duration    time.Duration
}

// strike isolates a minion for a time.
func (simulation *simulation) strike(minion *fakeMinion, isolation isolation) {
	simulation.cutOff(true, minion.name)
	if isolation.rebornAfter > 0 {
		simulation.schedule(isolation.rebornAfter, minion.start)
	}
	simulation.schedule(isolation.duration, func() { simulation.cutOff(false, minion.name) })
}

// isolations are those of TestMinionsOutOfReachFailNoJob by name.
var isolations = map[string]isolation{
	"out-of-reach":     {duration: 9 * time.Second},
	"reborn-when-idle": {rebornAfter: 7 * time.Second, duration: 12 * time.Second},
	"reborn-at-last":   {rebornAfter: 7 * time.Second, duration: 7100 * time.Millisecond},
}

// TestMinionsOutOfReachFailNoJob guards against jobs that are shown as failed (LOST) because
// their minions were out of reach again and again: their runs ended with their leases, and
// what happened to the minions afterwards says nothing about the tasks.
func TestMinionsOutOfReachFailNoJob(t *testing.T) {
	t.Parallel()
	const seeds = 12
	for name, isolation := range isolations {
		for _, gang := range []bool{false, true} {
			for _, takeovers := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s,gang=%t,takeovers=%t", name, gang, takeovers), func(t *testing.T) {
					t.Parallel()
					c := quicktest.New(t)
					violations := 0
					for seed := range uint64(seeds) {
						simulation := newSimulation(seed, 3, 8)
						simulation.submitInnocentJobs(gang)
						simulation.strikeBusyMinions(isolation, seed, takeovers)
						simulation.checkFailures()
						violations += len(simulation.violations)
						c.Check(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("seed %d", seed))
					}
					t.Logf("%d violations with %d jobs", violations, seeds*innocentJobs)
				})
			}
		}
	}
}

// submitInnocentJobs submits innocentJobs jobs that work longer than an isolation lasts.
func (simulation *simulation) submitInnocentJobs(gang bool) {
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	for number := range innocentJobs {
		step := smallStep(2, 30*time.Second)
		step.Gang = gang
		simulation.submit(jobOf(fmt.Sprintf("good%d", number), step))
	}
	simulation.advance(time.Second)
}

// strikeBusyMinions cuts off the minions that run tasks, round after round, and lets the jobs
// complete afterwards.
func (simulation *simulation) strikeBusyMinions(isolation isolation, seed uint64, takeovers bool) {
	const (
		rounds        = 10
		roundInterval = 13 * time.Second
		variation     = 3 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 2))
	for round := range rounds {
		for _, minion := range simulation.minionsWithRuns() {
			delay := time.Duration(random.Int64N(int64(2 * time.Second)))
			simulation.schedule(delay, func() { simulation.strike(minion, isolation) })
		}
		if takeovers && round%3 == 0 {
			from := round / 3 % 3
			simulation.schedule(3*time.Second, func() { simulation.changeHolder(from, (from+1)%3) })
		}
		simulation.advance(roundInterval + time.Duration(random.Int64N(int64(variation))))
	}
	simulation.advance(90 * time.Second)
}

// TestCrashesOfManyMinionsFailNoJob guards against jobs that are given up because a third of
// all minions crashes at once, again and again: their callers lose them although the minions
// crash for a reason of their own.
func TestCrashesOfManyMinionsFailNoJob(t *testing.T) {
	t.Parallel()
	const (
		seeds        = 8
		minions      = 48
		jobs         = 60
		jobInterval  = 400 * time.Millisecond
		waves        = 7
		waveInterval = 3500 * time.Millisecond
		waveShare    = 0.3
	)
	for _, refuses := range []bool{false, true} {
		t.Run(fmt.Sprintf("refuses=%t", refuses), func(t *testing.T) {
			c := quicktest.New(t)
			failed := 0
			for seed := range uint64(seeds) {
				simulation := newSimulation(seed, 1, minions)
				random := rand.New(rand.NewPCG(seed, 3))
				simulation.crashing.renames, simulation.crashing.refuses = true, refuses
				simulation.makeHolder(simulation.nodes[0])
				for number := range jobs {
					step := smallStep(6, 5*time.Second)
					step.Gang = number%2 == 0
					simulation.schedule(time.Duration(number)*jobInterval, func() { simulation.submit(jobOf(fmt.Sprintf("good%d", number), step)) })
				}
				for range waves {
					simulation.advance(waveInterval)
					simulation.crashShare(random, waveShare)
				}
				simulation.advance(90 * time.Second)
				for number := range jobs {
					if simulation.recordedState(identifier.Job(fmt.Sprintf("good%d", number))) != specifier.Completed {
						failed++
					}
				}
				c.Check(simulation.violations, quicktest.HasLen, 0)
			}
			c.Check(failed, quicktest.Equals, 0)
		})
	}
}

// crashShare crashes a share of the minions at once. They are back soon.
func (simulation *simulation) crashShare(random *rand.Rand, share float64) {
	for _, minion := range simulation.sortedMinions() {
		if !minion.alive || random.Float64() >= share {
			continue
		}
		minion.crash()
		minion.faults.refusesConnections = simulation.crashing.refuses
		simulation.schedule(crashDownTime, func() { simulation.bringBack(minion) })
	}
}

// TestRunThatNeverBeganFailsNoJob guards against a job that is shown as failed (LOST) after
// one crash: the orders to start its next runs do not arrive, and the minions that were to
// run them start anew many seconds later.
func TestRunThatNeverBeganFailsNoJob(t *testing.T) {
	t.Parallel()
	const (
		lossTime   = 40 * time.Second
		rebornTime = 10 * time.Second
	)
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 8)
	simulation.jobsCrash("none", 0)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf("good", smallStep(1, 20*time.Second)))
	task := specifier.Task{Job: "good"}
	for simulation.runOf(task) == nil {
		simulation.advance(10 * time.Millisecond)
	}
	simulation.crashUnder(simulation.runOf(task))
	losesUntil := simulation.now.Add(lossTime)
	for _, minion := range simulation.sortedMinions() {
		minion.faults.loses = func(order messenger.Order) bool {
			start, isStart := order.(messenger.StartRun)
			if !isStart || start.Task != task || simulation.now.After(losesUntil) {
				return false
			}
			if !minion.unregistered {
				minion.unregistered = true
				simulation.schedule(0, func() { simulation.strike(minion, isolation{rebornAfter: rebornTime, duration: rebornTime}) })
			}
			return true
		}
	}
	simulation.advance(lossTime + time.Minute)
	simulation.checkFailures()
	comment := quicktest.Commentf("%s", simulation.decisionsAbout("good"))
	c.Assert(simulation.violations, quicktest.HasLen, 0, comment)
	c.Assert(simulation.recordedState("good"), quicktest.Equals, specifier.Completed, comment)
}

// runOf returns the run of a task that works.
func (simulation *simulation) runOf(task specifier.Task) *fakeRun {
	for run := range simulation.taskState(task).running {
		return run
	}
	return nil
}
