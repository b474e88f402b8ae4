package planner

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/profiler"
	"corianderroad/specifier"
)

// profiledRun returns a run that has been reported with half of its work, ten seconds after its start.
func profiledRun(started time.Time) *run {
	spec := &specifier.Step{Tasks: 1, EstimatedRunTime: 20 * time.Second}
	return &run{
		step: &step{spec: spec, tasks: make([]task, 1)}, minion: &minion{}, state: running, startedAt: started,
		progressPercent: 50, progressAt: started.Add(10 * time.Second), work: runWork{isObserved: true},
	}
}

// TestRunOnSlowMinionEndsLater guards against a reservation, or a stop that is left out, by an end that a
// run on a slow minion can't meet.
func TestRunOnSlowMinionEndsLater(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	started := time.Unix(1_000_000, 0)
	now, planner := started.Add(10*time.Second), &Planner{}
	run := profiledRun(started)
	c.Assert(planner.likelyEnd(now, run), quicktest.Equals, started.Add(20*time.Second))
	run.minion.speedFactor = 0.5
	c.Assert(planner.likelyEnd(now, run), quicktest.Equals, started.Add(30*time.Second))
	run.work.firstPercent, run.work.firstAt = 0, started // the speed of the run itself comes first
	c.Assert(planner.likelyEnd(now, run), quicktest.Equals, started.Add(20*time.Second))
}

// TestEndOfStalledRunIsUnknown guards against an urgent step that waits for the end of a run which makes
// no progress.
func TestEndOfStalledRunIsUnknown(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	started := time.Unix(1_000_000, 0)
	run, learned := profiledRun(started), profiler.New()
	c.Assert(expectedEndOf(runsEndingWith(run)), quicktest.Equals, started.Add(20*time.Second))
	for second := range 20 {
		learned.Observe(started.Add(time.Duration(second)*time.Second), &run.minion.profile, &run.profile, profiler.Report{
			Percent: min(5*second, 50), Declared: 20 * time.Second, IsOwnSpeed: true,
		})
	}
	c.Assert(expectedEndOf(runsEndingWith(run)).IsZero(), quicktest.IsTrue)
	c.Assert((&Planner{}).likelyEnd(started.Add(19*time.Second), run), quicktest.Equals, started.Add(29*time.Second))
}
