package planner_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// failedEnds counts the runs that minions have ended as failed, by task, for a gang by its
// first task.
type failedEnds map[specifier.Task]map[uint64]bool

// countFailures lets runs fail as fails says and counts them.
func (simulation *simulation) countFailures(fails func(*fakeRun) bool) failedEnds {
	failures := make(failedEnds)
	simulation.fails = func(run *fakeRun) bool {
		if !fails(run) {
			return false
		}
		task := run.task
		if run.spec.Gang {
			task.Index = 0
		}
		if failures[task] == nil {
			failures[task] = make(map[uint64]bool)
		}
		failures[task][run.number] = true
		return true
	}
	return failures
}

// most returns the number of failed runs of the task of a job, or of its gang, that failed
// most.
func (failures failedEnds) most(id identifier.Job) int {
	most := 0
	for task, runs := range failures {
		if task.Job == id {
			most = max(most, len(runs))
		}
	}
	return most
}

// hasUsedAttempts reports whether a holder has ended a job because of its failed runs.
func (simulation *simulation) hasUsedAttempts(id identifier.Job) bool {
	return slices.ContainsFunc(simulation.decisions, func(line string) bool {
		return strings.Contains(line, fmt.Sprintf(" %s job-failed: a task has used all its attempts", id))
	})
}

// TestOnlyFailedEndsCountAsAttempts guards against a job that is shown as failed because
// runs of a task, or of a gang, whose lease ran out or that were broken are counted with
// those that failed. Every other run fails, and the minion of the others is cut off.
func TestOnlyFailedEndsCountAsAttempts(t *testing.T) {
	t.Parallel()
	for name, members := range map[string]int{"task": 1, "gang": 3} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 2, 16)
			task := specifier.Task{Job: "a"}
			state := simulation.taskState(task)
			lapses := func() bool { return len(state.startedRuns)%2 == 0 && len(state.startedRuns) < 2*attempts }
			simulation.workTime = func(*fakeRun) time.Duration {
				if lapses() {
					return time.Minute
				}
				return time.Second
			}
			failures := simulation.countFailures(func(*fakeRun) bool { return len(state.startedRuns) < 2*attempts-1 })
			simulation.makeHolder(simulation.nodes[0])
			simulation.advance(500 * time.Millisecond)
			simulation.submit(jobOf("a", specifier.Step{Tasks: members, Request: taskOf(20000, 5), EstimatedRunTime: time.Second, Gang: members > 1}))
			for until := simulation.now.Add(2 * time.Minute); simulation.now.Before(until); simulation.advance(500 * time.Millisecond) {
				if cut := simulation.runningOn(task); cut != nil && lapses() {
					simulation.cutOff(true, cut.name)
					simulation.advance(maxLease + 2*time.Second)
					simulation.cutOff(false, cut.name)
				}
			}
			comment := quicktest.Commentf("%s", simulation.decisionsAbout("a"))
			c.Assert(len(state.startedRuns) >= 2*attempts-1, quicktest.IsTrue, comment)
			c.Assert(failures.most("a"), quicktest.Equals, attempts-1, comment)
			c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed, comment)
			c.Assert(simulation.violations, quicktest.HasLen, 0, comment)
		})
	}
}

// TestMembersOfAGangDoNotAddUpTheirFailures guards against a gang that is shown as failed
// after fewer failed runs than its attempts, because several members end a run as failed,
// and against tasks of a step that share their attempts although they are no gang.
func TestMembersOfAGangDoNotAddUpTheirFailures(t *testing.T) {
	t.Parallel()
	for name, isGang := range map[string]bool{"tasks": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 2, 16)
			failures := simulation.countFailures(func(run *fakeRun) bool {
				return len(simulation.taskState(run.task).startedRuns) < attempts
			})
			simulation.makeHolder(simulation.nodes[0])
			simulation.advance(500 * time.Millisecond)
			simulation.submit(jobOf("a", specifier.Step{Tasks: 4, Request: taskOf(20000, 5), EstimatedRunTime: time.Second, Gang: isGang}))
			simulation.advance(time.Minute)
			comment := quicktest.Commentf("%s", simulation.decisionsAbout("a"))
			c.Assert(failures.most("a"), quicktest.Equals, attempts-1, comment)
			c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed, comment)
		})
	}
}

// TestFewerAttemptsEndNoJobOfDoneTasks guards against a job that is shown as failed because
// a new configuration allows as many attempts as a task that is done has failed before.
func TestFewerAttemptsEndNoJobOfDoneTasks(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	first := specifier.Task{Job: "a"}
	simulation.workTime = func(run *fakeRun) time.Duration {
		return time.Second + time.Duration(run.task.Index)*15*time.Second
	}
	failures := simulation.countFailures(func(run *fakeRun) bool {
		return run.task == first && len(simulation.taskState(first).startedRuns) < attempts
	})
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(500 * time.Millisecond)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 3, Request: taskOf(20000, 5), EstimatedRunTime: time.Second}))
	simulation.advance(12 * time.Second)
	c.Assert(simulation.taskState(first).done, quicktest.IsTrue)
	c.Assert(failures.most("a"), quicktest.Equals, attempts-1)
	policy := testPolicy()
	policy.Version++
	for index := range policy.Queues {
		policy.Queues[index].Attempts = attempts - 1
	}
	simulation.step(simulation.nodes[0], messenger.PolicyRead{Policy: policy, SentAt: simulation.now})
	simulation.advance(time.Minute)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed, quicktest.Commentf("%s", simulation.decisionsAbout("a")))
}

// drawFailingJobs submits jobs of which some tasks fail in some runs.
func drawFailingJobs(t *rapid.T, simulation *simulation) []identifier.Job {
	var jobs []identifier.Job
	for number := range rapid.IntRange(1, 8).Draw(t, "jobs") {
		step := specifier.Step{
			Tasks: rapid.IntRange(1, 4).Draw(t, "tasks"), Request: taskOf(rapid.IntRange(500, 20000).Draw(t, "cpu"), rapid.IntRange(0, 4).Draw(t, "accelerators")),
			EstimatedRunTime: time.Duration(rapid.IntRange(200, 5000).Draw(t, "run-time")) * time.Millisecond,
			Gang:             rapid.Bool().Draw(t, "gang"),
		}
		job := jobOf(fmt.Sprintf("j%02d", number), step)
		jobs = append(jobs, job.ID)
		simulation.schedule(time.Duration(rapid.IntRange(0, 8000).Draw(t, "at"))*time.Millisecond, func() { simulation.submit(job) })
	}
	return jobs
}

// TestFailedJobsHaveUsedTheirAttempts guards against a job that a holder ends because of its
// attempts although none of its tasks, and no gang, has failed so often. Meanwhile holders
// change, answers and records are lost, orders are carried out late, and minions crash or
// become unreachable, so that leases run out between an end and its acknowledgement.
func TestFailedJobsHaveUsedTheirAttempts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), 3, 16)
		simulation.lostAnswerShare = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "lose-answers")
		simulation.lateOrderShare = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "late-orders")
		simulation.outdatedListShare = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "outdated-lists")
		simulation.lostRecordAnswerShare = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lose-records")
		share := rapid.SampledFrom([]float64{0.3, 0.5, 0.8}).Draw(t, "failing")
		failures := simulation.countFailures(func(*fakeRun) bool { return simulation.random.Float64() < share })
		simulation.makeHolder(simulation.nodes[0])
		jobs := drawFailingJobs(t, simulation)
		injectFaults(t, simulation)
		simulation.advance(60 * time.Second)
		for _, id := range jobs {
			if simulation.hasUsedAttempts(id) && failures.most(id) < attempts {
				t.Fatalf("job %s has used its attempts after %d failed runs\n%s", id, failures.most(id), simulation.decisionsAbout(string(id)))
			}
		}
	})
}
