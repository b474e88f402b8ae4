package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// The jobs of TestJobsCompleteBesideCrashingJobs: one each shareInterval, with the objective
// of the test's policy.
const (
	shareJobs     = 120
	shareInterval = 500 * time.Millisecond
	shareRunTime  = 2 * time.Second
	shareTasks    = 6
	// objective is three times the run time and the slack of the queue.
	objective = 3*shareRunTime + time.Second
)

// measureShare runs jobs of which some tenths crash their minions, or are left out, and returns
// the shares of the other jobs that complete, and that complete within their objective.
func measureShare(tenths int, takeovers, leavesOut bool) (completed, inTime float64, crashes int) {
	simulation := newSimulation(1, 2, 32)
	simulation.jobsCrash("bad", 50*time.Millisecond)
	simulation.makeHolder(simulation.nodes[0])
	submittedAt := make(map[identifier.Job]time.Time)
	for number := range shareJobs {
		simulation.schedule(time.Duration(number)*shareInterval, func() {
			id := identifier.Job(fmt.Sprintf("good%d", number))
			if number%10 < tenths && leavesOut {
				return
			}
			if number%10 < tenths {
				id = identifier.Job(fmt.Sprintf("bad%d", number))
			} else {
				submittedAt[id] = simulation.now
			}
			simulation.submit(jobOf(string(id), smallStep(shareTasks, shareRunTime)))
		})
	}
	for round := range 9 {
		simulation.advance(20 * time.Second)
		if takeovers && round < 3 {
			simulation.changeHolder(round%2, 1-round%2)
		}
	}
	for _, entry := range simulation.journal {
		progressed, ok := entry.(messenger.Progressed)
		if !ok || progressed.Progress.State != specifier.Completed {
			continue
		}
		completed++
		if progressed.Progress.EndedAt.Sub(submittedAt[progressed.Job]) <= objective {
			inTime++
		}
	}
	good := float64(len(submittedAt))
	return completed / good, inTime / good, simulation.crashing.crashes
}

// TestJobsCompleteBesideCrashingJobs guards against jobs that never complete because jobs of
// others crash minions, and against such jobs that cost more than a few minions each. It logs
// how many of the others are late.
func TestJobsCompleteBesideCrashingJobs(t *testing.T) {
	t.Parallel()
	for _, tenths := range []int{0, 1, 3, 6} {
		for _, takeovers := range []bool{false, true} {
			t.Run(fmt.Sprintf("tenths=%d,takeovers=%t", tenths, takeovers), func(t *testing.T) {
				c := quicktest.New(t)
				completed, inTime, crashes := measureShare(tenths, takeovers, false)
				_, inTimeWithout, _ := measureShare(tenths, takeovers, true)
				t.Logf("%.2f completed, %.2f in time (%.2f without crashing jobs), %d crashes", completed, inTime, inTimeWithout, crashes)
				c.Assert(completed, quicktest.Equals, 1.0)
				c.Assert(crashes <= shareJobs*tenths/10*maxCrashesPerJob, quicktest.IsTrue)
			})
		}
	}
}
