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
	return specifier.Job{ID: identifier.Job(id), Queue: normalQueue, Steps: steps}
}

// TestJobRunsToCompletion guards against a job with dependent steps and a gang
// that does not reach its recorded end.
func TestJobRunsToCompletion(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 8)
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("a",
		specifier.Step{Tasks: 5, Request: taskOf(2000, 1), EstimatedRunTime: time.Second},
		specifier.Step{Tasks: 3, Request: taskOf(4000, 8), EstimatedRunTime: time.Second, DependsOn: []int{0}, Gang: true}))
	simulation.advance(5 * time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestEndedJobStaysEndedAfterRestart guards against a new process that reads a
// job before its progress and starts it again.
func TestEndedJobStaysEndedAfterRestart(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Second}))
	simulation.advance(3 * time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	simulation.nodes[0].alive = false
	simulation.nodes[0] = simulation.newNode("again")
	simulation.deliverJournal(simulation.nodes[0])
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(8 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).startedRuns, quicktest.HasLen, 1)
}

// TestFailureCountsOnce guards against a failure that counts twice: when its
// end is listed again to the next holder, and when two members of one gang fail
// in the same run.
func TestFailureCountsOnce(t *testing.T) {
	t.Parallel()
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprint("gang=", gang), func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 2, 8)
			simulation.makeHolder(simulation.nodes[0])
			failed := make(map[string]bool)
			simulation.fails = func(run *fakeRun) bool {
				name := fmt.Sprint(run.number)
				if !gang {
					name = run.task.String() + name
				}
				if !failed[name] && failureCount(failed, run, gang) == attempts-1 {
					return false
				}
				failed[name] = true
				return true
			}
			simulation.submit(jobOf("a", specifier.Step{Tasks: 3, Request: taskOf(1000, 8), EstimatedRunTime: time.Second, Gang: gang}))
			// The first holder crashes after it has recorded the failures and before the
			// minions receive the acknowledgement of their ends.
			for !hasRecordedFailure(simulation) {
				simulation.advance(time.Millisecond)
			}
			simulation.nodes[0].alive = false
			simulation.makeHolder(simulation.nodes[1])
			simulation.advance(25 * time.Second)
			c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
			c.Assert(simulation.violations, quicktest.HasLen, 0)
		})
	}
}

// failureCount returns how many runs of a task, or of the gang, have failed.
func failureCount(failed map[string]bool, run *fakeRun, gang bool) int {
	count := 0
	for name := range failed {
		if gang || strings.HasPrefix(name, run.task.String()) {
			count++
		}
	}
	return count
}

func hasRecordedFailure(simulation *simulation) bool {
	for _, progressed := range simulation.progress {
		for _, task := range progressed.Progress.Tasks {
			if len(task.FailedRuns) > 0 {
				return true
			}
		}
	}
	return false
}

// drawJobs submits random jobs at random times.
func drawJobs(t *rapid.T, simulation *simulation) int {
	count := rapid.IntRange(1, 12).Draw(t, "jobs")
	for number := range count {
		job := specifier.Job{ID: identifier.Job(fmt.Sprintf("j%02d", number)), Queue: rapid.SampledFrom([]identifier.Queue{normalQueue, urgentQueue}).Draw(t, "queue")}
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
		simulation.schedule(time.Duration(rapid.IntRange(0, 8000).Draw(t, "at"))*time.Millisecond, func() { simulation.submit(job) })
		if rapid.IntRange(0, 5).Draw(t, "cancelled") == 0 {
			simulation.schedule(time.Duration(rapid.IntRange(8000, 12000).Draw(t, "cancelled-at"))*time.Millisecond, func() { simulation.cancel(job.ID) })
		}
	}
	return count
}

// TestInvariantsUnderFaults guards against a task that runs twice at a time or
// after its recorded end, before a step that it depends on, or too often,
// against a start after the job's cancellation or beyond the capacity of a minion that does
// not guard it, and against jobs that never end. Meanwhile holders change, minions crash or become unreachable, answers
// are lost and orders arrive late.
func TestInvariantsUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), 3, 16)
		simulation.lostAnswerShare = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "lose-answers")
		simulation.lateOrderShare = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "late")
		simulation.lostRecordAnswerShare = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lose-records")
		simulation.delayVariation = rapid.SampledFrom([]time.Duration{0, 60 * time.Millisecond, 400 * time.Millisecond}).Draw(t, "spread")
		failureShare := rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "failing")
		simulation.fails = func(*fakeRun) bool { return simulation.random.Float64() < failureShare }
		isUnguarded := rapid.Bool().Draw(t, "unguarded")
		for _, minion := range simulation.sortedMinions() {
			minion.clockRate = 0.98 + 0.04*simulation.random.Float64()
			minion.isUnguarded = isUnguarded
		}
		simulation.makeHolder(simulation.nodes[0])
		count := drawJobs(t, simulation)
		injectFaults(t, simulation)
		simulation.advance(14 * time.Second)
		simulation.lostAnswerShare, simulation.lateOrderShare, simulation.lostRecordAnswerShare, simulation.delayVariation, failureShare = 0, 0, 0, 0, 0
		simulation.advance(60 * time.Second)
		simulation.checkAttempts()
		if len(simulation.violations) > 0 {
			_, subject, _ := strings.Cut(simulation.violations[0], " ")
			job, _, _ := strings.Cut(subject, ".")
			t.Fatalf("%s\n%s", strings.Join(simulation.violations, "\n"), simulation.decisionsAbout(job))
		}
		for number := range count {
			id := identifier.Job(fmt.Sprintf("j%02d", number))
			if state := simulation.recordedState(id); !state.IsFinal() {
				t.Fatalf("job %s is %s after the faults have ended\n%s", id, state, simulation.decisionsAbout(string(id)))
			}
		}
	})
}

// claimTimeout is the minimum time from the last renewal to another node's
// claim.
const claimTimeout = 1400 * time.Millisecond

// stepDownDelay is the maximum time in this test for which a former holder
// without access to the store renews leases after another node's claim.
const stepDownDelay = 200 * time.Millisecond

// injectFaults schedules takeovers, crashes and disconnections within the first
// 12 seconds.
func injectFaults(t *rapid.T, simulation *simulation) {
	injectTakeovers(t, simulation)
	for range rapid.IntRange(0, 4).Draw(t, "minion-faults") {
		injectMinionFault(t, simulation)
	}
}

func injectTakeovers(t *rapid.T, simulation *simulation) {
	at := time.Duration(0)
	for range rapid.IntRange(0, 3).Draw(t, "takeovers") {
		at += claimTimeout + time.Duration(rapid.IntRange(1, 4000).Draw(t, "takeover-after"))*time.Millisecond
		next := simulation.nodes[rapid.IntRange(0, 2).Draw(t, "next-holder")]
		notified := rapid.Bool().Draw(t, "told")
		simulation.schedule(at, func() {
			for _, node := range simulation.nodes {
				if node.token == 0 {
					continue
				}
				node.token = 0 // its renewals end, whether the node is notified now or later
				if notified {
					simulation.step(node, messenger.HolderChanged{})
				} else {
					simulation.schedule(claimTimeout+stepDownDelay, func() {
						if node.token == 0 {
							simulation.step(node, messenger.HolderChanged{})
						}
					})
				}
			}
			simulation.schedule(claimTimeout, func() { simulation.makeHolder(next) })
		})
	}
}

// injectMinionFault schedules that a minion is unlisted, down or out of reach for a time.
func injectMinionFault(t *rapid.T, simulation *simulation) {
	minion := simulation.sortedMinions()[rapid.IntRange(0, 15).Draw(t, "minion")]
	at := time.Duration(rapid.IntRange(100, 10000).Draw(t, "fault-at")) * time.Millisecond
	span := time.Duration(rapid.IntRange(100, 8000).Draw(t, "fault-for")) * time.Millisecond
	if rapid.Bool().Draw(t, "unlisted") {
		// The minion has lost access to the store. Its entry has expired, but it
		// still runs tasks.
		simulation.schedule(at, func() { minion.unregistered = true })
		simulation.schedule(at+span, func() {
			minion.unregistered = false
			simulation.deliverAllReports()
		})
		return
	}
	if rapid.Bool().Draw(t, "crash") {
		simulation.schedule(at, func() { minion.crash() })
		simulation.schedule(at+span, func() {
			if !minion.alive {
				minion.start()
				simulation.deliverAllReports()
			}
		})
		return
	}
	simulation.schedule(at, func() {
		for _, node := range simulation.nodes {
			minion.unreachableFrom[node] = true
		}
	})
	simulation.schedule(at+span, func() { clear(minion.unreachableFrom) })
}

// TestUnrecordedEndIsDiscardedOnStepDown guards against a former holder that
// becomes the holder again and relies on an end that it could not record. Its
// minion would discard the end, and a later holder would run the task again.
func TestUnrecordedEndIsDiscardedOnStepDown(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 3, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Second}))
	simulation.advance(500 * time.Millisecond)
	simulation.fenceToken = 2 // another holder has claimed, fenced the journal and crashed
	simulation.advance(3 * time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Not(quicktest.Equals), specifier.Completed)
	simulation.lastToken = max(simulation.lastToken, simulation.fenceToken)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(3 * time.Second)
	simulation.nodes[0].alive = false
	simulation.makeHolder(simulation.nodes[1])
	simulation.advance(8 * time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).startedRuns, quicktest.HasLen, 1)
}

// TestIncompleteGangStopsAfterTakeover guards against a gang of which a new
// holder finds only some members and that never becomes complete again.
func TestIncompleteGangStopsAfterTakeover(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("a", specifier.Step{Tasks: 3, Request: taskOf(1000, 8), EstimatedRunTime: 6 * time.Second, Gang: true}))
	simulation.advance(3500 * time.Millisecond) // the members no longer wait for each other
	simulation.nodes[0].alive = false
	simulation.sortedMinions()[0].crash()
	simulation.makeHolder(simulation.nodes[1])
	simulation.advance(25 * time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestRunMovesFromDrainingMinion guards against work with checkpoints that is
// lost when its minion leaves.
func TestRunMovesFromDrainingMinion(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: 20 * time.Second, Checkpoints: true}))
	simulation.advance(time.Second)
	minion := simulation.sortedMinions()[0]
	c.Assert(minion.runs, quicktest.HasLen, 1)
	report := minion.report()
	report.Draining, report.Remaining = true, 3*time.Second
	simulation.step(simulation.nodes[0], messenger.MinionsRead{Reports: []messenger.MinionReport{report}})
	simulation.advance(2500 * time.Millisecond)
	c.Assert(minion.runs, quicktest.HasLen, 0)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).running, quicktest.HasLen, 1)
}

// TestBackfillIsPaced guards against backfill tasks that hold a serving task
// beside them over its latency target, and against backfill tasks that are
// never sped up again.
func TestBackfillIsPaced(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 1)
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("serving", specifier.Step{Tasks: 1, Request: taskOf(8000, 1), LongRunning: true, LatencyTarget: 60 * time.Millisecond}))
	simulation.submit(jobOf("backfill", specifier.Step{Tasks: 1, Request: taskOf(16000, 1), EstimatedRunTime: time.Minute, Backfill: true}))
	simulation.advance(2 * time.Second)
	minion := simulation.sortedMinions()[0]
	run := minion.runs[specifier.Task{Job: "backfill"}]
	samplesOverTarget := 0
	for range 100 {
		simulation.advance(100 * time.Millisecond)
		if minion.tailLatency(minion.runs[specifier.Task{Job: "serving"}]) > 60 {
			samplesOverTarget++
		}
	}
	c.Assert(samplesOverTarget < 15, quicktest.IsTrue, quicktest.Commentf("over its target in %d of 100 samples", samplesOverTarget))
	simulation.cancel("serving")
	simulation.advance(8 * time.Second)
	c.Assert(run.ended, quicktest.IsFalse)
	c.Assert(run.pacePercent, quicktest.Equals, 100)
}

// TestLongRunningTaskRestarts guards against a long-running task that does not
// restart after its minion has crashed, and against one that still runs after
// its job's cancellation.
func TestLongRunningTaskRestarts(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("a", specifier.Step{Tasks: 2, Request: taskOf(1000, 8), LongRunning: true}))
	simulation.advance(time.Second)
	for _, minion := range simulation.sortedMinions() {
		if len(minion.runs) > 0 {
			minion.crash()
			break
		}
	}
	simulation.advance(6 * time.Second)
	for index := range 2 {
		c.Assert(simulation.taskState(specifier.Task{Job: "a", Index: index}).running, quicktest.HasLen, 1)
	}
	simulation.cancel("a")
	simulation.advance(time.Second)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).running, quicktest.HasLen, 0)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestFailedTaskRunsOnOtherMinion guards against a faulty minion that uses up
// all attempts of a task.
func TestFailedTaskRunsOnOtherMinion(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	failingMinion := simulation.sortedMinions()[0]
	simulation.fails = func(run *fakeRun) bool { return run.minion == failingMinion }
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Second}))
	simulation.advance(4 * time.Second)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).startedRuns, quicktest.HasLen, 2)
}
