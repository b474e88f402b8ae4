package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

func taskOf(cpu, accelerators int) specifier.Resources {
	return specifier.Resources{MilliCPU: cpu, MemoryMB: 1000, Accelerators: accelerators}
}

func jobOf(id string, steps ...specifier.Step) specifier.Job {
	return specifier.Job{ID: identifier.Job(id), Queue: draws, Steps: steps}
}

// TestJobRunsFromStartToEnd guards against a planner that does not bring a job
// of dependent steps and a gang to its recorded end.
func TestJobRunsFromStartToEnd(t *testing.T) {
	c := quicktest.New(t)
	world := newWorld(1, 1, 8)
	world.crown(world.nodes[0])
	world.submit(jobOf("a",
		specifier.Step{Tasks: 5, Request: taskOf(2000, 1), EstimatedRunTime: time.Second},
		specifier.Step{Tasks: 3, Request: taskOf(4000, 8), EstimatedRunTime: time.Second, DependsOn: []int{0}, Gang: true}))
	world.run(5 * time.Second)
	c.Assert(world.state("a"), quicktest.Equals, specifier.Completed)
	c.Assert(world.failures, quicktest.HasLen, 0)
}

// TestEndedJobStaysEndedAfterRestart guards against a new process that reads a
// job before its progress and starts it again.
func TestEndedJobStaysEndedAfterRestart(t *testing.T) {
	c := quicktest.New(t)
	world := newWorld(1, 1, 4)
	world.crown(world.nodes[0])
	world.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Second}))
	world.run(3 * time.Second)
	c.Assert(world.state("a"), quicktest.Equals, specifier.Completed)
	world.nodes[0].alive = false
	world.nodes[0] = world.newNode("again")
	world.deliver(world.nodes[0])
	world.crown(world.nodes[0])
	world.run(8 * time.Second)
	c.Assert(world.failures, quicktest.HasLen, 0)
	c.Assert(world.truth(specifier.Task{Job: "a"}).starts, quicktest.HasLen, 1)
}

// TestFailureCountsOnce guards against a failure that counts twice: one that is
// listed again to the next holder, and those of two members of one gang.
func TestFailureCountsOnce(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprint("gang=", gang), func(t *testing.T) {
			c := quicktest.New(t)
			world := newWorld(1, 2, 8)
			world.crown(world.nodes[0])
			failed := make(map[string]bool)
			world.fail = func(run *fakeRun) bool {
				name := fmt.Sprint(run.number)
				if !gang {
					name = run.task.String() + name
				}
				if !failed[name] && failsOf(failed, run, gang) == attempts-1 {
					return false
				}
				failed[name] = true
				return true
			}
			world.submit(jobOf("a", specifier.Step{Tasks: 3, Request: taskOf(1000, 8), EstimatedRunTime: time.Second, Gang: gang}))
			// The first holder dies when it has recorded the failures and the minions
			// do not know yet that they may forget them.
			for !recordedFailure(world) {
				world.run(time.Millisecond)
			}
			world.nodes[0].alive = false
			world.crown(world.nodes[1])
			world.run(25 * time.Second)
			c.Assert(world.state("a"), quicktest.Equals, specifier.Completed)
			c.Assert(world.failures, quicktest.HasLen, 0)
		})
	}
}

// failsOf returns how many runs of a task, or of the gang, have failed.
func failsOf(failed map[string]bool, run *fakeRun, gang bool) int {
	count := 0
	for name := range failed {
		if gang || strings.HasPrefix(name, run.task.String()) {
			count++
		}
	}
	return count
}

func recordedFailure(world *world) bool {
	for _, entry := range world.journal {
		if progressed, ok := entry.(messenger.Progressed); ok {
			for _, task := range progressed.Progress.Tasks {
				if len(task.FailedRuns) > 0 {
					return true
				}
			}
		}
	}
	return false
}

// drawWorld submits random jobs at random times.
func drawJobs(t *rapid.T, world *world) int {
	count := rapid.IntRange(1, 12).Draw(t, "jobs")
	for number := range count {
		job := specifier.Job{ID: identifier.Job(fmt.Sprintf("j%02d", number)), Queue: rapid.SampledFrom([]identifier.Queue{draws, swaps}).Draw(t, "queue")}
		for index := range rapid.IntRange(1, 3).Draw(t, "steps") {
			step := specifier.Step{
				Tasks: rapid.IntRange(1, 6).Draw(t, "tasks"), Request: taskOf(rapid.IntRange(500, 16000).Draw(t, "cpu"), rapid.IntRange(0, 8).Draw(t, "accelerators")),
				EstimatedRunTime: time.Duration(rapid.IntRange(200, 6000).Draw(t, "run-time")) * time.Millisecond,
				Gang:             rapid.Bool().Draw(t, "gang"), SameRack: rapid.Bool().Draw(t, "same-rack"), Checkpoints: rapid.Bool().Draw(t, "checkpoints"),
			}
			if step.Gang {
				step.Tasks = min(step.Tasks, 4)
			}
			if index > 0 && rapid.Bool().Draw(t, "depends") {
				step.DependsOn = []int{index - 1}
			}
			job.Steps = append(job.Steps, step)
		}
		world.after(time.Duration(rapid.IntRange(0, 8000).Draw(t, "at"))*time.Millisecond, func() { world.submit(job) })
		if rapid.IntRange(0, 5).Draw(t, "cancelled") == 0 {
			world.after(time.Duration(rapid.IntRange(8000, 12000).Draw(t, "cancelled-at"))*time.Millisecond, func() { world.cancel(job.ID) })
		}
	}
	return count
}

// TestPromisesUnderFaults guards against a task that runs twice at a time or
// after its recorded end, out of order or too often, against one that starts
// after its job's cancellation, and against jobs that never end, while holders
// change, minions crash or are cut off, answers are lost and orders come late.
func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(rapid.Uint64().Draw(t, "seed"), 3, 16)
		world.loseAnswers = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "lose-answers")
		world.late = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "late")
		world.loseRecords = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lose-records")
		world.spread = rapid.SampledFrom([]time.Duration{0, 60 * time.Millisecond, 400 * time.Millisecond}).Draw(t, "spread")
		failing := rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "failing")
		world.fail = func(*fakeRun) bool { return world.source.Float64() < failing }
		for _, minion := range world.sorted() {
			minion.rate = 0.98 + 0.04*world.source.Float64()
		}
		world.crown(world.nodes[0])
		count := drawJobs(t, world)
		disturb(t, world)
		world.run(14 * time.Second)
		world.loseAnswers, world.late, world.loseRecords, world.spread, failing = 0, 0, 0, 0, 0
		world.run(60 * time.Second)
		world.checkAttempts()
		if len(world.failures) > 0 {
			_, subject, _ := strings.Cut(world.failures[0], " ")
			job, _, _ := strings.Cut(subject, ".")
			t.Fatalf("%s\n%s", strings.Join(world.failures, "\n"), world.trace(job))
		}
		for number := range count {
			id := identifier.Job(fmt.Sprintf("j%02d", number))
			if state := world.state(id); !state.IsFinal() {
				t.Fatalf("job %s is %s after the faults have ended\n%s", id, state, world.trace(string(id)))
			}
		}
	})
}

// silence is how long after the last renewal another node claims at the
// earliest.
const silence = 1400 * time.Millisecond

// learns is how long after another node's claim a former holder that is cut off
// from the store renews leases at the most in this test.
const learns = 200 * time.Millisecond

// disturb schedules takeovers, crashes and cuts within the first 12 seconds.
func disturb(t *rapid.T, world *world) {
	at := time.Duration(0)
	for range rapid.IntRange(0, 3).Draw(t, "takeovers") {
		at += silence + time.Duration(rapid.IntRange(1, 4000).Draw(t, "takeover-after"))*time.Millisecond
		next := world.nodes[rapid.IntRange(0, 2).Draw(t, "next-holder")]
		told := rapid.Bool().Draw(t, "told")
		world.after(at, func() {
			for _, node := range world.nodes {
				if node.token == 0 {
					continue
				}
				node.token = 0 // its renewals end, whether it learns so now or later
				if told {
					world.step(node, messenger.HolderChanged{})
				} else {
					world.after(silence+learns, func() {
						if node.token == 0 {
							world.step(node, messenger.HolderChanged{})
						}
					})
				}
			}
			world.after(silence, func() { world.crown(next) })
		})
	}
	for range rapid.IntRange(0, 4).Draw(t, "minion-faults") {
		minion := world.sorted()[rapid.IntRange(0, 15).Draw(t, "minion")]
		at := time.Duration(rapid.IntRange(100, 10000).Draw(t, "fault-at")) * time.Millisecond
		span := time.Duration(rapid.IntRange(100, 8000).Draw(t, "fault-for")) * time.Millisecond
		if rapid.Bool().Draw(t, "unlisted") {
			// The minion is cut off from the store: its entry has run out, and it works on.
			world.after(at, func() { minion.unlisted = true })
			world.after(at+span, func() {
				minion.unlisted = false
				for _, node := range world.nodes {
					world.report(node)
				}
			})
			continue
		}
		if rapid.Bool().Draw(t, "crash") {
			world.after(at, func() { minion.crash() })
			world.after(at+span, func() {
				if !minion.up {
					minion.start()
					for _, node := range world.nodes {
						world.report(node)
					}
				}
			})
			continue
		}
		world.after(at, func() {
			for _, node := range world.nodes {
				minion.cutFrom[node] = true
			}
		})
		world.after(at+span, func() { clear(minion.cutFrom) })
	}
}

// TestUnrecordedEndIsForgottenWithTheRole guards against a former holder that
// becomes the holder again and trusts an end that it could not record, so that
// its minion forgets the end and a later holder runs the task again.
func TestUnrecordedEndIsForgottenWithTheRole(t *testing.T) {
	c := quicktest.New(t)
	world := newWorld(1, 3, 4)
	world.crown(world.nodes[0])
	world.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Second}))
	world.run(500 * time.Millisecond)
	world.fence = 2 // another holder has claimed and fenced the journal, and died
	world.run(3 * time.Second)
	c.Assert(world.state("a"), quicktest.Not(quicktest.Equals), specifier.Completed)
	world.tokens = 2
	world.crown(world.nodes[0])
	world.run(3 * time.Second)
	world.nodes[0].alive = false
	world.crown(world.nodes[1])
	world.run(8 * time.Second)
	c.Assert(world.state("a"), quicktest.Equals, specifier.Completed)
	c.Assert(world.failures, quicktest.HasLen, 0)
	c.Assert(world.truth(specifier.Task{Job: "a"}).starts, quicktest.HasLen, 1)
}

// TestPartOfGangStopsAfterTakeover guards against a gang of which a new holder
// finds only some members and that never becomes whole again.
func TestPartOfGangStopsAfterTakeover(t *testing.T) {
	c := quicktest.New(t)
	world := newWorld(1, 2, 4)
	world.crown(world.nodes[0])
	world.submit(jobOf("a", specifier.Step{Tasks: 3, Request: taskOf(1000, 8), EstimatedRunTime: 6 * time.Second, Gang: true}))
	world.run(3500 * time.Millisecond) // the members no longer wait for each other
	world.nodes[0].alive = false
	world.sorted()[0].crash()
	world.crown(world.nodes[1])
	world.run(25 * time.Second)
	c.Assert(world.state("a"), quicktest.Equals, specifier.Completed)
	c.Assert(world.failures, quicktest.HasLen, 0)
}

// TestRunLeavesDrainingMinion guards against work with checkpoints that is lost
// with a minion that leaves.
func TestRunLeavesDrainingMinion(t *testing.T) {
	c := quicktest.New(t)
	world := newWorld(1, 1, 4)
	world.crown(world.nodes[0])
	world.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 20 * time.Second, Checkpoints: true}))
	world.run(time.Second)
	minion := world.sorted()[0]
	c.Assert(minion.runs, quicktest.HasLen, 1)
	report := minion.report()
	report.Draining, report.Remaining = true, 3*time.Second
	world.step(world.nodes[0], messenger.MinionsRead{Reports: []messenger.MinionReport{report}})
	world.run(2500 * time.Millisecond)
	c.Assert(minion.runs, quicktest.HasLen, 0)
	c.Assert(world.truth(specifier.Task{Job: "a"}).running, quicktest.HasLen, 1)
}

// TestBackfillIsPaced guards against backfill tasks that keep a serving task
// beside them over its latency target, and against ones that never work again.
func TestBackfillIsPaced(t *testing.T) {
	c := quicktest.New(t)
	world := newWorld(1, 1, 1)
	world.crown(world.nodes[0])
	world.submit(jobOf("serving", specifier.Step{Tasks: 1, Request: taskOf(8000, 1), LongRunning: true, LatencyTarget: 60 * time.Millisecond}))
	world.submit(jobOf("backfill", specifier.Step{Tasks: 1, Request: taskOf(16000, 1), EstimatedRunTime: time.Minute, Backfill: true}))
	world.run(2 * time.Second)
	minion := world.sorted()[0]
	run := minion.runs[specifier.Task{Job: "backfill"}]
	over := 0
	for range 100 {
		world.run(100 * time.Millisecond)
		if minion.load(minion.runs[specifier.Task{Job: "serving"}]) > 60 {
			over++
		}
	}
	c.Assert(over < 15, quicktest.IsTrue, quicktest.Commentf("over its target in %d of 100 looks", over))
	world.cancel("serving")
	world.run(8 * time.Second)
	c.Assert(run.over, quicktest.IsFalse)
	c.Assert(run.pace, quicktest.Equals, 100)
}

// TestLongRunningTaskReturns guards against a task that lasts and does not come
// back after its minion has crashed, and against one that outlives its job's
// cancellation.
func TestLongRunningTaskReturns(t *testing.T) {
	c := quicktest.New(t)
	world := newWorld(1, 1, 4)
	world.crown(world.nodes[0])
	world.submit(jobOf("a", specifier.Step{Tasks: 2, Request: taskOf(1000, 8), LongRunning: true}))
	world.run(time.Second)
	for _, minion := range world.sorted() {
		if len(minion.runs) > 0 {
			minion.crash()
			break
		}
	}
	world.run(6 * time.Second)
	for index := range 2 {
		c.Assert(world.truth(specifier.Task{Job: "a", Index: index}).running, quicktest.HasLen, 1)
	}
	world.cancel("a")
	world.run(time.Second)
	c.Assert(world.truth(specifier.Task{Job: "a"}).running, quicktest.HasLen, 0)
	c.Assert(world.failures, quicktest.HasLen, 0)
}

// TestFailedTaskGoesElsewhere guards against a sick minion that uses up all
// attempts of a task.
func TestFailedTaskGoesElsewhere(t *testing.T) {
	c := quicktest.New(t)
	world := newWorld(1, 1, 4)
	world.crown(world.nodes[0])
	sick := world.sorted()[0]
	world.fail = func(run *fakeRun) bool { return run.minion == sick }
	world.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Second}))
	world.run(4 * time.Second)
	c.Assert(world.state("a"), quicktest.Equals, specifier.Completed)
	c.Assert(world.truth(specifier.Task{Job: "a"}).starts, quicktest.HasLen, 2)
}
