package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// counterNames are the names of the counters that tests read.
var counterNames = map[messenger.Counter]string{
	messenger.StoppedRuns: "stopped ", messenger.RepeatedStops: "repeated", messenger.BrokenGangs: "broken ",
	messenger.Moves: "moves ", messenger.Copies: "copies ",
}

// count adds to the counters that tests read.
func (simulation *simulation) count(count messenger.Count) {
	if name, ok := counterNames[count.Counter]; ok {
		simulation.counts[name+count.Reason]++
	}
}

// countsOf returns the counters whose names begin with a prefix, by the rest of their names.
func (simulation *simulation) countsOf(prefix string) map[string]float64 {
	found := make(map[string]float64)
	for name, value := range simulation.counts {
		if reason, ok := strings.CutPrefix(name, prefix); ok {
			found[reason] = value
		}
	}
	return found
}

// checkpoint returns the newest checkpoint of a run, empty if there is none.
func (run *fakeRun) checkpoint() string {
	interval := run.minion.simulation.checkpointInterval
	if interval == 0 || !run.spec.Checkpoints {
		return ""
	}
	count := run.minion.simulation.now.Sub(run.started) / interval
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("%d/%d", run.number, count)
}

// drain lets the report of a minion say that it leaves after a time.
func (simulation *simulation) drain(name identifier.Minion, remaining time.Duration) {
	minion := simulation.minions[name]
	minion.faults.draining, minion.faults.remaining = true, remaining
	simulation.deliverAllReports()
}

// lastLineOf returns the last decision about a subject with an outcome.
func (simulation *simulation) lastLineOf(subject, outcome string) string {
	last := ""
	for _, line := range simulation.decisions {
		if strings.Contains(line, " "+subject+" "+outcome+":") {
			last = line
		}
	}
	return last
}

// workOfTwelveCores is a task whose capacity counts as 12 cores.
func workOfTwelveCores(runTime time.Duration) specifier.Step {
	return specifier.Step{Tasks: 1, Request: taskOf(4000, 1), EstimatedRunTime: runTime}
}

// TestLostWorkIsCountedByItsCause guards against work that is thrown away without being
// counted, or counted for another cause, and against a completed run that counts as lost.
func TestLostWorkIsCountedByItsCause(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		interrupt func(simulation *simulation)
		causes    string
		// least and most bound the core-seconds that are lost.
		least, most float64
	}{
		"completed": {func(simulation *simulation) { simulation.advance(25 * time.Second) }, "", 0, 0},
		"cancelled": {func(simulation *simulation) { simulation.cancel("a") }, "job-end", 119, 123},
		"fails": {func(simulation *simulation) {
			simulation.fails = func(run *fakeRun) bool { return run.number == 1<<20+1 }
			simulation.advance(11 * time.Second)
		}, "failed", 238, 245},
		"restarts":   {func(simulation *simulation) { simulation.minions["m00"].start(); simulation.deliverAllReports() }, "minion-gone", 118, 132},
		"is cut off": {func(simulation *simulation) { simulation.cutOff(true, "m00") }, "leases-expired", 118, 200},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, 1)
			simulation.makeHolder(simulation.nodes[0])
			simulation.submit(jobOf("a", workOfTwelveCores(20*time.Second)))
			simulation.advance(10 * time.Second)
			test.interrupt(simulation)
			simulation.advance(7 * time.Second)
			lost := simulation.countsOf("lost ")
			if test.causes == "" {
				c.Assert(lost, quicktest.HasLen, 0)
				return
			}
			c.Assert(lost, quicktest.HasLen, 1, quicktest.Commentf("%v", lost))
			c.Assert(lost[test.causes] >= test.least && lost[test.causes] <= test.most, quicktest.IsTrue, quicktest.Commentf("%v", lost))
		})
	}
}

// TestLossBeginsAtTheNewestCheckpoint guards against a loss that is assumed instead of
// measured: a run with old checkpoints loses more than one with new ones.
func TestLossBeginsAtTheNewestCheckpoint(t *testing.T) {
	t.Parallel()
	for interval, bounds := range map[time.Duration][2]float64{
		time.Second:     {0, 15},
		8 * time.Second: {12, 37}, // seen up to one poll after 8 s, and lost after 11 s
		0:               {130, 135},
	} {
		t.Run(interval.String(), func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, 2)
			simulation.checkpointInterval = interval
			simulation.makeHolder(simulation.nodes[0])
			step := workOfTwelveCores(time.Minute)
			step.Checkpoints = true
			simulation.submit(jobOf("a", step))
			simulation.advance(11 * time.Second)
			simulation.cancel("a")
			simulation.advance(time.Second)
			lost := simulation.countsOf("lost ")["job-end"]
			c.Assert(lost >= bounds[0] && lost <= bounds[1], quicktest.IsTrue, quicktest.Commentf("%g", lost))
			c.Assert(simulation.lastLineOf("a.0.0.0", "stop"), quicktest.Contains, " since-checkpoint=")
		})
	}
}

// TestRepeatedStopIsCounted guards against a task that is stopped again and again without
// a sign of it in the counters and lines.
func TestRepeatedStopIsCounted(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 3)
	simulation.makeHolder(simulation.nodes[0])
	step := workOfTwelveCores(time.Minute)
	step.Checkpoints = true
	simulation.submit(jobOf("a", step))
	simulation.advance(time.Second)
	drainMinionOf := func(task specifier.Task) {
		for run := range simulation.taskState(task).running {
			simulation.drain(run.minion.name, 3*time.Second)
		}
		simulation.advance(3 * time.Second)
	}
	drainMinionOf(specifier.Task{Job: "a"})
	c.Assert(simulation.countsOf("repeated"), quicktest.HasLen, 0)
	c.Assert(simulation.lastLineOf("a.0.0.0", "stop"), quicktest.Contains, " rule=drain since-checkpoint=")
	c.Assert(simulation.lastLineOf("a.0.0.0", "run-ended"), quicktest.Contains, " stops=1")
	drainMinionOf(specifier.Task{Job: "a"})
	c.Assert(simulation.countsOf("repeated"), quicktest.DeepEquals, map[string]float64{"": 1})
	c.Assert(simulation.lastLineOf("a.0.0.0", "run-ended"), quicktest.Contains, " stops=2")
	simulation.cancel("a")
	simulation.advance(time.Second)
	c.Assert(simulation.countsOf("repeated"), quicktest.DeepEquals, map[string]float64{"": 1}) // the task need not run again
	c.Assert(simulation.countsOf("stopped "), quicktest.DeepEquals, map[string]float64{"drain": 2, "job-end": 1})
}

// TestLongRunningTaskLosesNoWork guards against a sum that shows mostly services, whose
// work is of use as it is done.
func TestLongRunningTaskLosesNoWork(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(4000, 1), LongRunning: true}))
	simulation.advance(10 * time.Second)
	simulation.cancel("a")
	simulation.advance(time.Second)
	c.Assert(simulation.countsOf("stopped "), quicktest.DeepEquals, map[string]float64{"job-end": 1})
	c.Assert(simulation.countsOf("lost "), quicktest.HasLen, 0)
}

// TestBrokenGangIsCountedOnce guards against a gang that breaks without a known cause, and
// against one that is counted once for each member or for each end that follows.
func TestBrokenGangIsCountedOnce(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		breakGang func(simulation *simulation)
		cause     string
	}{
		"a member fails": {func(simulation *simulation) {
			simulation.fails = func(run *fakeRun) bool { return run.number == 1<<20+1 }
			simulation.advance(5 * time.Second)
		}, "failed"},
		"a minion restarts": {func(simulation *simulation) { simulation.minions["m01"].start(); simulation.deliverAllReports() }, "minion-gone"},
		"a minion leaves":   {func(simulation *simulation) { simulation.drain("m01", 2*time.Second) }, "drain"},
		"the job ends":      {func(simulation *simulation) { simulation.cancel("a") }, "job-end"},
		"the other ends are listed first": {func(simulation *simulation) {
			simulation.setReachable(false, "m01")
			simulation.advance(1500 * time.Millisecond) // until the poll that waits has ended
			for _, run := range simulation.minions["m01"].sortedRuns() {
				run.minion.endRun(run, messenger.EndFailed)
			}
			simulation.advance(500 * time.Millisecond)
			simulation.setReachable(true, "m01")
			simulation.advance(2 * time.Second) // until the next poll
		}, "failed"},
		"all break": {func(simulation *simulation) {
			for _, minion := range simulation.sortedMinions() {
				for _, run := range minion.sortedRuns() {
					minion.endRun(run, messenger.EndGangBroken)
				}
			}
		}, "unknown"},
		"it completes": {func(simulation *simulation) { simulation.advance(5 * time.Second) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, 4)
			simulation.makeHolder(simulation.nodes[0])
			gang := wholeMinions(4, 10*time.Second)
			gang.Gang, gang.Checkpoints = true, true
			simulation.submit(jobOf("a", gang))
			simulation.advance(6 * time.Second)
			test.breakGang(simulation)
			simulation.advance(1500 * time.Millisecond)
			broken := map[string]float64{test.cause: 1}
			if test.cause == "" {
				broken = map[string]float64{}
			}
			c.Assert(simulation.countsOf("broken "), quicktest.DeepEquals, broken)
			line := ""
			for index := range 4 {
				line += simulation.lastLineOf(fmt.Sprintf("a.0.0.%d", index), "run-ended") + "\n"
			}
			if test.cause == "" {
				c.Assert(line, quicktest.Not(quicktest.Contains), "broken-by=")
			} else {
				c.Assert(line, quicktest.Matches, `(?s).* broken-by=(\d:)?`+test.cause+"\n.*")
			}
		})
	}
}
