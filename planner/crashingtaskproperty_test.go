package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// drawMixedJobs submits jobs within the first 8 seconds, of which some have tasks that crash
// their minions. It returns the jobs by whether they do.
func drawMixedJobs(t *rapid.T, simulation *simulation) map[identifier.Job]bool {
	jobs := make(map[identifier.Job]bool)
	share := rapid.SampledFrom([]int{1, 3, 6}).Draw(t, "bad-tenths")
	for number := range rapid.IntRange(2, 12).Draw(t, "jobs") {
		isBad := rapid.IntRange(1, 10).Draw(t, "bad") <= share
		name := fmt.Sprintf("good%d", number)
		if isBad {
			name = fmt.Sprintf("bad%d", number)
		}
		step := specifier.Step{
			Tasks: rapid.IntRange(1, 8).Draw(t, "tasks"), Request: taskOf(rapid.IntRange(500, 8000).Draw(t, "cpu"), rapid.IntRange(0, 4).Draw(t, "accelerators")),
			EstimatedRunTime: time.Duration(rapid.IntRange(200, 5000).Draw(t, "run-time")) * time.Millisecond,
			Gang:             rapid.IntRange(0, 3).Draw(t, "gang") == 0, SameRack: rapid.IntRange(0, 3).Draw(t, "same-rack") == 0,
			MaxPerMinion: rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "max-per-minion"),
		}
		if step.Gang {
			step.Tasks = min(step.Tasks, 4)
		}
		job := jobOf(name, step)
		job.Queue = rapid.SampledFrom([]identifier.Queue{normalQueue, urgentQueue}).Draw(t, "queue")
		jobs[job.ID] = isBad
		simulation.schedule(time.Duration(rapid.IntRange(0, 8000).Draw(t, "at"))*time.Millisecond, func() { simulation.submit(job) })
	}
	return jobs
}

// drawCrashes sets how crashing tasks crash their minions.
func drawCrashes(t *rapid.T, simulation *simulation) {
	delay := time.Duration(rapid.SampledFrom([]int{0, 1, 50, 700, 1500, 4000}).Draw(t, "crash-delay")) * time.Millisecond
	simulation.jobsCrash("bad", delay)
	simulation.crashing.downTime = time.Duration(rapid.IntRange(1000, 6000).Draw(t, "down-time")) * time.Millisecond
	simulation.crashing.renames = rapid.Bool().Draw(t, "renames")
}

// TestCrashingTasksUnderFaults guards against a task that crashes its minions and is started
// too often, and against a job of others that is given up or never completes beside it.
// Meanwhile holders change, and minions crash for other reasons or become unreachable.
func TestCrashingTasksUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), 3, 16)
		simulation.lostAnswerShare = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "lose-answers")
		simulation.lostRecordAnswerShare = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lose-records")
		simulation.delayVariation = rapid.SampledFrom([]time.Duration{0, 60 * time.Millisecond}).Draw(t, "spread")
		drawCrashes(t, simulation)
		simulation.makeHolder(simulation.nodes[0])
		jobs := drawMixedJobs(t, simulation)
		injectFaults(t, simulation)
		simulation.advance(14 * time.Second)
		simulation.lostAnswerShare, simulation.lostRecordAnswerShare, simulation.delayVariation = 0, 0, 0
		simulation.advance(90 * time.Second)
		if len(simulation.violations) > 0 {
			_, subject, _ := strings.Cut(simulation.violations[0], " ")
			job, _, _ := strings.Cut(subject, ".")
			t.Fatalf("%s\n%s", strings.Join(simulation.violations, "\n"), simulation.decisionsAbout(job))
		}
		for id, isBad := range jobs {
			state := simulation.recordedState(id)
			// A task that is done before the crash, and those of a job that never crashed, end well.
			if state == specifier.Completed || (isBad && state == specifier.Failed) {
				continue
			}
			t.Fatalf("job %s is %s\n%s", id, state, simulation.decisionsAbout(string(id)))
		}
	})
}
